//! Whether the end of a backend server's answer can be told from a cut.

use crank_protocol::config::Method;
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// There is no body; a length that is stated is that of another answer's.
    None { stated: Option<u64> },
    /// After this many bytes.
    Length(u64),
    /// At the last chunk.
    Mark,
    /// Not at all.
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
            None if headers.contains_key(TRANSFER_ENCODING) => Self::Mark,
            None => Self::Unknown,
        }
    }

    /// The length that the caller is told.
    pub(crate) fn length(self) -> Option<u64> {
        match self {
            Self::None { stated } => stated,
            Self::Length(length) => Some(length),
            Self::Mark | Self::Unknown => None,
        }
    }
}
