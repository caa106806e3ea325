//! The error type of this package.

use std::io;
use std::net::SocketAddr;

use crank_protocol::Name;
use thiserror::Error as ThisError;
use tokio_tungstenite::tungstenite;

/// An error in the communication between nodes; it ends at most one connection.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The mesh address could not be bound.
    #[error("cannot listen on {address}: {source}; check the mesh address in the settings")]
    Bind {
        /// The address that was to be bound.
        address: SocketAddr,
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// A TCP connection to another node could not be opened.
    #[error("cannot connect to {address}: {source}; the node will retry")]
    Connect {
        /// The address of the other node.
        address: SocketAddr,
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// The WebSocket connection failed: an I/O error, a protocol violation or an oversized frame.
    #[error("connection lost: {0}; it is reopened when it is needed")]
    Socket(#[source] Box<tungstenite::Error>),
    /// The other side did not complete the WebSocket handshake in time.
    #[error("{address} did not complete the handshake in time; the node will retry")]
    HandshakeTimeout {
        /// The address of the other side.
        address: SocketAddr,
    },
    /// A frame or datagram could not be decoded.
    #[error("malformed frame: {detail}; run the same release on all nodes")]
    Malformed {
        /// The decoder's error message.
        detail: String,
    },
    /// A frame or datagram exceeds its size limit.
    #[error(
        "frame of {bytes} bytes is over the limit of {limit}; run the same release on all nodes"
    )]
    Oversized {
        /// The size in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Another frame arrived before the hello of the other side.
    #[error("the other side sent a frame before its hello; run the same release on all nodes")]
    MissingHello,
    /// The other side uses another protocol version.
    #[error(
        "node '{node}' uses protocol {theirs}, this node {ours}; run the same release on all nodes"
    )]
    ProtocolMismatch {
        /// The name of the other node.
        node: Name,
        /// The protocol version of the other node.
        theirs: u16,
        /// The protocol version of this node.
        ours: u16,
    },
    /// The other side belongs to another owner.
    #[error(
        "node '{node}' belongs to the account '{theirs}'; check seeds and addresses in the settings"
    )]
    AccountMismatch {
        /// The name of the other node.
        node: Name,
        /// The account of the other node.
        theirs: Name,
    },
    /// The send queue of a connection is full because the other side reads too slowly.
    #[error("the send queue is full; the connection is closed and reopened when it is needed")]
    SendQueueFull,
    /// Nothing was received from the other side within the time limit.
    #[error("the other side sent nothing in time; the connection is reopened when it is needed")]
    PeerTimeout,
    /// A frame of this kind is not allowed at this point of the protocol.
    #[error("unexpected frame '{frame}'; run the same release on all nodes")]
    UnexpectedFrame {
        /// The kind of the frame.
        frame: &'static str,
    },
    /// The other side sent more body bytes, or granted more credit, than flow control allows.
    #[error("the credit for a body was exceeded; run the same release on all nodes")]
    CreditExceeded,
    /// Another node than the expected one answered at an address.
    #[error(
        "node '{actual}' answered where '{expected}' was expected; the member table will be updated"
    )]
    NodeMismatch {
        /// The name of the expected node.
        expected: Name,
        /// The name of the node that answered.
        actual: Name,
    },
    /// A node has opened more call connections than there is room for.
    #[error(
        "node '{node}' finds no room for a call connection; check the descriptors in the settings"
    )]
    TooManyConnections {
        /// The name of the node.
        node: Name,
    },
    /// The mesh of this process has stopped.
    #[error("this node has left the mesh; restart it to rejoin")]
    Stopped,
}

impl From<tungstenite::Error> for Error {
    fn from(error: tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}
