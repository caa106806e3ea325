//! The one error type of this package.

use std::path::PathBuf;

use crank_protocol::{Name, status};
use thiserror::Error as ThisError;

/// What keeps a command from doing its work.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The command line is wrong.
    #[error("{source}; see 'crankctl --help'")]
    Usage {
        /// What the library said.
        #[from]
        source: gumdrop::Error,
    },
    /// No command was given.
    #[error("no command was given; see 'crankctl --help'")]
    NoCommand,
    /// The settings file cannot be read.
    #[error("cannot read the settings in {}: {source}; name the file with --settings", .path.display())]
    SettingsFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A log cannot be read.
    #[error("cannot read the log {}: {source}; name the files that hold the nodes' logs", .path.display())]
    LogFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Settings or a folder have faults.
    #[error("{} is refused, and nothing was done:\n{}", .path.display(), lines(.faults))]
    Faulty {
        /// The file or folder.
        path: PathBuf,
        /// Every fault found.
        faults: Vec<status::Fault>,
    },
    /// The folder is that of another client account.
    #[error("{} configures account {folder}, and the settings are those of {settings}: use the other settings, or mend [account] name", .path.display())]
    OtherAccount {
        /// The folder.
        path: PathBuf,
        /// The account that it configures.
        folder: Name,
        /// The account of the settings.
        settings: Name,
    },
    /// The folder, the store or a node failed.
    #[error(transparent)]
    Operator(#[from] crank_operator::Error),
    /// The store cannot be used as the settings say.
    #[error(transparent)]
    Store(#[from] crank_platform_client::Error),
    /// An answer cannot be written as JSON.
    #[error("cannot write the answer as JSON: {source}")]
    Json {
        /// What the library said.
        #[from]
        source: serde_json::Error,
    },
    /// The process cannot start its runtime or write its output.
    #[error("{source}")]
    System {
        /// What the system said.
        #[from]
        source: std::io::Error,
    },
}

fn lines(faults: &[status::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
