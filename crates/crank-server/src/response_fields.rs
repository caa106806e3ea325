//! Fields of a response's head: how long the connection stays open, when to retry, what is forwarded.

use std::sync::Arc;
use std::time::Duration;

use crank_protocol::Millis;
use crank_protocol::call::{Header, OUTCOME_HEADER, REFUSAL_HEADER, VERSION_HEADER};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, RETRY_AFTER};

/// The `Retry-After` of a shed request if the backend server does not state one.
const DEFAULT_RETRY_AFTER: Millis = Millis(100);
const MILLIS_PER_SECOND: u64 = 1_000;
/// Idle connections are dropped this much earlier than the backend server closes them.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Response headers that are not forwarded: hop-by-hop ones, and those that only nodes may set.
const STRIPPED_RESPONSE_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    OUTCOME_HEADER,
    REFUSAL_HEADER,
    VERSION_HEADER,
];

/// Returns how long the backend server keeps the connection open; `None` if it does not say.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get(CONNECTION).is_some_and(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.eq_ignore_ascii_case("close"))
    });
    if closes {
        return Some(Duration::ZERO);
    }
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let stated = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds = stated.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}

pub(crate) fn parse_retry_after(headers: &HeaderMap) -> Millis {
    let seconds = headers.get(RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, |seconds| {
        Millis(seconds.saturating_mul(MILLIS_PER_SECOND))
    })
}

pub(crate) fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let forwarded = headers.iter().filter(|(name, _)| {
        *name != CONTENT_LENGTH && !STRIPPED_RESPONSE_HEADERS.contains(&name.as_str())
    });
    forwarded
        .map(|(name, value)| Header {
            name: Arc::from(name.as_str()),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}
