//! The error type of this crate.

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error as ThisError;

/// An error of the listener for heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The address for announcements cannot be bound.
    #[error(
        "cannot listen for announcements on {address} ({detail}): choose a free loopback address"
    )]
    Listen {
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The error of the operating system.
        detail: Arc<str>,
    },
    /// An address is not a loopback address of this instance.
    #[error("{address} is not a loopback address: a backend server stands beside its node")]
    NotLoopback {
        /// The rejected address.
        address: SocketAddr,
    },
}
