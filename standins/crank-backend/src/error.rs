//! The one error type of this package.

use std::net::SocketAddr;

use thiserror::Error as ThisError;

/// What may stop the stand-in.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Its address cannot be taken.
    #[error("cannot listen on {address} ({source}): choose a free address of this machine")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The system does not give signals or output.
    #[error("the system refused ({0})")]
    System(#[from] std::io::Error),
    /// The connection was told to break.
    #[error("the connection was dropped as told")]
    Dropped,
}
