//! Requests that a caller sends ahead on a connection, before the first has been answered.
//!
//! The HTTP library reads the next request of a connection only after it has written the previous
//! response, while the next request's time limit already runs. A stream between the socket and the
//! library reads on meanwhile, up to [`MAX_AHEAD_BYTES`], and starts the calls of the requests
//! that it finds. The library remains the only authority on framing, on what is answered and in
//! which order: a call that was started ahead is used only if the library reads the very same
//! request in its turn. A call starts ahead only if the end of every request before it is certain
//! and all requests that are not answered yet have safe methods and idempotent routes.
//!
//! If the caller leaves, or a response before them closes the connection, the calls that were
//! started ahead are cancelled.

mod body;
mod early;
mod exchange;
mod framing;
mod service;
mod start;
mod stream;
mod target;

use std::convert::Infallible;
use std::error::Error as StdError;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bytes::Bytes;
use crank_stream::Connection;
use http::{Request, Response};
use http_body_util::{Either, Empty};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::sync::CancellationToken;

use crate::Gateway;
use exchange::Exchange;
use service::AheadService;
use start::Starter;
use stream::AheadStream;

/// The maximum number of bytes that are read ahead on one connection.
pub const MAX_AHEAD_BYTES: usize = 16 * 1_024;
/// The maximum number of calls that have been started ahead on all connections together. Each
/// holds at most 32 KiB of its response, and one chunk more.
pub const MAX_STARTED_AHEAD: usize = 128;

/// The body of a request: received by the HTTP library, or none.
pub(crate) type RequestBody = Either<Incoming, Empty<Bytes>>;

/// The service that answers requests.
pub(crate) trait Service: Clone + Send + Sync + 'static {
    /// The body of a response.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn StdError + Send + Sync>>> + Send + 'static;

    /// Answers a request.
    fn call(
        &mut self,
        request: Request<RequestBody>,
    ) -> impl Future<Output = Result<Response<Self::Body>, Infallible>> + Send + 'static;
}

impl<S, B> Service for S
where
    S: tower_service::Service<
            Request<RequestBody>,
            Response = Response<B>,
            Error = Infallible,
            Future: Send + 'static,
        > + Clone
        + Send
        + Sync
        + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn StdError + Send + Sync>>> + Send + 'static,
{
    type Body = B;

    fn call(
        &mut self,
        request: Request<RequestBody>,
    ) -> impl Future<Output = Result<Response<B>, Infallible>> + Send + 'static {
        tower_service::Service::call(self, request)
    }
}

/// Serves connections on which requests may be sent ahead; clones share the bounds.
pub(crate) struct AheadServer<S, G> {
    starter: Arc<Starter<S, G>>,
}

impl<S, G> Clone for AheadServer<S, G> {
    fn clone(&self) -> Self {
        Self {
            starter: self.starter.clone(),
        }
    }
}

impl<S: Service, G: Gateway> AheadServer<S, G> {
    /// Creates a server that starts at most `max_requests` calls ahead on each connection.
    pub(crate) fn new(
        service: S,
        gateway: G,
        max_requests: usize,
        is_leaving: Arc<AtomicBool>,
    ) -> Self {
        let starter = Starter::new(service, gateway, max_requests, is_leaving);
        Self {
            starter: Arc::new(starter),
        }
    }

    /// Returns the server of one connection, whose requests are counted for it.
    pub(crate) fn for_connection(&self, connection: Connection) -> Self {
        Self {
            starter: Arc::new(self.starter.for_connection(connection)),
        }
    }

    /// Serves a connection until it closes. Once `closing` is cancelled, the connection closes as
    /// soon as the calls that have been started on it are answered.
    ///
    /// # Errors
    /// Returns why the connection was closed before its end.
    pub(crate) async fn serve<T>(
        &self,
        builder: &http1::Builder,
        stream: T,
        closing: CancellationToken,
    ) -> hyper::Result<()>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let exchange = Exchange::default();
        let stream = AheadStream::new(stream, self.starter.clone(), exchange.clone());
        let service = AheadService::new(self.starter.clone(), exchange.clone());
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let mut closed = pin!(closing.cancelled());
        let mut must_close = false;
        let mut is_told = false;
        std::future::poll_fn(|context| {
            must_close = must_close || closed.as_mut().poll(context).is_ready();
            if must_close && !is_told && exchange.has_none_started() {
                is_told = true;
                connection.as_mut().graceful_shutdown();
            }
            connection.as_mut().poll(context)
        })
        .await
    }
}
