//! Where a request that was sent ahead ends, for those whose end is certain from their head alone.
//!
//! The HTTP library remains the authority on framing. This module only recognises requests about
//! which there is nothing to interpret; everything else is unclear, and left to the library.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, Request, Uri};

/// The maximum size of a head that is recognised, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1_024;
/// The maximum number of header fields of a head that is recognised.
const MAX_HEADERS: usize = 48;
/// The maximum number of digits of a `Content-Length` that is recognised.
const MAX_LENGTH_DIGITS: usize = 15;

/// What stands at the beginning of some bytes that begin at the boundary of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framed {
    /// The beginning of a head.
    Partial,
    /// A whole head; the body may be incomplete.
    Message(Extent),
    /// Something whose end is not certain.
    Unclear,
}

/// The size of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Extent {
    /// The size of the head, in bytes.
    pub(super) head_bytes: usize,
    /// The size of the body, in bytes.
    pub(super) body_bytes: u64,
}

impl Extent {
    /// Returns the size of the whole message, in bytes.
    pub(super) fn bytes(self) -> u64 {
        self.head_bytes as u64 + self.body_bytes
    }
}

/// Finds the end of the message at the beginning of `bytes`.
pub(super) fn frame(bytes: &[u8]) -> Framed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Framed::Partial,
        Ok(httparse::Status::Complete(head_bytes)) if head_bytes <= MAX_HEAD_BYTES => {
            let body_bytes = certain_body_length(&head);
            body_bytes.map_or(Framed::Unclear, |body_bytes| {
                Framed::Message(Extent {
                    head_bytes,
                    body_bytes,
                })
            })
        }
        Ok(_) | Err(_) => Framed::Unclear,
    }
}

/// Parses the head of a GET or HEAD request; returns `None` for any other request.
pub(super) fn parse_safe_head(bytes: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    if !matches!(head.parse(bytes), Ok(httparse::Status::Complete(_))) {
        return None;
    }
    let mut request = Request::new(());
    *request.method_mut() = match head.method? {
        "GET" => Method::GET,
        "HEAD" => Method::HEAD,
        _ => return None,
    };
    *request.uri_mut() = Uri::try_from(head.path?).ok()?;
    for header in &*head.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}

/// Returns the length of the body in bytes, or `None` if it is not certain, or if it is not certain
/// that the connection stays as it is after this request.
fn certain_body_length(head: &httparse::Request<'_, '_>) -> Option<u64> {
    const HTTP_1_1: u8 = 1;
    if head.version != Some(HTTP_1_1) || head.method == Some("CONNECT") {
        return None;
    }
    let mut length = None;
    for header in &*head.headers {
        let is_named = |name: HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
        let is_doubtful = is_named(TRANSFER_ENCODING)
            || is_named(UPGRADE)
            || is_named(EXPECT)
            || (is_named(CONNECTION) && !header.value.eq_ignore_ascii_case(b"keep-alive"));
        if is_doubtful {
            return None;
        }
        if is_named(CONTENT_LENGTH) {
            if length.is_some() {
                return None;
            }
            length = Some(parse_length(header.value)?);
        }
    }
    Some(length.unwrap_or(0))
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = (1..=MAX_LENGTH_DIGITS).contains(&value.len())
        && value.iter().all(|byte| byte.is_ascii_digit());
    is_number.then(|| std::str::from_utf8(value).ok()?.parse().ok())?
}
