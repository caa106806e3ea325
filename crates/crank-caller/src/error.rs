//! The one error type of this package.

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error as ThisError;

/// What may go wrong at the callers' edge.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The address for callers cannot be taken.
    #[error(
        "cannot listen for callers on {address} ({detail}): choose a free address of this machine"
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        detail: Arc<str>,
    },
}
