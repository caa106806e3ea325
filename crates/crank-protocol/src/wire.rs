//! What nodes say to each other: datagrams, control frames and call frames.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::call::{Load, Outcome, Refusal, RequestHead, ResponseHead};
use crate::config::{Delta, Snapshot, Stamp};
use crate::member::Member;
use crate::{Millis, Name, compact};

/// The version of the protocol between nodes.
pub const PROTOCOL_VERSION: u16 = 2;
/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The largest frame on a control connection, in bytes.
pub const MAX_CONTROL_FRAME_BYTES: usize = 4 * 1_048_576;
/// The largest frame on a call connection, in bytes.
pub const MAX_CALL_FRAME_BYTES: usize = 2 * 1_048_576;

/// A probe over UDP, with gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "compact::Datagram", into = "compact::Datagram")]
pub struct Datagram {
    /// A short hash of the client account; nodes of different accounts do not talk.
    pub account: u32,
    /// The sender.
    pub from: Name,
    /// The configuration that the sender holds.
    pub stamp: Option<Stamp>,
    /// A hash of the members that the sender believes to be there.
    pub table: u64,
    /// How long ago the other regions were heard, as far as the sender knows.
    pub regions: Vec<RegionAge>,
    /// What it asks or answers.
    pub probe: Probe,
    /// News of members.
    pub gossip: Vec<Member>,
}

/// How long ago a region was heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionAge {
    /// The region.
    pub region: Name,
    /// The time since then.
    pub age: Millis,
}

/// The probe in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Probe {
    /// Are you there?
    Ping {
        /// Ties the answer to the question.
        number: u64,
    },
    /// I am here.
    Ack {
        /// The number of the ping.
        number: u64,
    },
    /// Ask another node in my place.
    PingFor {
        /// Ties the answer to the question.
        number: u64,
        /// The node to ask.
        target: Name,
    },
    /// How are you?
    Ask {
        /// Ties the answer to the question.
        number: u64,
    },
    /// This is how I am; the datagram's stamp is the configuration in force.
    Told {
        /// The number of the question.
        number: u64,
        /// Whether the sender may claim that its configuration is the fleet's.
        current: bool,
        /// Whether it takes requests.
        ready: bool,
        /// Requests that its backend server runs or that wait for it.
        in_flight: u32,
        /// Where it answers operators.
        operators: Option<SocketAddr>,
    },
}

/// Members in a short encoding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<compact::Member>", into = "Vec<compact::Member>")]
pub struct Members(pub Vec<Member>);

/// The first frame on each connection between nodes, from both sides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// The version of the protocol.
    pub protocol: u16,
    /// The client account; nodes of different accounts do not talk.
    pub account: Name,
    /// The sender.
    pub member: Member,
}

/// A frame on a control connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Control {
    /// Who I am.
    Hello(Box<Hello>),
    /// The configuration that I hold.
    Holds(Option<Stamp>),
    /// What turns one configuration into the next.
    Delta(Box<Delta>),
    /// The same, come from another region, which sends it to all other regions itself.
    Crossed(Box<Delta>),
    /// Give me your whole configuration.
    WantSnapshot,
    /// My whole configuration.
    Snapshot(Box<Snapshot>),
    /// Give me your members.
    WantMembers,
    /// My members.
    Members(Members),
    /// News of members.
    News(Members),
    /// Give me what changed since this configuration.
    WantSince(Stamp),
    /// Not now; come back later.
    Busy {
        /// When to come back.
        retry_after: Millis,
    },
}

/// A frame on a call connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Who I am.
    Hello(Box<Hello>),
    /// Run this request.
    Request {
        /// Drawn for each attempt.
        attempt: u64,
        /// The request without its body.
        head: Box<RequestHead>,
        /// The whole body.
        body: ByteBuf,
    },
    /// The answer begins.
    Answer {
        /// The attempt it answers.
        attempt: u64,
        /// The answer without its body.
        head: Box<ResponseHead>,
    },
    /// More of the answer's body.
    Body {
        /// The attempt it answers.
        attempt: u64,
        /// The next bytes.
        data: ByteBuf,
    },
    /// The answer is whole.
    End {
        /// The attempt it answers.
        attempt: u64,
        /// The length of the whole body in bytes.
        length: u64,
    },
    /// There will be no answer, or no more of it.
    Refused {
        /// The attempt it answers.
        attempt: u64,
        /// Why.
        refusal: Refusal,
        /// What is certain about it.
        outcome: Outcome,
        /// How busy the target is, where it said so.
        load: Option<Load>,
        /// Whether it may have come to the backend server.
        reached: bool,
    },
    /// The caller left.
    Cancel {
        /// The attempt that nobody waits for.
        attempt: u64,
    },
    /// The receiver has room for more of the answer's body.
    Credit {
        /// The attempt whose body is read.
        attempt: u64,
        /// How many more bytes may be sent.
        bytes: u64,
    },
}
