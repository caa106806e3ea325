//! Call connections that other nodes open, within the bounds of this node.

use std::sync::Arc;

use crank_engine::peer_budget::{Bounds, Call, Verdict, decide};
use crank_protocol::Name;
use crank_protocol::wire::Hello;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::frame;
use super::server::{RequestHandler, exchange_calls};
use super::uplink::SharedUplink;
use crate::newcomer::Newcomer;
use crate::{Error, Socket};

/// A call connection that another node has opened, and on which it has not said hello yet.
pub struct Inbound {
    socket: Socket,
    newcomer: Newcomer,
    registry: Registry,
}

impl Inbound {
    pub(crate) fn new(socket: Socket, newcomer: Newcomer, registry: Registry) -> Self {
        Self {
            socket,
            newcomer,
            registry,
        }
    }

    /// Serves the requests of the connection as [`super::serve`] does, until it is closed, fails, is
    /// drained or has to give way.
    ///
    /// # Errors
    /// Returns the error that ended the connection, unless the other side closed it or it was
    /// drained. [`Error::PeerTimeout`] if the hello has not come while there was room for it;
    /// [`Error::TooManyConnections`] if its node has too many others.
    ///
    /// ```
    /// # use crank_protocol::wire::Hello;
    /// # use tokio_util::sync::CancellationToken;
    /// # use crank_mesh::{Error, call::{Inbound, RequestHandler, SharedUplink}};
    /// async fn accept(
    ///     inbound: Inbound,
    ///     hello: &Hello,
    ///     handler: impl RequestHandler,
    ///     uplink: SharedUplink,
    ///     draining: CancellationToken,
    /// ) -> Result<(), Error> {
    ///     inbound.serve(hello, handler, uplink, draining).await
    /// }
    /// ```
    pub async fn serve(
        mut self,
        hello: &Hello,
        handler: impl RequestHandler,
        uplink: SharedUplink,
        draining: CancellationToken,
    ) -> Result<(), Error> {
        let theirs = tokio::select! {
            exchanged = frame::exchange_hellos(&mut self.socket, hello) => exchanged?,
            () = self.newcomer.closed() => return Err(Error::PeerTimeout),
        };
        let registration = self.registry.register(theirs.member.id)?;
        self.newcomer.welcome();
        let replaced = registration.replaced.cancelled();
        exchange_calls(self.socket, handler, uplink, draining, replaced).await
    }
}

/// The call connections of all other nodes; clones share them.
#[derive(Clone)]
pub(crate) struct Registry {
    bounds: Bounds,
    table: Arc<Mutex<Table>>,
}

#[derive(Default)]
struct Table {
    last_id: u64,
    /// The open connections, the oldest first.
    open: Vec<Call>,
    /// What ends each of them, in the same order.
    ends: Vec<CancellationToken>,
}

impl Table {
    fn remove(&mut self, id: u64) -> Option<CancellationToken> {
        let index = self.open.iter().position(|call| call.id == id)?;
        self.open.remove(index);
        Some(self.ends.remove(index))
    }
}

impl Registry {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            table: Arc::default(),
        }
    }

    /// Registers a connection of a node; ends another connection if that makes room.
    fn register(&self, peer: Name) -> Result<Registration, Error> {
        let mut table = self.table.lock();
        match decide(self.bounds, &peer, &table.open) {
            Verdict::Accepted => {}
            Verdict::Replaces(id) => {
                log::debug!(node:% = peer; "call connection ended: a newer one takes its place");
                if let Some(end) = table.remove(id) {
                    end.cancel();
                }
            }
            Verdict::Refused => return Err(Error::TooManyConnections { node: peer }),
        }
        table.last_id += 1;
        let (id, replaced) = (table.last_id, CancellationToken::new());
        table.open.push(Call { id, peer });
        table.ends.push(replaced.clone());
        Ok(Registration {
            id,
            replaced,
            table: self.table.clone(),
        })
    }
}

/// The entry of a connection, which is removed when this value is dropped.
struct Registration {
    id: u64,
    /// Cancelled when another connection takes the place of this one.
    replaced: CancellationToken,
    table: Arc<Mutex<Table>>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.table.lock().remove(self.id);
    }
}
