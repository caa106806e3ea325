//! A pool of connections to backend servers.
//!
//! Connections are reused between requests and dropped as soon as their state is uncertain.

use std::collections::HashMap;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use crank_stream::{FairStream, Progress};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

const MAX_IDLE_CONNECTIONS: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections are dropped before the backend server closes them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// What a server may send that makes up neither the head of a response nor a part of its body, such
/// as interim responses: far more than the longest head that is accepted.
const MAX_UNUSED_BYTES: u64 = 1_024 * 1_024;

/// The most interim responses (1xx) that a server may send before the response to a request.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// An HTTP connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: Progress,
    /// The interim responses since the last request was sent.
    interim_responses: Arc<AtomicU32>,
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.progress.record();
        self.count_interim_responses(&mut request);
        let response = self.sender.try_send_request(request).await?;
        self.progress.record();
        Ok(response)
    }

    /// Counts the interim responses to a request; ends the connection after too many.
    fn count_interim_responses(&self, request: &mut Request<Full<Bytes>>) {
        self.interim_responses.store(0, Ordering::Relaxed);
        let (count, progress) = (self.interim_responses.clone(), self.progress.clone());
        hyper::ext::on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
                progress.end();
            }
        });
    }

    /// Returns whether the server has sent too many interim responses to the last request.
    pub(crate) fn has_too_many_interim_responses(&self) -> bool {
        self.interim_responses.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }

    /// Records that a part of a response's body was received.
    pub(crate) fn record_progress(&self) {
        self.progress.record();
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the next request can be sent; returns false if the connection has closed.
    pub(crate) async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The pool of idle connections to backend servers; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl ConnectionPool {
    /// Removes and returns the most recently used idle connection that is still open.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(idle_connection) = connections.pop() {
            if idle_connection.expires_at > now && idle_connection.connection.is_ready() {
                return Some(idle_connection.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, for at most `limit`, the time that the server keeps it
    /// open.
    pub(crate) fn put_back(
        &self,
        address: SocketAddr,
        connection: Connection,
        limit: Option<Duration>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let limit = limit.map_or(IDLE_TIMEOUT, |limit| limit.min(IDLE_TIMEOUT));
        let expires_at = Instant::now() + limit;
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Opens a connection; returns `None` if the server does not accept it, in which case nothing
    /// was sent.
    pub(crate) async fn open(&self, address: SocketAddr) -> Option<Connection> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!(address:% = address, error:% = error; "cannot reach backend server");
                return None;
            }
            Err(_) => return None,
        };
        let _ = stream.set_nodelay(true);
        let progress = Progress::new();
        let stream = FairStream::new(stream).with_limit(progress.clone(), MAX_UNUSED_BYTES);
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                report_failure(address, &error);
            }
        });
        Some(Connection {
            sender,
            progress,
            interim_responses: Arc::default(),
        })
    }
}

fn report_failure(address: SocketAddr, error: &hyper::Error) {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    match cause.map(std::io::Error::kind) {
        Some(ErrorKind::InvalidData) => log::warn!(
            address:% = address, error:? = error;
            "backend server sends bytes without end: connection closed"
        ),
        _ => log::debug!(address:% = address, error:% = error; "backend connection failed"),
    }
}
