//! The one error type of this package.

use std::io;
use std::net::SocketAddr;

use crank_protocol::Name;
use thiserror::Error as ThisError;
use tokio_tungstenite::tungstenite;

/// What goes wrong between nodes; each ends one connection at most.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The mesh address cannot be taken.
    #[error("cannot listen on {address}: {source}; check the mesh address in the settings")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A connection could not be opened.
    #[error("cannot connect to {address}: {source}; it is tried again")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The WebSocket protocol was broken, or a frame is over its limit.
    #[error("connection lost: {0}; it is opened again if it is needed")]
    Socket(#[source] Box<tungstenite::Error>),
    /// The other side was too slow to open the connection.
    #[error("{address} did not finish the handshake in time; it is tried again")]
    HandshakeTimeout {
        /// The address.
        address: SocketAddr,
    },
    /// A frame or datagram is not what this release understands.
    #[error("malformed frame: {detail}; run the same release on all nodes")]
    Malformed {
        /// What the decoder said.
        detail: String,
    },
    /// A frame or datagram has more bytes than it may have.
    #[error(
        "frame of {bytes} bytes is over the limit of {limit}; run the same release on all nodes"
    )]
    Oversized {
        /// Its size.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// A frame came before the other side said who it is.
    #[error("the other side did not say who it is; run the same release on all nodes")]
    MissingHello,
    /// The other side speaks another protocol.
    #[error(
        "'{node}' speaks protocol {theirs}, this node {ours}; run the same release on all nodes"
    )]
    ProtocolMismatch {
        /// The other node.
        node: Name,
        /// Its protocol.
        theirs: u16,
        /// The protocol of this node.
        ours: u16,
    },
    /// The other side belongs to another client account.
    #[error(
        "'{node}' belongs to the account '{theirs}'; check seeds and addresses in the settings"
    )]
    AccountMismatch {
        /// The other node.
        node: Name,
        /// Its account.
        theirs: Name,
    },
    /// The other side does not read what it is sent.
    #[error("the other side does not keep up; the connection is opened again if it is needed")]
    SendQueueFull,
    /// Nothing was heard from the other side for too long.
    #[error("the other side is silent; it is tried again when it is needed")]
    PeerTimeout,
    /// A frame came that has no place there.
    #[error("a frame '{frame}' came out of turn; run the same release on all nodes")]
    UnexpectedFrame {
        /// Its kind.
        frame: &'static str,
    },
    /// More of an answer's body came than there was credit for.
    #[error("a body overran its credit; run the same release on all nodes")]
    CreditExceeded,
    /// Another node than the expected one answers at an address.
    #[error(
        "node {actual} answers where {expected} was expected; it was replaced, wait for the news"
    )]
    NodeMismatch {
        /// The expected node.
        expected: Name,
        /// The node that answers.
        actual: Name,
    },
    /// The mesh of this process has stopped.
    #[error("this node has left the mesh; start it again")]
    Stopped,
}

impl From<tungstenite::Error> for Error {
    fn from(error: tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}
