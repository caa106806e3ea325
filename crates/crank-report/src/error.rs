//! The one error type of this package.

use std::path::PathBuf;
use std::sync::Arc;

use thiserror::Error as ThisError;

/// What keeps the report from being made.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The command line is wrong.
    #[error("{source}; see 'crank-report --help'")]
    Usage {
        /// What the library said.
        #[from]
        source: gumdrop::Error,
    },
    /// No node was named.
    #[error("no node was named: give --node IP:PORT or --nodes FILE; see 'crank-report --help'")]
    NoNode,
    /// A file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The plot cannot be drawn.
    #[error("cannot plot {service}: {detail}")]
    Plot {
        /// The service.
        service: Arc<str>,
        /// What the library said.
        detail: Arc<str>,
    },
    /// The report cannot be written as JSON.
    #[error("cannot write the report as JSON: {source}")]
    Json {
        /// What the library said.
        #[from]
        source: serde_json::Error,
    },
    /// The process cannot start its runtime.
    #[error("{source}")]
    System {
        /// What the system said.
        #[from]
        source: std::io::Error,
    },
}
