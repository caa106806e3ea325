//! A pool of call connections to other nodes, which are opened on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::call::{RefusedRequest, RequestHead, Response};
use crank_protocol::wire::Hello;
use crank_protocol::{Millis, Name};
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::attempt::not_sent_refusal;
use super::link::Connection;

/// How long opening a connection may take, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The minimum time between two replacements of the connection to a peer: a node that is slow to
/// answer would be no quicker over a third one.
const MIN_REPLACEMENT_INTERVAL: Duration = Duration::from_millis(1_000);
/// The number of connections that a node opens at once.
const MAX_CONCURRENT_OPENS: usize = 16;
/// The number of peers at which idle ones are removed to make room for another.
const MAX_PEERS: usize = 256;

/// The name and address of a node to connect to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The name of the node.
    pub id: Name,
    /// The mesh address of the node.
    pub address: SocketAddr,
}

/// The call connections of a node to other nodes; clones share them.
#[derive(Clone)]
pub struct Pool {
    hello: Arc<Hello>,
    slots: Arc<Mutex<HashMap<Peer, Arc<PeerSlot>>>>,
    /// Bounds the connections that are being opened.
    opens: Arc<Semaphore>,
}

/// The connection to a peer, if one is open, and the failures to open one.
#[derive(Default)]
struct PeerSlot {
    connection: Mutex<Option<Connection>>,
    /// Locked while a connection is being opened.
    failures: tokio::sync::Mutex<Failures>,
}

/// The consecutive failures to connect to a peer, and when its connection was last replaced.
#[derive(Default)]
struct Failures {
    count: u32,
    retry_at: Option<Instant>,
    replaced_at: Option<Instant>,
}

impl Failures {
    /// Returns whether a connection was replaced so recently that another one would not help.
    fn was_replaced_recently(&self, now: Instant) -> bool {
        self.replaced_at
            .is_some_and(|at| now < at + MIN_REPLACEMENT_INTERVAL)
    }
}

impl PeerSlot {
    fn open_connection(&self) -> Option<Connection> {
        let connection = self.connection.lock();
        connection
            .as_ref()
            .filter(|connection| !connection.is_closed())
            .cloned()
    }

    /// Returns the connection unless it seems to have gone silent.
    fn sound_connection(&self) -> Option<Connection> {
        self.open_connection()
            .filter(|connection| !connection.is_suspect())
    }

    fn is_idle(&self) -> bool {
        let connection = self.open_connection();
        connection.is_none_or(|connection| connection.in_flight() == 0)
    }
}

impl Pool {
    /// Returns a pool without connections, which sends `hello` on each connection that it opens.
    ///
    /// ```
    /// # use crank_protocol::wire::Hello;
    /// # fn example(hello: Hello) {
    /// let pool = crank_mesh::call::Pool::new(hello);
    /// assert_eq!(pool.in_flight(), 0);
    /// # }
    /// ```
    #[must_use]
    pub fn new(hello: Hello) -> Self {
        Self {
            hello: Arc::new(hello),
            slots: Arc::default(),
            opens: Arc::new(Semaphore::new(MAX_CONCURRENT_OPENS)),
        }
    }

    /// Returns the number of attempts in flight to all nodes.
    ///
    /// ```
    /// # fn example(pool: &crank_mesh::call::Pool) {
    /// assert_eq!(pool.in_flight(), 0);
    /// # }
    /// ```
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let slots = self.slots.lock();
        let connections = slots.values().filter_map(|slot| slot.open_connection());
        connections.map(|connection| connection.in_flight()).sum()
    }

    /// Sends a request to a node; opens a connection first if none is open.
    ///
    /// # Errors
    /// Returns the errors of [`Connection::send_request`]; if no connection can be opened, a
    /// refusal that says that the request certainly did not run.
    ///
    /// ```
    /// # use crank_protocol::call::{Response, RequestHead, RefusedRequest};
    /// # use crank_mesh::call::{Peer, Pool};
    /// # async fn example(
    /// #     pool: &Pool,
    /// #     peer: &Peer,
    /// #     head: RequestHead,
    /// # ) -> Result<Response, RefusedRequest> {
    /// pool.send_request(peer, head, bytes::Bytes::new()).await
    /// # }
    /// ```
    pub async fn send_request(
        &self,
        peer: &Peer,
        mut head: RequestHead,
        body: Bytes,
    ) -> Result<Response, RefusedRequest> {
        let slot = self.slot(peer).ok_or_else(not_sent_refusal)?;
        if let Some(connection) = slot.sound_connection() {
            return self.send_on(connection, slot, peer, head, body).await;
        }
        let started = Instant::now();
        let time_left = Duration::from(head.time_left);
        // Runs in its own task, so that its result is recorded even if this caller stops waiting.
        let connect = tokio::spawn(self.clone().connect(slot.clone(), peer.clone()));
        let time_limit = time_left.min(CONNECT_TIMEOUT);
        let connected = tokio::time::timeout(time_limit, connect).await;
        let connection = connected.ok().and_then(Result::ok).flatten();
        let connection = connection.ok_or_else(not_sent_refusal)?;
        head.time_left = time_left.saturating_sub(started.elapsed()).into();
        self.send_on(connection, slot, peer, head, body).await
    }

    /// Sends a request on a connection; opens another one if this one seems to go silent, because
    /// only an answer over another connection makes the silence certain.
    async fn send_on(
        &self,
        connection: Connection,
        slot: Arc<PeerSlot>,
        peer: &Peer,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Response, RefusedRequest> {
        let mut request = pin!(connection.send_request(head, body));
        tokio::select! {
            result = &mut request => return result,
            () = connection.suspected() => {}
        }
        tokio::spawn(self.clone().connect(slot, peer.clone()));
        request.await
    }

    /// Returns the slot of a peer; `None` if there are too many peers and none is idle.
    fn slot(&self, peer: &Peer) -> Option<Arc<PeerSlot>> {
        let mut slots = self.slots.lock();
        if let Some(slot) = slots.get(peer) {
            return Some(slot.clone());
        }
        if slots.len() >= MAX_PEERS {
            slots.retain(|_, slot| !slot.is_idle());
        }
        if slots.len() >= MAX_PEERS {
            return None;
        }
        Some(slots.entry(peer.clone()).or_default().clone())
    }

    /// Opens a connection to a peer unless a sound one is open, one was replaced just now, or the
    /// backoff after failures lasts.
    async fn connect(self, slot: Arc<PeerSlot>, peer: Peer) -> Option<Connection> {
        let mut failures = slot.failures.lock().await;
        if let Some(connection) = slot.sound_connection() {
            return Some(connection);
        }
        let now = Instant::now();
        if failures.retry_at.is_some_and(|retry_at| retry_at > now) {
            return None;
        }
        let suspect = slot.open_connection();
        if suspect.is_some() && failures.was_replaced_recently(now) {
            return suspect;
        }
        let _permit = self.opens.acquire().await.ok()?;
        match Connection::connect(&self.hello, &peer.id, peer.address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                *failures = Failures::default();
                *slot.connection.lock() = Some(connection.clone());
                if let Some(suspect) = suspect {
                    failures.replaced_at = Some(Instant::now());
                    replace(&suspect, &peer);
                }
                Some(connection)
            }
            Err(error) => {
                log::debug!(node:% = peer.id, error:% = error; "call connection not opened");
                failures.count += 1;
                let delay = crank_engine::backoff::delay(failures.count, &mut rand::rng());
                failures.retry_at = Some(Instant::now() + Duration::from(delay));
                None
            }
        }
    }
}

fn replace(suspect: &Connection, peer: &Peer) {
    let silence = suspect.record_replacement();
    log::info!(
        node:% = peer.id,
        silent_ms = Millis::from(silence).0,
        in_flight = suspect.in_flight();
        "call connection has gone silent: replaced by a new one"
    );
}
