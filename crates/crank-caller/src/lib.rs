//! Callers: the HTTP edge that takes requests and gives whole answers.

mod edge;
mod error;
mod reply;
mod request;

use std::future::Future;

use crank_protocol::call::{RefusedRequest, Request, Response};

pub use edge::Edge;
pub use error::Error;

/// The largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 1_048_576;
/// The room for the bodies of all requests that are on their way, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 16 * MAX_BODY_BYTES;

/// What answers the requests that callers send.
pub trait Gateway: Clone + Send + Sync + 'static {
    /// Answers a request; the future, or the answer's body, is dropped when the caller leaves.
    ///
    /// # Errors
    /// Why there is no answer, and what is certain about the request.
    fn call(
        &self,
        request: Request,
    ) -> impl Future<Output = Result<Response, RefusedRequest>> + Send;
}
