//! The HTTP listener for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crank_protocol::HttpDialect;
use crank_stream::FairStream;
use http::HeaderMap;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use warp::Filter;

use crate::ahead::{self, AheadServer};
use crate::{Error, Gateway, reply, request};

const MAX_CONNECTIONS: usize = 4_096;
/// The timeout for reading request headers, which is also the idle timeout of connections. It is
/// above the usual 90 s of HTTP clients, so that the client closes an idle connection first and no
/// request is sent on a connection that is being closed.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(100);
/// The pause after an error of `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a leaving edge still accepts connections before it closes the idle ones.
const DEFAULT_CLOSE_DELAY: Duration = Duration::from_secs(1);

/// Listens for the HTTP requests of callers.
pub struct Edge {
    listener: TcpListener,
    address: SocketAddr,
    dialect: Arc<HttpDialect>,
    close_delay: Duration,
    max_requests_ahead: usize,
}

impl Edge {
    /// Listens on an address; with port 0, the system chooses a free port.
    ///
    /// # Errors
    /// Returns [`Error::Listen`] if `address` cannot be bound.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), crank_caller::Error> {
    /// let edge = crank_caller::Edge::new(([127, 0, 0, 1], 0).into()).await?;
    /// assert_ne!(edge.address().port(), 0);
    /// # Ok(()) }
    /// ```
    pub async fn new(address: SocketAddr) -> Result<Self, Error> {
        let listen_error = |error: std::io::Error| Error::Listen {
            address,
            detail: Arc::from(error.to_string()),
        };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        Ok(Self {
            listener,
            address,
            dialect: Arc::default(),
            close_delay: DEFAULT_CLOSE_DELAY,
            max_requests_ahead: 0,
        })
    }

    /// Sets the header names and HTTP conventions.
    ///
    /// ```
    /// # use crank_caller::Edge;
    /// # use crank_protocol::HttpDialect;
    /// fn with_default_dialect(edge: Edge) -> Edge {
    ///     edge.with_dialect(HttpDialect::default().into())
    /// }
    /// ```
    #[must_use]
    pub fn with_dialect(self, dialect: Arc<HttpDialect>) -> Self {
        Self { dialect, ..self }
    }

    /// Sets how long a leaving edge still accepts new connections.
    ///
    /// ```
    /// # use crank_caller::Edge;
    /// fn with_longer_close_delay(edge: Edge) -> Edge {
    ///     edge.with_close_delay(std::time::Duration::from_secs(3))
    /// }
    /// ```
    #[must_use]
    pub fn with_close_delay(self, close_delay: Duration) -> Self {
        Self {
            close_delay,
            ..self
        }
    }

    /// Sets how many requests that were sent ahead on a connection may run before their turn; none
    /// by default. Only requests that the gateway allows to start ahead do.
    ///
    /// ```
    /// # use crank_caller::{Edge, MAX_REQUESTS_AHEAD};
    /// fn with_requests_ahead(edge: Edge) -> Edge {
    ///     edge.with_requests_ahead(MAX_REQUESTS_AHEAD)
    /// }
    /// ```
    #[must_use]
    pub fn with_requests_ahead(self, max_requests_ahead: usize) -> Self {
        Self {
            max_requests_ahead,
            ..self
        }
    }

    /// Returns the address that callers connect to.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), crank_caller::Error> {
    /// let edge = crank_caller::Edge::new(([127, 0, 0, 1], 0).into()).await?;
    /// assert!(edge.address().ip().is_loopback());
    /// # Ok(()) }
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves callers until `leaving` is cancelled and all responses in flight have ended.
    ///
    /// ```
    /// # use crank_caller::{Edge, Gateway};
    /// # use tokio_util::sync::CancellationToken;
    /// async fn serve(edge: Edge, gateway: impl Gateway) {
    ///     let leaving = CancellationToken::new();
    ///     edge.run(gateway, leaving).await;
    /// }
    /// ```
    pub async fn run(self, gateway: impl Gateway, leaving: CancellationToken) {
        let is_leaving = Arc::new(AtomicBool::new(false));
        let connections = Connections {
            permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
            closing: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let service = warp::service(filter(gateway.clone(), self.dialect));
        let server = AheadServer::new(
            service,
            gateway,
            self.max_requests_ahead,
            is_leaving.clone(),
        );
        let accept = connections.accept_all(&self.listener, server);
        tokio::select! {
            () = accept => {}
            () = wait_for_close(&leaving, &is_leaving, self.close_delay) => {}
        }
        drop(self.listener);
        connections.close().await;
    }
}

/// Waits for `leaving` to be cancelled, and then for `close_delay`.
///
/// During the delay, responses ask callers to close their connections, so that no request races
/// with the edge closing the remaining ones.
async fn wait_for_close(
    leaving: &CancellationToken,
    is_leaving: &AtomicBool,
    close_delay: Duration,
) {
    leaving.cancelled().await;
    is_leaving.store(true, Ordering::Relaxed);
    sleep(close_delay).await;
}

struct Connections {
    permits: Arc<Semaphore>,
    /// Cancelled when connections close as soon as they have answered what was started.
    closing: CancellationToken,
    tasks: TaskTracker,
}

impl Connections {
    async fn accept_all<S, G>(&self, listener: &TcpListener, server: AheadServer<S, G>)
    where
        S: ahead::Service,
        G: Gateway,
    {
        while let Ok(permit) = self.permits.clone().acquire_owned().await {
            let stream = FairStream::new(accept(listener).await);
            let server = server.clone();
            let closing = self.closing.child_token();
            self.tasks.spawn(async move {
                let mut builder = http1::Builder::new();
                builder
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEADER_READ_TIMEOUT);
                if let Err(error) = server.serve(&builder, stream, closing).await {
                    log::debug!(error:% = error; "caller connection closed");
                }
                drop(permit);
            });
        }
    }

    /// Closes all connections and waits for their ends.
    async fn close(self) {
        self.closing.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection: retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn filter<G: Gateway>(
    gateway: G,
    dialect: Arc<HttpDialect>,
) -> impl Filter<Extract = (warp::reply::Response,), Error = Infallible> + Clone {
    let body_budget = request::BodyBudget::new();
    let fallback_dialect = dialect.clone();
    let query = warp::query::raw()
        .map(Some)
        .or_else(|_| async { Ok::<_, Infallible>((None,)) });
    warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(
            move |method, path: warp::path::FullPath, query, headers, body| {
                let gateway = gateway.clone();
                let dialect = dialect.clone();
                let body_budget = body_budget.clone();
                async move {
                    let path = path_and_query(path.as_str(), query);
                    let incoming = IncomingRequest {
                        method,
                        path,
                        headers,
                        body,
                    };
                    answer(&gateway, &body_budget, &dialect, incoming).await
                }
            },
        )
        .recover(move |rejection| {
            let response = reject_unreadable(&rejection, &fallback_dialect);
            async move { Ok::<_, Infallible>(response) }
        })
        .unify()
}

fn reject_unreadable(rejection: &warp::Rejection, dialect: &HttpDialect) -> warp::reply::Response {
    log::debug!(rejection:? = rejection; "request refused: it cannot be read");
    reply::invalid_request(&request::InvalidRequest::Body, dialect)
}

fn path_and_query(path: &str, query: Option<String>) -> Arc<str> {
    match query {
        Some(query) => Arc::from(format!("{path}?{query}")),
        None => Arc::from(path),
    }
}

/// A request as received from the HTTP library.
struct IncomingRequest<S> {
    method: http::Method,
    path: Arc<str>,
    headers: HeaderMap,
    body: S,
}

async fn answer<G, S, B, E>(
    gateway: &G,
    body_budget: &request::BodyBudget,
    dialect: &HttpDialect,
    incoming: IncomingRequest<S>,
) -> warp::reply::Response
where
    G: Gateway,
    S: futures::Stream<Item = Result<B, E>>,
    B: bytes::Buf,
{
    let IncomingRequest {
        method,
        path,
        headers,
        body,
    } = incoming;
    // The permit for the body is held until the gateway has finished with the request.
    let (request, _body_permit) =
        match request::read_request(method, path, headers, body, body_budget).await {
            Ok(read) => read,
            Err(error) => return reply::invalid_request(&error, dialect),
        };
    let method = request.method;
    match gateway.call(request).await {
        Ok(response) => reply::response(response, method),
        Err(refused) => reply::refused_request(&refused, dialect),
    }
}
