//! Whether the head of a response is one head, from its first byte.

use http::{HeaderMap, Response};
use hyper::ext::ReasonPhrase;

const VERSION: &[u8] = b"HTTP/1.";
/// What follows the version's prefix in a status line: a minor version, a space and a status.
const STATUS_DIGITS: usize = 3;

/// Returns whether a status line stands inside the head.
///
/// If a server sends a second copy of a response that breaks off in its head, the next response goes
/// on where the copy ends. The HTTP library then reads one head: the status of the copy, and the
/// other headers and the body of the next response.
pub(crate) fn is_spliced<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    reason.is_some_and(|reason| contains_status_line(reason.as_bytes()))
        || has_spliced_value(response.headers())
}

fn has_spliced_value(headers: &HeaderMap) -> bool {
    headers
        .values()
        .any(|value| contains_status_line(value.as_bytes()))
}

fn contains_status_line(text: &[u8]) -> bool {
    text.windows(VERSION.len())
        .enumerate()
        .any(|(at, window)| window == VERSION && is_status(&text[at + VERSION.len()..]))
}

/// Returns whether the text is a minor version, a space and a status, whatever comes then.
fn is_status(text: &[u8]) -> bool {
    let Some((b'0'..=b'9', rest)) = text.split_first() else {
        return false;
    };
    let Some((b' ', rest)) = rest.split_first() else {
        return false;
    };
    let status = rest.get(..STATUS_DIGITS);
    status.is_some_and(|status| status.iter().all(u8::is_ascii_digit))
}
