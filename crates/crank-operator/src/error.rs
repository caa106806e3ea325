//! The error type of this package.

use std::path::PathBuf;
use std::sync::Arc;

use crank_protocol::Name;
use thiserror::Error as ThisError;

/// An error of an operator's access to a node, to the store or to a local folder.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The node did not answer at its operators' address.
    #[error("cannot reach the node at {address} ({}): check the address, or ask another node", root_cause(.source))]
    Unreachable {
        /// The node's operators' address.
        address: Arc<str>,
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The node answered with an error status.
    #[error("the node at {address} cannot answer: {detail}")]
    Refused {
        /// The node's operators' address.
        address: Arc<str>,
        /// The reason that the node gave, or its HTTP status.
        detail: Arc<str>,
    },
    /// The node's answer is not valid JSON of the expected type, or exceeds the size limit.
    #[error(
        "the answer of {address} is not readable ({detail}): check that it is a node's operators' address and of this release"
    )]
    Malformed {
        /// The node's operators' address.
        address: Arc<str>,
        /// The reason why it cannot be parsed.
        detail: Arc<str>,
    },
    /// A local file or folder cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The record of the last pull cannot be parsed.
    #[error("{} is not readable ({detail}): pull into a fresh folder and bring your changes over", .path.display())]
    InvalidPullRecord {
        /// The path of the record.
        path: PathBuf,
        /// The reason why it cannot be parsed.
        detail: Arc<str>,
    },
    /// Files in the store changed after they were read; nothing was written.
    #[error("changed in the store since they were read: {}; nothing was written: pull, which keeps your changes, look them over and push again", .names.join(", "))]
    ChangedInStore {
        /// The names of the files.
        names: Vec<Arc<str>>,
    },
    /// Another operator changed a file during the push or removal.
    #[error("another operator changed {name} at this moment; written before that: {}; pull, which keeps your changes, look them over and push again", join_or_nothing(.written))]
    ConcurrentChange {
        /// The file that was not written.
        name: Arc<str>,
        /// The files that were written or removed before that.
        written: Vec<Arc<str>>,
    },
    /// A write failed, possibly after other files were written.
    #[error("{name} may not have been written: {source}; written before that: {}; push again", join_or_nothing(.written))]
    WriteFailed {
        /// The file that was not written, or for which the outcome of the write is unknown.
        name: Arc<str>,
        /// The files that were written or removed before that.
        written: Vec<Arc<str>>,
        /// The error of the platform's store.
        source: crank_platform_client::Error,
    },
    /// Everything was written, but the check for concurrent changes could not list the store.
    #[error("all was written ({}), but whether somebody else changed the folder meanwhile is not known: {source}; push again to see", join_or_nothing(.written))]
    Unverified {
        /// The files that were written or removed.
        written: Vec<Arc<str>>,
        /// The error of the platform's store.
        source: Box<Error>,
    },
    /// The folder in the store has no file of this name.
    #[error("there is no file {name} in the store: see 'crankctl pull'")]
    FileNotFound {
        /// The name that was given.
        name: Arc<str>,
    },
    /// Files changed both locally and in the store; nothing was written.
    #[error("changed both in {} and in the store: {}; nothing was touched: pull into a fresh folder and bring your changes over", .path.display(), .names.join(", "))]
    WouldOverwrite {
        /// The local folder.
        path: PathBuf,
        /// The names of the files.
        names: Vec<Arc<str>>,
    },
    /// A file name is not valid, so that it cannot be used both in the store and locally.
    #[error("'{name}' in the store cannot be a local file's name: remove it with 'crankctl rm'")]
    InvalidName {
        /// The invalid file name.
        name: Arc<str>,
    },
    /// The folder in the store is empty although files were read from it before.
    #[error("the folder in the store is empty, though files were read from it into {}; nothing was done: if it was lost, remove .crank-pulled.json there and push; if it was emptied on purpose, start from a fresh folder", .path.display())]
    StoreEmptied {
        /// The local folder.
        path: PathBuf,
    },
    /// The local folder contains a subfolder.
    #[error("{} is a folder: folders inside the folder are not read; move its files up or it away", .path.display())]
    Subfolder {
        /// The path of the subfolder.
        path: PathBuf,
    },
    /// The local folder was pulled from another client account.
    #[error("{} was pulled from account {pulled}, not from {account}: use that account's settings or another folder", .path.display())]
    OtherAccount {
        /// The local folder.
        path: PathBuf,
        /// The account that it was pulled from.
        pulled: Name,
        /// The account of the settings.
        account: Name,
    },
    /// The folder in the store changed during every attempt to read it.
    #[error("the folder in the store is being changed: try again in a moment")]
    UnstableFolder,
    /// The accepted configuration does not define the service.
    #[error(
        "the accepted configuration has no service {service}: check the name, or push '[service {service}]' first"
    )]
    UnknownService {
        /// The name that was given.
        service: Name,
    },
    /// An earlier order for the service has no verdict yet.
    #[error(
        "a roll-out of {service} to {target} is running: wait for its end, or end it with 'crankctl rollout abort {service} {target}'"
    )]
    RolloutRuns {
        /// The service.
        service: Name,
        /// The release of the running order.
        target: Arc<str>,
    },
    /// There was never an order for the service.
    #[error("no roll-out of {service} was ordered: see 'crankctl rollout --help'")]
    NoRollout {
        /// The service.
        service: Name,
    },
    /// The latest order is for another release than the given one.
    #[error(
        "the latest order moves {service} to {target}, not to {given}; nothing was done: see 'crankctl rollout status {service}'"
    )]
    OtherRelease {
        /// The service.
        service: Name,
        /// The release of the order.
        target: Arc<str>,
        /// The release that was given.
        given: Arc<str>,
    },
    /// The roll-out has a verdict, which stays.
    #[error(
        "the roll-out of {service} has already {outcome}; nothing was done: to go back, order the earlier release"
    )]
    RolloutEnded {
        /// The service.
        service: Name,
        /// The verdict.
        outcome: &'static str,
    },
    /// Another operator or a verdict came first, or the store lost the write.
    #[error(
        "the roll-out of {service} changed at this moment; nothing was done: see 'crankctl rollout status {service}'"
    )]
    RolloutChanged {
        /// The service.
        service: Name,
    },
    /// A request to the platform's store failed.
    #[error(transparent)]
    Store(#[from] crank_platform_client::Error),
}

fn join_or_nothing(names: &[Arc<str>]) -> String {
    if names.is_empty() {
        "nothing".to_owned()
    } else {
        names.join(", ")
    }
}

fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
