//! The one error type of this package.

use std::net::SocketAddr;
use std::sync::Arc;

use crank_protocol::Name;
use thiserror::Error as ThisError;

/// What may go wrong between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// A connection could not be opened.
    #[error("cannot connect to {address} ({detail}): check that the node runs and is reachable")]
    Connect {
        /// Where to.
        address: SocketAddr,
        /// What the system said.
        detail: Arc<str>,
    },
    /// A connection broke.
    #[error("the connection broke ({detail}): it is opened again when it is needed")]
    Socket {
        /// What the library said.
        detail: Arc<str>,
    },
    /// Nothing was heard from the other side for too long.
    #[error("the other side is silent: it is tried again when it is needed")]
    Silent,
    /// A frame is not readable.
    #[error("a frame is not readable ({detail}): run the same release on all nodes")]
    Malformed {
        /// What is wrong with it.
        detail: Arc<str>,
    },
    /// A frame is larger than the protocol allows.
    #[error("a frame has {size} bytes, {limit} are allowed: run the same release on all nodes")]
    Oversized {
        /// Its size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A frame came that has no place there.
    #[error("a frame '{frame}' came out of turn: run the same release on all nodes")]
    Unexpected {
        /// Its kind.
        frame: &'static str,
    },
    /// More of an answer's body came than there was credit for.
    #[error("a body overran its credit: run the same release on all nodes")]
    Overrun,
    /// The other side belongs to another client account.
    #[error(
        "the other node is of the client account {theirs}: correct the addresses in the settings"
    )]
    WrongAccount {
        /// Its client account.
        theirs: Name,
    },
    /// The other side speaks another version of the protocol.
    #[error("the other node speaks protocol {theirs}: run the same release on all nodes")]
    WrongProtocol {
        /// Its version.
        theirs: u16,
    },
    /// Another node than the expected one answers at an address.
    #[error("node {found} answers where {wanted} was expected: it was replaced, wait for the news")]
    WrongNode {
        /// The expected node.
        wanted: Name,
        /// The node that answers.
        found: Name,
    },
}
