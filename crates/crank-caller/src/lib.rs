//! The HTTP edge for callers: receives requests and returns complete responses.

mod edge;
mod error;
mod limits;
mod reply;
mod request;

use std::future::Future;

use crank_protocol::call::{RefusedRequest, Request, Response};

pub use edge::Edge;
pub use error::Error;

/// The maximum size of a request body that the node keeps in hand, in bytes.
pub const MAX_BODY_BYTES: usize = 1_048_576;
/// The maximum total size of the bodies of all requests in flight, in bytes, where the memory of the
/// machine is not known; see [`crank_engine::caller_budget::Bounds`].
pub const MAX_BUFFERED_BODY_BYTES: usize = 16 * MAX_BODY_BYTES;

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
}
