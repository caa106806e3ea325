//! Reads what a backend server states about itself from the headers of a response.

use crank_protocol::heartbeat::{StatedLimit, Statement};
use crank_protocol::{HttpDialect, RequestRate};
use http::header::HeaderMap;

/// The value of the header of a server that leaves.
const LEAVING: &str = "1";

/// Reads the statement of a response. `is_whole` says whether the response is the server's whole
/// answer to its request: only such a one tells by its silence that there is no limit.
pub(crate) fn read(dialect: &HttpDialect, headers: &HeaderMap, is_whole: bool) -> Statement {
    let leaving = dialect.leaving_header.as_deref();
    Statement {
        limit: read_limit(dialect, headers, is_whole),
        is_leaving: leaving.is_some_and(|name| text(headers, name) == Some(LEAVING)),
    }
}

fn read_limit(dialect: &HttpDialect, headers: &HeaderMap, is_whole: bool) -> StatedLimit {
    let Some(name) = dialect.rate_limit_header.as_deref() else {
        return StatedLimit::Unknown;
    };
    let Some(value) = headers.get(name) else {
        return if is_whole {
            StatedLimit::Unlimited
        } else {
            StatedLimit::Unknown
        };
    };
    match text(headers, name).and_then(RequestRate::from_decimal) {
        Some(rate) => StatedLimit::Limited(rate),
        None => {
            log::warn!(header = name, value:? = value; "the limit of the backend server is not a number: ignored");
            StatedLimit::Unknown
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}
