//! The error type of this package.

use std::path::PathBuf;
use std::sync::Arc;

use thiserror::Error as ThisError;

/// An error that prevents the report from being produced.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The command line is not valid.
    #[error("{source}; see 'crank-report --help'")]
    Usage {
        /// The error of the library.
        #[from]
        source: gumdrop::Error,
    },
    /// No node was named.
    #[error("no node was named: give --node IP:PORT or --nodes FILE; see 'crank-report --help'")]
    NoNode,
    /// A file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The plot cannot be drawn.
    #[error("cannot plot {service}: {detail}")]
    Plot {
        /// The service whose plot failed.
        service: Arc<str>,
        /// The error of the library.
        detail: Arc<str>,
    },
    /// The report cannot be written as JSON.
    #[error("cannot write the report as JSON: {source}")]
    Json {
        /// The error of the library.
        #[from]
        source: serde_json::Error,
    },
    /// The process cannot start its runtime.
    #[error("{source}")]
    System {
        /// The error of the operating system.
        #[from]
        source: std::io::Error,
    },
}
