//! Connections to backend servers: opened, kept between requests, dropped at the first doubt.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

const MOST_IDLE_CONNECTIONS: usize = 64;
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Idle connections are given up before the backend server closes them.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// One HTTP connection that serves one request at a time.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections to backend servers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connections {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Connections {
    /// An idle connection that is still open, the one used last first.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&address)?;
        while let Some(last) = kept.pop() {
            if last.until > now && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, for as long as its server keeps it.
    pub(crate) fn keep(
        &self,
        address: SocketAddr,
        connection: Connection,
        limit: Option<Duration>,
    ) {
        if connection.is_closed() {
            return;
        }
        let limit = limit.map_or(IDLE_LIMIT, |limit| limit.min(IDLE_LIMIT));
        let until = Instant::now() + limit;
        let mut idle = self.idle.lock();
        let kept = idle.entry(address).or_default();
        if kept.len() < MOST_IDLE_CONNECTIONS {
            kept.push(Idle { connection, until });
        }
    }

    /// Opens one; `None` where the server takes none, and nothing was sent.
    pub(crate) async fn open(&self, address: SocketAddr) -> Option<Connection> {
        let stream = match timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!(address:% = address, error:% = error; "backend server not reached");
                return None;
            }
            Err(_) => return None,
        };
        let _ = stream.set_nodelay(true);
        let (connection, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(address:% = address, error:% = error; "backend connection ended");
            }
        });
        Some(connection)
    }
}
