//! The error type of this crate.

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error as ThisError;

/// An error of the HTTP edge for callers.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The address for callers cannot be bound.
    #[error(
        "cannot listen for callers on {address} ({detail}): choose a free address of this instance"
    )]
    Listen {
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The error of the operating system.
        detail: Arc<str>,
    },
}
