//! The one error type of this package.

use std::net::SocketAddr;
use std::path::PathBuf;

use crank_engine::ini::Fault;
use thiserror::Error as ThisError;

/// What keeps a node from starting or running.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The settings file cannot be read.
    #[error("cannot read the settings in {}: {source}; name the file with --settings", .path.display())]
    SettingsFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings have faults.
    #[error("{}", lines(.faults))]
    Settings {
        /// Every fault found.
        faults: Vec<Fault>,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}; is another process using it?")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Signals cannot be listened for.
    #[error("cannot listen for signals: {0}")]
    Signals(#[source] std::io::Error),
    /// The callers' listener cannot be started.
    #[error(transparent)]
    Caller(#[from] crank_caller::Error),
    /// The way to the backend server cannot be started.
    #[error(transparent)]
    Server(#[from] crank_server::Error),
    /// The mesh cannot be joined.
    #[error(transparent)]
    Mesh(#[from] crank_mesh::Error),
    /// The client of the platform's store cannot be made.
    #[error(transparent)]
    Platform(#[from] crank_platform_client::Error),
    /// The logger cannot be started.
    #[error("cannot start the logger: {source}")]
    Logger {
        /// What the library said.
        #[from]
        source: flexi_logger::FlexiLoggerError,
    },
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
