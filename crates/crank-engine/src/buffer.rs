//! How much of a response an entry node buffers before any of it is passed on to the caller.
//!
//! Load pattern: a node ends while the responses of its backend server are on their way. A response
//! that breaks off in the buffer can still be replaced, by that of a retry or by a failure; once
//! bytes have left for the caller, only closing its connection is left.

use crank_protocol::Millis;

use crate::Moment;

/// The largest body that is buffered whole, in bytes.
pub const MAX_BODY_BYTES: u64 = 256 * 1_024;
/// The longest time for which such a body is awaited.
pub const MAX_TIME: Millis = Millis(2_000);
/// The buffered part of a body that is known to be larger, in bytes.
pub const MAX_START_BYTES: u64 = 32 * 1_024;
/// The longest time for which this part is awaited.
pub const MAX_START_TIME: Millis = Millis(100);

/// The buffered bytes of all responses at one node.
pub const MAX_BYTES_OF_NODE: u64 = 8 * 1_024 * 1_024;

/// The share of the time that a request has left which the caller keeps for reading the response.
const READING_SHARE: u64 = 2;

/// When the buffering of a response ends, though its body has not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// The bytes of the body that end it.
    pub bytes: u64,
    /// The moment that ends it.
    pub until: Moment,
}

impl Limit {
    /// Returns the limit of a response whose head has just come, with the length that the backend
    /// server states.
    ///
    /// A body of unknown length may be a small one. At least half of the time up to `deadline`
    /// remains for passing the response on.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_engine::buffer::{self, Limit};
    /// use crank_protocol::Millis;
    /// let deadline = Moment(0).after(Millis(1_000));
    /// let limit = Limit::new(Moment(0), Some(200_000), deadline);
    /// assert_eq!(limit.bytes, buffer::MAX_BODY_BYTES);
    /// assert_eq!(limit.until, Moment(0).after(Millis(500)));
    /// ```
    #[must_use]
    pub fn new(now: Moment, length: Option<u64>, deadline: Moment) -> Self {
        let is_large = length.is_some_and(|length| length > MAX_BODY_BYTES);
        let (bytes, time) = if is_large {
            (MAX_START_BYTES, MAX_START_TIME)
        } else {
            (MAX_BODY_BYTES, MAX_TIME)
        };
        let time_left = deadline.since(now);
        let most = Millis(time_left.0 / READING_SHARE);
        Self {
            bytes,
            until: now.after(time.min(most)),
        }
    }

    /// Returns whether a response with so many buffered bytes is passed on.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_engine::buffer::{Limit, MAX_START_BYTES};
    /// use crank_protocol::Millis;
    /// let deadline = Moment(0).after(Millis(1_000));
    /// let download = Limit::new(Moment(0), Some(64 << 20), deadline);
    /// assert!(!download.is_reached(Moment(0), 0));
    /// assert!(download.is_reached(Moment(0), MAX_START_BYTES));
    /// ```
    #[must_use]
    pub fn is_reached(&self, now: Moment, bytes: u64) -> bool {
        bytes >= self.bytes || now >= self.until
    }
}
