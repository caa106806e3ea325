//! The one error type of this package.

use std::path::PathBuf;
use std::sync::Arc;

use thiserror::Error as ThisError;

/// What may go wrong in an experiment.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A program could not be started.
    #[error("cannot start {}: {source}; build all programs first with `cargo build --workspace`", .program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A program ended or fell silent before it said where it listens.
    #[error("{program} did not say where it listens; the end of its log: {log_tail}")]
    Silent {
        /// The program and its name in the fleet.
        program: Arc<str>,
        /// The end of its log.
        log_tail: Arc<str>,
    },
    /// A program said something else than where it listens.
    #[error("{program} said '{line}' where its addresses were expected")]
    Unexpected {
        /// The program and its name in the fleet.
        program: Arc<str>,
        /// What it said.
        line: Arc<str>,
    },
    /// A file of an experiment could not be read or written.
    #[error("cannot use {}: {source}", .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A signal could not be sent.
    #[error("cannot signal {program}: {source}")]
    Signal {
        /// The program and its name in the fleet.
        program: Arc<str>,
        /// What the system said.
        source: nix::errno::Errno,
    },
    /// A request of the experiment itself failed.
    #[error("{what}: {source}")]
    Http {
        /// What was asked.
        what: Arc<str>,
        /// What the library said.
        source: reqwest::Error,
    },
    /// A node did not become ready in the time that its caller gave.
    #[error("node {node} is not ready after {waited_ms} ms, last: {detail}")]
    NotReady {
        /// The node.
        node: Arc<str>,
        /// Its last answer, or why there was none.
        detail: String,
        /// How long it was waited for, in milliseconds.
        waited_ms: u64,
    },
    /// A condition was not met in the time that its caller gave.
    #[error("{what} did not come about within {waited_ms} ms")]
    Timeout {
        /// The condition.
        what: Arc<str>,
        /// How long it was waited for, in milliseconds.
        waited_ms: u64,
    },
    /// No target was named.
    #[error("nothing to send to: name base URLs or a roster with --roster")]
    NoTargets,
    /// A roster file is not readable.
    #[error("{} is not a roster ({source}): write one with `crank-load fleet`", .path.display())]
    Roster {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A settings file has faults.
    #[error("the store's settings are faulty: {faults:?}")]
    Settings {
        /// Every fault.
        faults: Vec<crank_engine::ini::Fault>,
    },
    /// The platform's store did not take a change.
    #[error("the store: {0}")]
    Store(#[from] crank_platform_client::Error),
    /// A histogram could not be made.
    #[error("a histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// Figures could not be written as JSON.
    #[error("the figures: {0}")]
    Output(serde_json::Error),
    /// The system refused output or signals.
    #[error("the system refused ({0}): check standard output")]
    Print(std::io::Error),
    /// A command of an experiment failed.
    #[error("{command} failed: {said}")]
    Command {
        /// The command.
        command: Arc<str>,
        /// What it said.
        said: Arc<str>,
    },
    /// An experiment broke an invariant.
    #[error("an invariant broke: {what}")]
    Broken {
        /// Which, and how often.
        what: Arc<str>,
    },
}
