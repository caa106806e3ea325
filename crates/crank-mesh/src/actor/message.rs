//! What the actor is told.

use std::net::SocketAddr;

use bytes::Bytes;
use crank_engine::spread::StoreHead;
use crank_protocol::Name;
use crank_protocol::config::Snapshot;
use crank_protocol::member::{Endpoint, Member};
use crank_protocol::status::NodeStatus;
use crank_protocol::wire::{Control, Datagram};
use tokio::sync::mpsc;

use crate::Error;

/// A datagram came.
pub(crate) struct Heard {
    pub(crate) address: SocketAddr,
    pub(crate) datagram: Datagram,
    pub(crate) bytes: usize,
}

/// Something came that is not a datagram of this protocol.
pub(crate) struct Unreadable {
    pub(crate) address: SocketAddr,
    pub(crate) error: Error,
}

/// Whom a connection was opened to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Dial {
    /// An address at which there should be a node.
    Seed(SocketAddr),
    /// A known node.
    Member(Name),
}

/// A control connection is open; answered with its number, unless there are too many.
pub(crate) struct Opened {
    pub(crate) dial: Option<Dial>,
    pub(crate) sender: mpsc::Sender<Bytes>,
}

/// A frame came; answered with an error that ends its connection.
pub(crate) struct Frame {
    pub(crate) link: u64,
    pub(crate) frame: Control,
    pub(crate) bytes: usize,
}

/// A control connection has ended, or could not be opened.
pub(crate) struct Closed {
    pub(crate) link: Option<u64>,
    pub(crate) dial: Option<Dial>,
    pub(crate) error: Option<Error>,
}

/// Time has passed.
pub(crate) struct Tick;

/// The news gathered since the last flush is due.
pub(crate) struct Flush;

/// An accepted configuration from the store.
pub(crate) struct Offer {
    pub(crate) snapshot: Snapshot,
}

/// What a reading of the head row said.
pub(crate) struct HeadRead {
    pub(crate) head: StoreHead,
}

/// What the backend server beside this node announced.
pub(crate) struct Announce {
    pub(crate) endpoint: Option<Endpoint>,
}

/// The nodes through which to join.
pub(crate) struct Seeds {
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Questions to all members begin; answered with [`Begun`].
pub(crate) struct BeginAsking {
    pub(crate) sender: mpsc::Sender<NodeStatus>,
}

/// The number of a round of questions, and whom it concerns.
pub(crate) struct Begun {
    pub(crate) number: u64,
    pub(crate) members: Vec<Member>,
}

/// Ask these members now.
pub(crate) struct Ask {
    pub(crate) number: u64,
    pub(crate) names: Vec<Name>,
}

/// Nobody waits for answers any more.
pub(crate) struct EndAsking {
    pub(crate) number: u64,
}

/// Tell the others that this node leaves.
pub(crate) struct Leave;

/// Stop at once.
pub(crate) struct Stop;
