//! The HTTP edge for callers: receives requests and returns complete responses.

mod ahead;
mod edge;
mod error;
mod limits;
mod reply;
mod request;

use std::future::Future;

use crank_protocol::call::{RefusedRequest, Request, Response};
use crank_protocol::config::Method;

pub use ahead::{MAX_AHEAD_BYTES, MAX_STARTED_AHEAD};
pub use edge::Edge;
pub use error::Error;

/// The maximum size of a request body that the node keeps in hand, in bytes.
pub const MAX_BODY_BYTES: usize = 1_048_576;
/// The maximum total size of the bodies of all requests in flight, in bytes, where the memory of the
/// machine is not known; see [`crank_engine::caller_budget::Bounds`].
pub const MAX_BUFFERED_BODY_BYTES: usize = 16 * MAX_BODY_BYTES;

/// The recommended maximum number of requests that run before their turn on one connection.
pub const MAX_REQUESTS_AHEAD: usize = 8;

/// The most requests that may wait behind the running one on a connection; with more, the connection
/// closes after the running answer.
pub const MAX_WAITING_REQUESTS: usize = 64;
/// The most header fields of a request whose connection is kept; one with more is answered, and is
/// the last of its connection.
pub const MAX_KEPT_FIELDS: usize = 256;

/// What became of a request that was sent ahead on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AheadEvent {
    /// It was started before its turn.
    Started,
    /// Its turn came, and its call was taken over.
    TakenOver,
    /// Its call was cancelled before its turn: the caller left, or the connection closed.
    Cancelled,
}

/// Answers the requests that callers send.
pub trait Gateway: Clone + Send + Sync + 'static {
    /// Answers a request. The future, or the response body, is dropped if the caller disconnects.
    ///
    /// # Errors
    /// Returns why there is no response, and whether the request may have run.
    fn call(
        &self,
        request: Request,
    ) -> impl Future<Output = Result<Response, RefusedRequest>> + Send;

    /// Whether a request with a safe method may run beside others of its connection, before its
    /// turn: it must be idempotent. `host` is in lower case and without the port, `path` without
    /// the query.
    fn may_start_ahead(&self, _method: Method, _host: &str, _path: &str) -> bool {
        false
    }

    /// Counts what became of a request that was sent ahead.
    fn count_ahead(&self, _event: AheadEvent) {}
}
