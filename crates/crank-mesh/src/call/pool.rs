//! Call connections to other nodes, opened when they are needed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::Name;
use crank_protocol::call::{RefusedRequest, RequestHead, Response};
use crank_protocol::wire::Hello;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::attempt::not_sent;
use super::link::Connection;

const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
const MOST_LINKS: usize = 256;

/// A node to connect to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its name.
    pub id: Name,
    /// Its mesh address.
    pub address: SocketAddr,
}

/// The open connections of an entry node.
#[derive(Clone)]
pub struct Pool {
    hello: Arc<Hello>,
    slots: Arc<Mutex<HashMap<Peer, Arc<Slot>>>>,
}

#[derive(Default)]
struct Slot {
    link: Mutex<Option<Connection>>,
    connecting: tokio::sync::Mutex<Failures>,
}

#[derive(Default)]
struct Failures {
    count: u32,
    wait_until: Option<Instant>,
}

impl Slot {
    fn open_link(&self) -> Option<Connection> {
        let link = self.link.lock();
        link.as_ref().filter(|link| !link.is_closed()).cloned()
    }

    fn is_unused(&self) -> bool {
        let link = self.open_link();
        link.is_none_or(|link| link.in_flight() == 0)
    }
}

impl Pool {
    /// A pool without connections; `hello` is what this node says of itself.
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
        }
    }

    /// The number of attempts in flight to all nodes.
    ///
    /// ```
    /// # fn example(pool: &crank_mesh::call::Pool) {
    /// assert_eq!(pool.in_flight(), 0);
    /// # }
    /// ```
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let slots = self.slots.lock();
        let links = slots.values().filter_map(|slot| slot.open_link());
        links.map(|link| link.in_flight()).sum()
    }

    /// Sends a request to a node, connecting first where needed.
    ///
    /// # Errors
    /// As [`Connection::send_request`]; a node that cannot be reached gives a refusal that is
    /// certainly not run.
    ///
    /// ```
    /// # use crank_protocol::call::{Response, RequestHead, RefusedRequest};
    /// # use crank_mesh::call::{Peer, Pool};
    /// # async fn example(pool: &Pool, peer: &Peer, head: RequestHead) -> Result<Response, RefusedRequest> {
    /// pool.send_request(peer, head, bytes::Bytes::new()).await
    /// # }
    /// ```
    pub async fn send_request(
        &self,
        peer: &Peer,
        mut head: RequestHead,
        body: Bytes,
    ) -> Result<Response, RefusedRequest> {
        let slot = self.slot(peer).ok_or_else(not_sent)?;
        if let Some(link) = slot.open_link() {
            return link.send_request(head, body).await;
        }
        let started = Instant::now();
        let time_left = Duration::from(head.time_left);
        // In a task of its own, so that its end is noted even if this caller does not wait for it.
        let connect = tokio::spawn(self.clone().connect(slot, peer.clone()));
        let limit = time_left.min(CONNECT_LIMIT);
        let connected = tokio::time::timeout(limit, connect).await;
        let link = connected.ok().and_then(Result::ok).flatten();
        let link = link.ok_or_else(not_sent)?;
        head.time_left = time_left.saturating_sub(started.elapsed()).into();
        link.send_request(head, body).await
    }

    fn slot(&self, peer: &Peer) -> Option<Arc<Slot>> {
        let mut slots = self.slots.lock();
        if let Some(slot) = slots.get(peer) {
            return Some(slot.clone());
        }
        if slots.len() >= MOST_LINKS {
            slots.retain(|_, slot| !slot.is_unused());
        }
        if slots.len() >= MOST_LINKS {
            return None;
        }
        Some(slots.entry(peer.clone()).or_default().clone())
    }

    async fn connect(self, slot: Arc<Slot>, peer: Peer) -> Option<Connection> {
        let mut failures = slot.connecting.lock().await;
        if let Some(link) = slot.open_link() {
            return Some(link);
        }
        if failures
            .wait_until
            .is_some_and(|until| until > Instant::now())
        {
            return None;
        }
        match Connection::connect(&self.hello, &peer.id, peer.address, CONNECT_LIMIT).await {
            Ok(link) => {
                *failures = Failures::default();
                *slot.link.lock() = Some(link.clone());
                Some(link)
            }
            Err(error) => {
                log::debug!(node:% = peer.id, error:% = error; "call connection not opened");
                failures.count += 1;
                let wait = crank_engine::backoff::delay(failures.count, &mut rand::rng());
                failures.wait_until = Some(Instant::now() + Duration::from(wait));
                None
            }
        }
    }
}
