//! How the end of a backend server's response body is recognised, so that a truncated body can be
//! distinguished from a complete one.

use crank_protocol::config::Method;
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// How the end of a response body is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// There is no body; `stated` is the length that the body of another response would have, such
    /// as the one to GET instead of HEAD.
    None { stated: Option<u64> },
    /// The body ends after this many bytes.
    Length(u64),
    /// The body ends with the last chunk of a chunked encoding.
    LastChunk,
    /// The end cannot be recognised.
    Unknown,
}

impl BodyEnd {
    pub(crate) fn of(method: Method, status: u16, headers: &HeaderMap) -> Self {
        let stated = headers.get(CONTENT_LENGTH);
        let stated = stated.and_then(|value| value.to_str().ok()?.parse().ok());
        if method == Method::Head || matches!(status, NO_CONTENT | NOT_MODIFIED) {
            return Self::None { stated };
        }
        match stated {
            Some(length) => Self::Length(length),
            None if headers.contains_key(TRANSFER_ENCODING) => Self::LastChunk,
            None => Self::Unknown,
        }
    }

    /// Returns the length to state to the caller.
    pub(crate) fn length(self) -> Option<u64> {
        match self {
            Self::None { stated } => stated,
            Self::Length(length) => Some(length),
            Self::LastChunk | Self::Unknown => None,
        }
    }
}
