//! The error type of this package.

use std::path::PathBuf;

use crank_protocol::{Name, status};
use thiserror::Error as ThisError;

/// An error that prevents a command from completing.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The command line is not valid.
    #[error("{source}; see 'crankctl --help'")]
    Usage {
        /// The error of the library.
        #[from]
        source: gumdrop::Error,
    },
    /// No command was given.
    #[error("no command was given; see 'crankctl --help'")]
    NoCommand,
    /// The settings file cannot be read.
    #[error("cannot read the settings in {}: {source}; name the file with --settings", .path.display())]
    SettingsFile {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A log file cannot be read.
    #[error("cannot read the log {}: {source}; name the files that hold the nodes' logs", .path.display())]
    LogFile {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Settings or a folder have faults.
    #[error("{} is refused, and nothing was done:\n{}", .path.display(), lines(.faults))]
    Faulty {
        /// The file or folder.
        path: PathBuf,
        /// All faults that were found.
        faults: Vec<status::Fault>,
    },
    /// The folder configures another client account than the settings.
    #[error("{} configures account {folder}, and the settings are those of {settings}: use the other settings, or mend [account] name", .path.display())]
    OtherAccount {
        /// The path of the folder.
        path: PathBuf,
        /// The account that it configures.
        folder: Name,
        /// The account of the settings.
        settings: Name,
    },
    /// An operation on the folder, the store or a node failed.
    #[error(transparent)]
    Operator(#[from] crank_operator::Error),
    /// The store cannot be used with these settings.
    #[error(transparent)]
    Store(#[from] crank_platform_client::Error),
    /// An answer cannot be written as JSON.
    #[error("cannot write the answer as JSON: {source}")]
    Json {
        /// The error of the library.
        #[from]
        source: serde_json::Error,
    },
    /// The process cannot start its runtime or write its output.
    #[error("{source}")]
    System {
        /// The error of the operating system.
        #[from]
        source: std::io::Error,
    },
}

fn lines(faults: &[status::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
