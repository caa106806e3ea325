//! The messages that the actor handles.

use std::net::SocketAddr;

use bytes::Bytes;
use crank_engine::spread::StoreHead;
use crank_protocol::Name;
use crank_protocol::config::Snapshot;
use crank_protocol::member::{Endpoint, Member};
use crank_protocol::rollout::RolloutState;
use crank_protocol::status::NodeStatus;
use crank_protocol::wire::{Confirmation, Control, Datagram, PeerMessage};
use tokio::sync::mpsc;

use crate::Error;

/// A datagram was received and decoded.
pub(crate) struct DatagramReceived {
    pub(crate) address: SocketAddr,
    pub(crate) datagram: Datagram,
    pub(crate) bytes: usize,
}

/// A datagram was received that could not be decoded.
pub(crate) struct DatagramRejected {
    pub(crate) address: SocketAddr,
    pub(crate) error: Error,
}

/// The destination of a connection that this node opens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DialTarget {
    /// The address of a seed, whose name is not known yet.
    Seed(SocketAddr),
    /// A known member.
    Member(Name),
}

/// A control connection was opened; the reply is its id, or `None` if there are too many.
///
/// `dial_target` is set if this node opened the connection.
pub(crate) struct ConnectionOpened {
    pub(crate) dial_target: Option<DialTarget>,
    pub(crate) sender: mpsc::Sender<Bytes>,
}

/// A control frame was received; an error in the reply closes the connection.
pub(crate) struct FrameReceived {
    pub(crate) connection_id: u64,
    pub(crate) frame: Control,
    pub(crate) bytes: usize,
}

/// A control connection was closed or could not be opened.
pub(crate) struct ConnectionClosed {
    pub(crate) connection_id: Option<u64>,
    pub(crate) dial_target: Option<DialTarget>,
    pub(crate) error: Option<Error>,
}

/// Runs the periodic work of the actor.
pub(crate) struct Tick;

/// Sends the membership updates collected since the last flush.
pub(crate) struct FlushUpdates;

/// Applies an accepted configuration from the store.
pub(crate) struct ApplySnapshot {
    pub(crate) snapshot: Snapshot,
}

/// Reports the result of reading the head row.
pub(crate) struct ReportHead {
    pub(crate) head: StoreHead,
}

/// Records what the store's newest configuration was.
pub(crate) struct Confirm {
    pub(crate) confirmation: Confirmation,
}

/// Announces the state of the backend server beside this node.
pub(crate) struct AnnounceEndpoint {
    pub(crate) endpoint: Option<Endpoint>,
}

/// Replaces the addresses of the nodes through which this node joins.
pub(crate) struct SetSeeds {
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Starts a status query of all members; the reply is [`QueryStarted`].
pub(crate) struct StartQuery {
    pub(crate) sender: mpsc::Sender<NodeStatus>,
}

/// The number of a status query and the members that it covers.
pub(crate) struct QueryStarted {
    pub(crate) number: u64,
    pub(crate) members: Vec<Member>,
}

/// Sends a status query to some members.
pub(crate) struct SendQueries {
    pub(crate) number: u64,
    pub(crate) names: Vec<Name>,
}

/// Ends a status query; later answers are dropped.
pub(crate) struct EndQuery {
    pub(crate) number: u64,
}

/// Sends a message to the same part of another node.
pub(crate) struct SendMessage {
    pub(crate) to: Name,
    pub(crate) message: PeerMessage,
}

/// Tells all nodes of a roll-out.
pub(crate) struct OfferRollout {
    pub(crate) state: RolloutState,
}

/// Announces to the other nodes that this node leaves.
pub(crate) struct Leave;

/// Stops the actor.
pub(crate) struct Stop;
