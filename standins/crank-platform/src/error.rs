//! The one error type of this package.

use std::net::SocketAddr;

use thiserror::Error as ThisError;

/// Why the stand-in cannot serve.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}; choose another with --listen")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The answer of a write is lost on purpose; the connection is closed.
    #[error("the answer is lost on purpose")]
    AnswerLost,
    /// The request could not be read.
    #[error("the request cannot be read: {0}")]
    Request(#[from] hyper::Error),
}
