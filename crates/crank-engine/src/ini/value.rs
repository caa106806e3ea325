//! Values with their units and ranges.

use std::net::SocketAddr;

use crank_protocol::{Millis, Name, Permille};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::{Excerpt, Problem};

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60_000;
const PERMILLE_PER_PERCENT: u32 = 10;

const DURATION: &str = "a whole number and a unit, such as 250ms, 5s or 2m";
const SHARE: &str = "a share in percent with at most one decimal, such as 99.9%";
const COUNT: &str = "a whole number";
const FLAG: &str = "yes or no";
const WALL_TIME: &str = "a time with its offset, such as 2026-12-06T23:59:59+05:00";
const ADDRESS: &str = "an IP number and a port, such as 127.0.0.1:7000";

/// Reads a duration with its unit (`ms`, `s` or `m`) and checks its range, in milliseconds.
///
/// # Errors
/// [`Problem::MissingUnit`], [`Problem::InvalidValue`] or [`Problem::OutOfRange`].
///
/// ```
/// use crank_engine::ini::value;
/// use crank_protocol::Millis;
/// assert_eq!(value::duration("2s", 1, 60_000).unwrap(), Millis(2_000));
/// assert!(value::duration("2", 1, 60_000).is_err());
/// ```
pub fn duration(text: &str, min: u64, max: u64) -> Result<Millis, Problem> {
    let digits_end = text
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(digits_end);
    let bad = || Problem::InvalidValue {
        given: text.into(),
        expected: DURATION,
    };
    let number: u64 = digits.parse().map_err(|_| bad())?;
    let scale = match unit.trim_start() {
        "ms" => 1,
        "s" => MILLIS_PER_SECOND,
        "m" => MILLIS_PER_MINUTE,
        "" => {
            return Err(Problem::MissingUnit {
                given: text.into(),
                expected: DURATION,
            });
        }
        _ => return Err(bad()),
    };
    let millis = number.saturating_mul(scale);
    if (min..=max).contains(&millis) {
        return Ok(Millis(millis));
    }
    Err(Problem::OutOfRange {
        given: text.into(),
        min: written(min).into(),
        max: written(max).into(),
    })
}

fn written(millis: u64) -> String {
    if millis > 0 && millis.is_multiple_of(MILLIS_PER_MINUTE) {
        format!("{}m", millis / MILLIS_PER_MINUTE)
    } else if millis > 0 && millis.is_multiple_of(MILLIS_PER_SECOND) {
        format!("{}s", millis / MILLIS_PER_SECOND)
    } else {
        format!("{millis}ms")
    }
}

/// Reads a share with its `%` and checks its range, in thousandths.
///
/// # Errors
/// [`Problem::MissingUnit`], [`Problem::InvalidValue`] or [`Problem::OutOfRange`].
///
/// ```
/// use crank_engine::ini::value;
/// use crank_protocol::Permille;
/// assert_eq!(value::percentage("99.9%", 0, 1_000).unwrap(), Permille(999));
/// assert!(value::percentage("0.999", 0, 1_000).is_err());
/// ```
pub fn percentage(text: &str, min: u32, max: u32) -> Result<Permille, Problem> {
    let Some(number) = text.strip_suffix('%') else {
        return Err(Problem::MissingUnit {
            given: text.into(),
            expected: SHARE,
        });
    };
    let permille = permille(number.trim_end()).ok_or_else(|| Problem::InvalidValue {
        given: text.into(),
        expected: SHARE,
    })?;
    if (min..=max).contains(&permille) {
        return Ok(Permille(permille));
    }
    Err(Problem::OutOfRange {
        given: text.into(),
        min: percent(min).into(),
        max: percent(max).into(),
    })
}

fn permille(number: &str) -> Option<u32> {
    let (whole, tenth) = number.split_once('.').unwrap_or((number, "0"));
    let plain = |digits: &str| digits.bytes().all(|byte| byte.is_ascii_digit());
    if tenth.len() != 1 || !plain(tenth) || !plain(whole) {
        return None;
    }
    let whole: u32 = whole.parse().ok()?;
    let tenth: u32 = tenth.parse().ok()?;
    whole.checked_mul(PERMILLE_PER_PERCENT)?.checked_add(tenth)
}

fn percent(permille: u32) -> String {
    let whole = permille / PERMILLE_PER_PERCENT;
    match permille % PERMILLE_PER_PERCENT {
        0 => format!("{whole}%"),
        tenth => format!("{whole}.{tenth}%"),
    }
}

/// Reads a whole number and checks its range.
///
/// # Errors
/// [`Problem::InvalidValue`] or [`Problem::OutOfRange`].
///
/// ```
/// use crank_engine::ini::value;
/// assert_eq!(value::count("6", 1, 100).unwrap(), 6);
/// assert!(value::count("0", 1, 100).is_err());
/// ```
pub fn count(text: &str, min: u32, max: u32) -> Result<u32, Problem> {
    let bad = || Problem::InvalidValue {
        given: text.into(),
        expected: COUNT,
    };
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(bad());
    }
    let number: u32 = text.parse().unwrap_or(u32::MAX);
    if (min..=max).contains(&number) {
        return Ok(number);
    }
    Err(Problem::OutOfRange {
        given: text.into(),
        min: min.to_string().into(),
        max: max.to_string().into(),
    })
}

/// Reads `yes` or `no`.
///
/// # Errors
/// [`Problem::InvalidValue`].
///
/// ```
/// use crank_engine::ini::value;
/// assert!(value::boolean("yes").unwrap());
/// assert!(value::boolean("true").is_err());
/// ```
pub fn boolean(text: &str) -> Result<bool, Problem> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(Problem::InvalidValue {
            given: text.into(),
            expected: FLAG,
        }),
    }
}

/// Reads a name.
///
/// # Errors
/// [`Problem::InvalidName`].
///
/// ```
/// use crank_engine::ini::value;
/// assert_eq!(value::name("recipes").unwrap().as_str(), "recipes");
/// ```
pub fn name(text: &str) -> Result<Name, Problem> {
    Name::new(text).map_err(|_| {
        let given = Excerpt::from(text).to_string();
        Problem::InvalidName(crank_protocol::Error::BadName { given })
    })
}

/// Reads a wall time with its offset, as RFC 3339 writes it.
///
/// # Errors
/// [`Problem::InvalidValue`].
///
/// ```
/// use crank_engine::ini::value;
/// assert!(value::wall_time("2026-12-06T23:59:59+05:00").is_ok());
/// assert!(value::wall_time("2026-12-06 23:59:59").is_err());
/// ```
pub fn wall_time(text: &str) -> Result<OffsetDateTime, Problem> {
    OffsetDateTime::parse(text, &Rfc3339).map_err(|_| Problem::InvalidValue {
        given: text.into(),
        expected: WALL_TIME,
    })
}

/// Reads an IP number and a port.
///
/// # Errors
/// [`Problem::InvalidValue`].
///
/// ```
/// use crank_engine::ini::value;
/// assert_eq!(value::address("127.0.0.1:0").unwrap().port(), 0);
/// assert!(value::address("localhost:0").is_err());
/// ```
pub fn address(text: &str) -> Result<SocketAddr, Problem> {
    text.parse().map_err(|_| Problem::InvalidValue {
        given: text.into(),
        expected: ADDRESS,
    })
}
