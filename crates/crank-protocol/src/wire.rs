//! The messages between nodes: datagrams, control frames and call frames.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::call::{Load, Outcome, Refusal, RequestHead, ResponseHead};
use crate::config::{Delta, Snapshot, Stamp, StorePosition, Version};
use crate::member::Member;
use crate::rollout::RolloutState;
use crate::{Millis, Name, compact};

/// The version of the protocol between nodes.
pub const PROTOCOL_VERSION: u16 = 5;
/// The maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The maximum size of the payload of a [`PeerMessage`], in bytes.
pub const MAX_PEER_MESSAGE_BYTES: usize = 900;
/// The maximum size of a frame on a control connection, in bytes.
pub const MAX_CONTROL_FRAME_BYTES: usize = 4 * 1_048_576;
/// The maximum size of a frame on a call connection, in bytes.
pub const MAX_CALL_FRAME_BYTES: usize = 2 * 1_048_576;

/// A UDP datagram with a probe and gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "compact::Datagram", into = "compact::Datagram")]
pub struct Datagram {
    /// A short hash of the owner's name; nodes ignore datagrams of other owners.
    pub account: u32,
    /// The name of the sender.
    pub from: Name,
    /// The configuration that the sender holds, if any.
    pub stamp: Option<Stamp>,
    /// A hash of the sender's membership table, without the members that it considers gone.
    pub table: u64,
    /// How long ago the sender last had news from each of the other regions.
    pub regions: Vec<RegionAge>,
    /// The probe or the reply to one.
    pub probe: Probe,
    /// Changes of membership entries.
    pub gossip: Vec<Member>,
}

/// How long ago there was news from a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionAge {
    /// The name of the region.
    pub region: Name,
    /// The time since the last news.
    pub age: Millis,
}

/// A probe of the failure detector or of a status query, or the reply to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Probe {
    /// Checks whether the receiver is alive.
    Ping {
        /// Identifies the probe; the reply repeats it.
        number: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// The number of the acknowledged ping.
        number: u64,
    },
    /// Asks the receiver to ping another node on the sender's behalf (an indirect probe).
    PingFor {
        /// Identifies the probe; the reply repeats it.
        number: u64,
        /// The node to ping.
        target: Name,
    },
    /// Asks for the status of the receiver.
    Ask {
        /// Identifies the query; the reply repeats it.
        number: u64,
    },
    /// Answers a status query; the datagram's stamp is the configuration in force.
    Told {
        /// The number of the query.
        number: u64,
        /// Whether the sender can vouch that its configuration is the current one of the mesh.
        current: bool,
        /// Whether the sender accepts requests.
        ready: bool,
        /// How many requests the sender's backend server runs or has waiting in the queue.
        in_flight: u32,
        /// The address at which the sender answers operators.
        operators: Option<SocketAddr>,
    },
    /// Carries a message between the same part of two nodes.
    Message(PeerMessage),
}

/// A message from one part of a node to the same part of another node.
///
/// Messages travel in datagrams: they may be lost, repeated or reordered. A sender repeats what
/// still holds, and a receiver ignores what it has already taken into account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerMessage {
    /// The part of the node that sends and receives the message.
    pub topic: Topic,
    /// The encoded message, at most [`MAX_PEER_MESSAGE_BYTES`] long.
    pub payload: ByteBuf,
}

/// The part of a node that a [`PeerMessage`] belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// The shares of the client accounts' rate limits.
    Quota,
    /// The evidence about a version that is being rolled out.
    Rollout,
}

/// A list of members in the compact encoding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<compact::Member>", into = "Vec<compact::Member>")]
pub struct Members(pub Vec<Member>);

/// The handshake: the first frame that each side sends on a connection between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// The protocol version of the sender.
    pub protocol: u16,
    /// The owner; nodes refuse connections from nodes of other owners.
    pub account: Name,
    /// The membership entry of the sender.
    pub member: Member,
}

/// A frame on a control connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Control {
    /// The handshake.
    Hello(Box<Hello>),
    /// States which configuration the sender holds.
    Holds(Option<Stamp>),
    /// The changes from one configuration to a later one.
    Delta(Box<Delta>),
    /// A delta from another region; that region sends it to all regions itself, so that the
    /// receiver must not forward it to other regions.
    Crossed(Box<Delta>),
    /// Requests the complete configuration of the receiver.
    WantSnapshot,
    /// The complete configuration of the sender.
    Snapshot(Box<Snapshot>),
    /// Requests the membership table of the receiver.
    WantMembers,
    /// The membership table of the sender.
    Members(Members),
    /// Changes of membership entries.
    News(Members),
    /// Requests the changes since this configuration.
    WantSince(Stamp),
    /// Tells the receiver to repeat its request later.
    Busy {
        /// How long to wait before the request is repeated.
        retry_after: Millis,
    },
    /// States what the store's newest configuration was a short time ago.
    Confirmed(Confirmation),
    /// States how far the roll-out of a service has come.
    Rollout(Box<RolloutState>),
}

/// States that a configuration was the newest in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirmation {
    /// The version of the configuration.
    pub version: Version,
    /// The position of the store at that time.
    #[serde(rename = "revision")]
    pub position: StorePosition,
    /// How long ago that was.
    pub age: Millis,
}

/// A frame on a call connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// The handshake.
    Hello(Box<Hello>),
    /// Asks the receiver to run a request.
    Request {
        /// The id of the attempt, drawn anew for each attempt.
        attempt: u64,
        /// The request without its body.
        head: Box<RequestHead>,
        /// The complete body.
        body: ByteBuf,
    },
    /// Starts a response.
    Answer {
        /// The attempt that the response belongs to.
        attempt: u64,
        /// The response without its body.
        head: Box<ResponseHead>,
    },
    /// The next part of a response body.
    Body {
        /// The attempt that the response belongs to.
        attempt: u64,
        /// The bytes of this part.
        data: ByteBuf,
    },
    /// Completes a response.
    End {
        /// The attempt that the response belongs to.
        attempt: u64,
        /// The length of the complete body in bytes.
        length: u64,
    },
    /// Reports that there is no response, or that a started response will not be completed.
    Refused {
        /// The attempt that was refused.
        attempt: u64,
        /// Why there is no complete response.
        refusal: Refusal,
        /// What is known about the execution of the request.
        outcome: Outcome,
        /// The load of the target, if it reported one.
        load: Option<Load>,
        /// Whether the request may have reached the backend server.
        reached: bool,
    },
    /// Cancels an attempt because the caller disconnected.
    Cancel {
        /// The attempt to cancel.
        attempt: u64,
    },
    /// Grants flow-control credit: the receiver of a response body has room for more bytes.
    Credit {
        /// The attempt whose response body is being received.
        attempt: u64,
        /// How many more bytes may be sent.
        bytes: u64,
    },
}
