//! Parsing of values with units, and range checks.

use std::net::SocketAddr;

use crank_protocol::{Millis, Name, Permille};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::{Excerpt, Problem};

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60_000;
const PERMILLE_PER_PERCENT: u32 = 10;

const DURATION_FORMAT: &str = "a whole number and a unit, such as 250ms, 5s or 2m";
const PERCENTAGE_FORMAT: &str = "a percentage with at most one decimal place, such as 99.9%";
const COUNT_FORMAT: &str = "a whole number";
const BOOLEAN_FORMAT: &str = "yes or no";
const TIME_FORMAT: &str = "a time with its UTC offset, such as 2026-12-06T23:59:59+05:00";
const ADDRESS_FORMAT: &str = "an IP address and a port, such as 127.0.0.1:7000";

/// Parses a duration with a unit (`ms`, `s` or `m`) between `min` and `max` milliseconds.
///
/// # Errors
/// Returns [`Problem::MissingUnit`], [`Problem::InvalidValue`] or [`Problem::OutOfRange`].
///
/// ```
/// use crank_engine::ini::value;
/// use crank_protocol::Millis;
/// assert_eq!(value::duration("2s", 1, 60_000).unwrap(), Millis(2_000));
/// assert!(value::duration("2", 1, 60_000).is_err());
/// ```
pub fn duration(text: &str, min: u64, max: u64) -> Result<Millis, Problem> {
    let digits_end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(digits_end);
    let bad = || Problem::InvalidValue {
        given: text.into(),
        expected: DURATION_FORMAT,
    };
    let number: u64 = digits.parse().map_err(|_| bad())?;
    let scale = match unit.trim_start() {
        "ms" => 1,
        "s" => MILLIS_PER_SECOND,
        "m" => MILLIS_PER_MINUTE,
        "" => {
            return Err(Problem::MissingUnit {
                given: text.into(),
                expected: DURATION_FORMAT,
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
        min: format_duration(min).into(),
        max: format_duration(max).into(),
    })
}

fn format_duration(millis: u64) -> String {
    if millis > 0 && millis.is_multiple_of(MILLIS_PER_MINUTE) {
        format!("{}m", millis / MILLIS_PER_MINUTE)
    } else if millis > 0 && millis.is_multiple_of(MILLIS_PER_SECOND) {
        format!("{}s", millis / MILLIS_PER_SECOND)
    } else {
        format!("{millis}ms")
    }
}

/// Parses a percentage, including the `%` sign, between `min` and `max` permille.
///
/// # Errors
/// Returns [`Problem::MissingUnit`], [`Problem::InvalidValue`] or [`Problem::OutOfRange`].
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
            expected: PERCENTAGE_FORMAT,
        });
    };
    let permille = parse_permille(number.trim_end()).ok_or_else(|| Problem::InvalidValue {
        given: text.into(),
        expected: PERCENTAGE_FORMAT,
    })?;
    if (min..=max).contains(&permille) {
        return Ok(Permille(permille));
    }
    Err(Problem::OutOfRange {
        given: text.into(),
        min: format_percentage(min).into(),
        max: format_percentage(max).into(),
    })
}

fn parse_permille(number: &str) -> Option<u32> {
    let (whole, tenth) = number.split_once('.').unwrap_or((number, "0"));
    let is_digits = |digits: &str| digits.bytes().all(|byte| byte.is_ascii_digit());
    if tenth.len() != 1 || !is_digits(tenth) || !is_digits(whole) {
        return None;
    }
    let whole: u32 = whole.parse().ok()?;
    let tenth: u32 = tenth.parse().ok()?;
    whole.checked_mul(PERMILLE_PER_PERCENT)?.checked_add(tenth)
}

fn format_percentage(permille: u32) -> String {
    let whole = permille / PERMILLE_PER_PERCENT;
    match permille % PERMILLE_PER_PERCENT {
        0 => format!("{whole}%"),
        tenth => format!("{whole}.{tenth}%"),
    }
}

/// Parses a whole number between `min` and `max`.
///
/// # Errors
/// Returns [`Problem::InvalidValue`] or [`Problem::OutOfRange`].
///
/// ```
/// use crank_engine::ini::value;
/// assert_eq!(value::count("6", 1, 100).unwrap(), 6);
/// assert!(value::count("0", 1, 100).is_err());
/// ```
pub fn count(text: &str, min: u32, max: u32) -> Result<u32, Problem> {
    let bad = || Problem::InvalidValue {
        given: text.into(),
        expected: COUNT_FORMAT,
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

/// Parses `yes` or `no`.
///
/// # Errors
/// Returns [`Problem::InvalidValue`] for any other text.
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
            expected: BOOLEAN_FORMAT,
        }),
    }
}

/// Parses a name.
///
/// # Errors
/// Returns [`Problem::InvalidName`] if the text is not a valid [`Name`].
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

/// Parses a date and time with a UTC offset in the format of RFC 3339.
///
/// # Errors
/// Returns [`Problem::InvalidValue`] if the text has another format.
///
/// ```
/// use crank_engine::ini::value;
/// assert!(value::wall_time("2026-12-06T23:59:59+05:00").is_ok());
/// assert!(value::wall_time("2026-12-06 23:59:59").is_err());
/// ```
pub fn wall_time(text: &str) -> Result<OffsetDateTime, Problem> {
    OffsetDateTime::parse(text, &Rfc3339).map_err(|_| Problem::InvalidValue {
        given: text.into(),
        expected: TIME_FORMAT,
    })
}

/// Parses an IP address and a port.
///
/// # Errors
/// Returns [`Problem::InvalidValue`] if the text has another format.
///
/// ```
/// use crank_engine::ini::value;
/// assert_eq!(value::address("127.0.0.1:0").unwrap().port(), 0);
/// assert!(value::address("localhost:0").is_err());
/// ```
pub fn address(text: &str) -> Result<SocketAddr, Problem> {
    text.parse().map_err(|_| Problem::InvalidValue {
        given: text.into(),
        expected: ADDRESS_FORMAT,
    })
}
