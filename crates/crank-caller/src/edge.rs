//! The listener for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crank_protocol::HttpDialect;
use http::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use warp::Filter;

use crate::{Error, Gateway, reply, request};

const MOST_CONNECTIONS: usize = 4_096;
/// Also how long a connection may idle; above the usual 90 s of HTTP clients, so that they close
/// first and no request meets a closing connection.
const HEADER_LIMIT: Duration = Duration::from_secs(100);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const GENTLE_CLOSE: Duration = Duration::from_secs(1);

/// The HTTP listener for callers.
pub struct Edge {
    listener: TcpListener,
    address: SocketAddr,
    dialect: Arc<HttpDialect>,
    gentle_close: Duration,
}

impl Edge {
    /// Listens on an address; port 0 takes a free one.
    ///
    /// # Errors
    /// [`Error::Listen`].
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), crank_caller::Error> {
    /// let edge = crank_caller::Edge::new(([127, 0, 0, 1], 0).into()).await?;
    /// assert_ne!(edge.address().port(), 0);
    /// # Ok(()) }
    /// ```
    pub async fn new(address: SocketAddr) -> Result<Self, Error> {
        let refused = |error: std::io::Error| Error::Listen {
            address,
            detail: Arc::from(error.to_string()),
        };
        let listener = TcpListener::bind(address).await.map_err(refused)?;
        let address = listener.local_addr().map_err(refused)?;
        Ok(Self {
            listener,
            address,
            dialect: Arc::default(),
            gentle_close: GENTLE_CLOSE,
        })
    }

    /// The same with other header names and customs.
    ///
    /// ```
    /// # use crank_caller::Edge;
    /// # use crank_protocol::HttpDialect;
    /// fn whole_seconds(edge: Edge) -> Edge {
    ///     edge.with_dialect(HttpDialect::default().into())
    /// }
    /// ```
    #[must_use]
    pub fn with_dialect(self, dialect: Arc<HttpDialect>) -> Self {
        Self { dialect, ..self }
    }

    /// The same, but a leaving edge still takes new connections for this long.
    ///
    /// ```
    /// # use crank_caller::Edge;
    /// fn slow_to_go(edge: Edge) -> Edge {
    ///     edge.with_close_delay(std::time::Duration::from_secs(3))
    /// }
    /// ```
    #[must_use]
    pub fn with_close_delay(self, gentle_close: Duration) -> Self {
        Self {
            gentle_close,
            ..self
        }
    }

    /// The address that callers reach it at.
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

    /// Serves callers until `leaving` is cancelled and every answer in flight has ended.
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
            room: Arc::new(Semaphore::new(MOST_CONNECTIONS)),
            open: GracefulShutdown::new(),
        };
        let service = warp::service(filter(gateway, self.dialect, is_leaving.clone()));
        let accept = connections.accept_all(&self.listener, service);
        tokio::select! {
            () = accept => {}
            () = gentle_close(&leaving, &is_leaving, self.gentle_close) => {}
        }
        drop(self.listener);
        connections.open.shutdown().await;
    }
}

/// After `leaving`, answers ask callers to close their connections, so that closing those that are
/// left races with no request.
async fn gentle_close(leaving: &CancellationToken, is_leaving: &AtomicBool, wait: Duration) {
    leaving.cancelled().await;
    is_leaving.store(true, Ordering::Relaxed);
    sleep(wait).await;
}

struct Connections {
    room: Arc<Semaphore>,
    open: GracefulShutdown,
}

impl Connections {
    async fn accept_all<S>(&self, listener: &TcpListener, service: S)
    where
        S: tower_service::Service<
                http::Request<hyper::body::Incoming>,
                Response = warp::reply::Response,
                Error = Infallible,
            > + Clone
            + Send
            + 'static,
        S::Future: Send,
    {
        while let Ok(room) = self.room.clone().acquire_owned().await {
            let stream = accept(listener).await;
            let service = TowerToHyperService::new(service.clone());
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_LIMIT)
                .serve_connection(TokioIo::new(stream), service);
            let connection = self.open.watch(connection);
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!(error:% = error; "caller connection closed");
                }
                drop(room);
            });
        }
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
                log::warn!(error:% = error; "cannot accept callers");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn filter<G: Gateway>(
    gateway: G,
    dialect: Arc<HttpDialect>,
    is_leaving: Arc<AtomicBool>,
) -> impl Filter<Extract = (warp::reply::Response,), Error = Infallible> + Clone {
    let room = request::Room::new();
    let unread = dialect.clone();
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
                let is_leaving = is_leaving.clone();
                let dialect = dialect.clone();
                let room = room.clone();
                async move {
                    let path = whole_path(path.as_str(), query);
                    let came = Came {
                        method,
                        path,
                        headers,
                        body,
                    };
                    let mut response = answer(&gateway, &room, &dialect, came).await;
                    if is_leaving.load(Ordering::Relaxed) {
                        let close = HeaderValue::from_static("close");
                        response.headers_mut().insert(CONNECTION, close);
                    }
                    response
                }
            },
        )
        .recover(move |rejection| {
            let response = unreadable(&rejection, &unread);
            async move { Ok::<_, Infallible>(response) }
        })
        .unify()
}

fn unreadable(rejection: &warp::Rejection, dialect: &HttpDialect) -> warp::reply::Response {
    log::debug!(rejection:? = rejection; "unreadable request");
    reply::fault(&request::Fault::Body, dialect)
}

fn whole_path(path: &str, query: Option<String>) -> Arc<str> {
    match query {
        Some(query) => Arc::from(format!("{path}?{query}")),
        None => Arc::from(path),
    }
}

/// A request as the library hands it over.
struct Came<S> {
    method: http::Method,
    path: Arc<str>,
    headers: HeaderMap,
    body: S,
}

async fn answer<G, S, B, E>(
    gateway: &G,
    room: &request::Room,
    dialect: &HttpDialect,
    came: Came<S>,
) -> warp::reply::Response
where
    G: Gateway,
    S: futures::Stream<Item = Result<B, E>>,
    B: bytes::Buf,
{
    let Came {
        method,
        path,
        headers,
        body,
    } = came;
    // The room is held until the gateway needs the body no more.
    let (request, _taken) = match request::read(method, path, headers, body, room).await {
        Ok(read) => read,
        Err(fault) => return reply::fault(&fault, dialect),
    };
    let method = request.method;
    match gateway.call(request).await {
        Ok(answer) => reply::answer(answer, method),
        Err(refused) => reply::refused(&refused, dialect),
    }
}
