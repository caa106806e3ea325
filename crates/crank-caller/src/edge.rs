//! The HTTP listener for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crank_engine::caller_budget::MachineLimits;
use crank_protocol::HttpDialect;
use crank_protocol::config::Snapshot;
use crank_stream::{Connection, Door, FairStream, accept};
use http::HeaderMap;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use warp::Filter;

use crate::ahead::{self, AheadServer};
use crate::limits::Limits;
use crate::{Error, Gateway, reply, request};

/// How long a leaving edge still accepts connections before it closes the idle ones.
const DEFAULT_CLOSE_DELAY: Duration = Duration::from_secs(1);

/// Listens for the HTTP requests of callers.
pub struct Edge {
    listener: TcpListener,
    address: SocketAddr,
    dialect: Arc<HttpDialect>,
    close_delay: Duration,
    limits: Limits,
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
            limits: Limits::default(),
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

    /// Sets the limits of the machine, within which connections and requests are held.
    ///
    /// ```
    /// # use crank_caller::Edge;
    /// # use crank_engine::caller_budget::MachineLimits;
    /// fn on_small_machine(edge: Edge) -> Edge {
    ///     edge.with_machine(MachineLimits { memory_bytes: Some(160 << 20), descriptors: Some(4_100) })
    /// }
    /// ```
    #[must_use]
    pub fn with_machine(self, machine: MachineLimits) -> Self {
        let limits = self.limits.with_machine(machine);
        Self { limits, ..self }
    }

    /// Sets the configuration whose limits for callers are in force.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use crank_caller::Edge;
    /// # use crank_protocol::config::Snapshot;
    /// # use tokio::sync::watch;
    /// fn limit(edge: Edge, config: watch::Receiver<Option<Arc<Snapshot>>>) -> Edge {
    ///     edge.with_config(config)
    /// }
    /// ```
    #[must_use]
    pub fn with_config(self, config: watch::Receiver<Option<Arc<Snapshot>>>) -> Self {
        let limits = self.limits.with_config(config);
        Self { limits, ..self }
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
            door: Door::new(self.limits.bounds()),
            limits: self.limits.clone(),
            closing: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let filter = filter(gateway.clone(), self.dialect, self.limits.clone());
        let service = warp::service(filter);
        let server = AheadServer::new(
            service,
            gateway,
            self.max_requests_ahead,
            is_leaving.clone(),
        );
        tokio::select! {
            () = connections.accept_all(&self.listener, server) => {}
            () = connections.door.sweep() => {}
            () = self.limits.follow(&connections.door) => {}
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
    door: Door,
    limits: Limits,
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
        loop {
            let stream = accept(listener).await;
            let connection = self.door.enter().await;
            let server = server.for_connection(connection.clone());
            let stream = connection.guard(FairStream::new(stream));
            let (http, buffer_bytes) = self.http();
            let closing = self.closing.child_token();
            let outgrown = self.limits.clone().outgrow(buffer_bytes);
            let task = self.tasks.spawn(async move {
                let mut serving = pin!(server.serve(&http, stream, closing.clone()));
                let served = tokio::select! {
                    served = &mut serving => served,
                    () = outgrown => {
                        closing.cancel();
                        serving.await
                    }
                };
                if let Err(error) = served {
                    log::debug!(error:% = error; "caller connection closed");
                }
            });
            connection.set_task(task.abort_handle());
        }
    }

    /// Closes all connections and waits for their ends.
    async fn close(self) {
        self.closing.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Returns the HTTP library's settings for a new connection, and the size of its buffers.
    ///
    /// The library keeps these settings for as long as the connection is open. Therefore it limits a
    /// head by the buffers alone, and leaves time-outs to the [`Door`]; the operator's limit on heads,
    /// as it is then, is checked with each request.
    fn http(&self) -> (http1::Builder, usize) {
        let buffer_bytes = self.limits.buffer_bytes();
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(buffer_bytes)
            .max_header_size(buffer_bytes);
        if let Some(fields) = self.limits.fields() {
            http.max_headers(fields);
        }
        (http, buffer_bytes)
    }
}

fn filter<G: Gateway>(
    gateway: G,
    dialect: Arc<HttpDialect>,
    limits: Limits,
) -> impl Filter<Extract = (warp::reply::Response,), Error = Infallible> + Clone {
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
        .and(warp::ext::get())
        .then(
            move |method, path: warp::path::FullPath, query, headers, body, connection| {
                let gateway = gateway.clone();
                let dialect = dialect.clone();
                let limits = limits.clone();
                async move {
                    let path = path_and_query(path.as_str(), query);
                    let incoming = IncomingRequest {
                        method,
                        path,
                        headers,
                        body,
                        connection,
                    };
                    answer(&gateway, &limits, &dialect, incoming).await
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
    connection: Connection,
}

async fn answer<G, S, B, E>(
    gateway: &G,
    limits: &Limits,
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
        connection,
    } = incoming;
    // What the request holds is counted until the gateway has finished with it.
    let mut hold = connection.begin_request();
    let read = request::read_request(method, path, headers, body, limits, &mut hold);
    let request = match read.await {
        Ok(request) => request,
        Err(error) => {
            hold.record_refused();
            return reply::invalid_request(&error, dialect);
        }
    };
    hold.record_received();
    let method = request.method;
    let result = gateway.call(request).await;
    hold.release();
    match result {
        Ok(response) => reply::response(response, method, hold),
        Err(refused) => reply::refused_request(&refused, dialect),
    }
}
