//! The error type of this package.

use std::net::SocketAddr;
use std::path::PathBuf;

use crank_engine::ini::Fault;
use thiserror::Error as ThisError;

/// The reasons why a node cannot start or run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The settings file cannot be read.
    #[error(
        "cannot read the settings in {}: {source}; name the file with --settings",
        .path.display()
    )]
    SettingsFile {
        /// The path of the settings file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings file is invalid.
    #[error("{}", join_lines(.faults))]
    Settings {
        /// All faults found in the file.
        faults: Vec<Fault>,
    },
    /// A listener cannot be bound.
    #[error("cannot listen on {address}: {source}; is another process using it?")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The handlers of SIGTERM and SIGINT cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] std::io::Error),
    /// The listener for callers cannot be started.
    #[error(transparent)]
    Caller(#[from] crank_caller::Error),
    /// The listener for the backend server's heartbeats cannot be started.
    #[error(transparent)]
    Server(#[from] crank_server::Error),
    /// The mesh cannot be started.
    #[error(transparent)]
    Mesh(#[from] crank_mesh::Error),
    /// The client of the platform's store cannot be created.
    #[error(transparent)]
    Platform(#[from] crank_platform_client::Error),
    /// The logger cannot be started.
    #[error("cannot start the logger: {source}")]
    Logger {
        /// The error of the logging library.
        #[from]
        source: flexi_logger::FlexiLoggerError,
    },
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
