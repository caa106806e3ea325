//! The one error type of this package.

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error as ThisError;

/// What may go wrong beside a backend server.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The address for announcements cannot be taken.
    #[error(
        "cannot listen for announcements on {address} ({detail}): choose a free loopback address"
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        detail: Arc<str>,
    },
    /// An address is not on this machine's loopback.
    #[error("{address} is not a loopback address: a backend server stands beside its node")]
    NotLoopback {
        /// The address.
        address: SocketAddr,
    },
}
