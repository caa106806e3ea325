//! Formats values for the terminal.

use std::sync::Arc;

use crank_protocol::Millis;
use crank_protocol::config::{Digest, Stamp};
use crank_protocol::member::{Stage, State};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

const SHORT_DIGEST_DIGITS: usize = 12;
const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60_000;
const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 3_600;
const SECONDS_PER_DAY: u64 = 86_400;

pub(crate) const NO_VALUE: &str = "-";

pub(crate) fn state(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

pub(crate) fn stage(stage: Stage) -> &'static str {
    match stage {
        Stage::Starting => "starting",
        Stage::Ready => "ready",
        Stage::Draining => "draining",
        Stage::Gone => "gone",
    }
}

pub(crate) fn yes_or_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

pub(crate) fn short_digest(digest: &Digest) -> &str {
    &digest.as_str()[..SHORT_DIGEST_DIGITS]
}

pub(crate) fn stamp(stamp: &Stamp) -> String {
    format!(
        "version {}, digest {}",
        stamp.version,
        short_digest(&stamp.digest)
    )
}

/// Writes a duration in the unit in which it is a whole number.
pub(crate) fn duration(millis: Millis) -> String {
    match millis.0 {
        whole if whole.is_multiple_of(MILLIS_PER_MINUTE) => {
            format!("{}m", whole / MILLIS_PER_MINUTE)
        }
        whole if whole.is_multiple_of(MILLIS_PER_SECOND) => {
            format!("{}s", whole / MILLIS_PER_SECOND)
        }
        _ => millis.to_string(),
    }
}

pub(crate) fn time(at: OffsetDateTime) -> String {
    let seconds = at.replace_nanosecond(0).unwrap_or(at);
    seconds
        .format(&Rfc3339)
        .unwrap_or_else(|_| seconds.to_string())
}

pub(crate) fn time_left(seconds: i64) -> String {
    let span = seconds.unsigned_abs();
    let (days, rest) = (span / SECONDS_PER_DAY, span % SECONDS_PER_DAY);
    let (hours, rest) = (rest / SECONDS_PER_HOUR, rest % SECONDS_PER_HOUR);
    let (minutes, rest) = (rest / SECONDS_PER_MINUTE, rest % SECONDS_PER_MINUTE);
    let span = match (days, hours, minutes) {
        (0, 0, 0) => format!("{rest}s"),
        (0, 0, _) => format!("{minutes}m {rest}s"),
        (0, _, _) => format!("{hours}h {minutes}m"),
        _ => format!("{days}d {hours}h"),
    };
    if seconds < 0 {
        format!("{span} ago")
    } else {
        format!("{span} left")
    }
}

pub(crate) fn files(verb: &str, names: &[Arc<str>]) -> String {
    names
        .iter()
        .map(|name| format!("{verb} {name}\n"))
        .collect()
}

pub(crate) fn ignored_files(names: &[Arc<str>]) -> String {
    names
        .iter()
        .map(|name| format!("passed over {name}: an editor's leaving\n"))
        .collect()
}
