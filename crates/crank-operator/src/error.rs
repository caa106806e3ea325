//! The one error type of this package.

use std::path::PathBuf;
use std::sync::Arc;

use crank_protocol::Name;
use thiserror::Error as ThisError;

/// What may go wrong between an operator, a folder and a node.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A node cannot be reached.
    #[error("cannot reach the node at {address} ({}): check the address, or ask another node", deepest(.source))]
    Unreachable {
        /// The address that was asked.
        address: Arc<str>,
        /// What the HTTP library said.
        source: reqwest::Error,
    },
    /// A node cannot answer now.
    #[error("the node at {address} cannot answer: {detail}")]
    Refused {
        /// The address that was asked.
        address: Arc<str>,
        /// What it said.
        detail: Arc<str>,
    },
    /// An answer cannot be read.
    #[error(
        "the answer of {address} is not readable ({detail}): check that it is a node's operators' address and of this release"
    )]
    Malformed {
        /// The address that was asked.
        address: Arc<str>,
        /// What is wrong with it.
        detail: Arc<str>,
    },
    /// A local file or folder cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// What was noted at the last pull cannot be read.
    #[error("{} is not readable ({detail}): pull into a fresh folder and bring your changes over", .path.display())]
    InvalidPullRecord {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        detail: Arc<str>,
    },
    /// Files in the store are not those that were read; nothing was written.
    #[error("changed in the store since they were read: {}; nothing was written: pull, which keeps your changes, look them over and push again", .names.join(", "))]
    ChangedInStore {
        /// The names of the files.
        names: Vec<Arc<str>>,
    },
    /// Another operator came first in the middle of a push.
    #[error("another operator changed {name} at this moment; written before that: {}; pull, which keeps your changes, look them over and push again", listed(.written))]
    ConcurrentChange {
        /// The file that was not written.
        name: Arc<str>,
        /// The files that were written or removed before.
        written: Vec<Arc<str>>,
    },
    /// Writing stopped part way.
    #[error("{name} may not have been written: {source}; written before that: {}; push again", listed(.written))]
    WriteFailed {
        /// The file whose fate is not known, or that was not written.
        name: Arc<str>,
        /// The files that were written or removed before.
        written: Vec<Arc<str>>,
        /// What the platform said.
        source: crank_platform_client::Error,
    },
    /// Everything was written, and then the store could not be listed.
    #[error("all was written ({}), but whether somebody else changed the folder meanwhile is not known: {source}; push again to see", listed(.written))]
    Unverified {
        /// The files that were written or removed.
        written: Vec<Arc<str>>,
        /// What the platform said.
        source: Box<Error>,
    },
    /// There is no such file in the folder in the store.
    #[error("there is no file {name} in the store: see 'crankctl pull'")]
    FileNotFound {
        /// Its name.
        name: Arc<str>,
    },
    /// A local folder has files that the pull would overwrite.
    #[error("changed both in {} and in the store: {}; nothing was touched: pull into a fresh folder and bring your changes over", .path.display(), .names.join(", "))]
    WouldOverwrite {
        /// The local folder.
        path: PathBuf,
        /// The names of the files.
        names: Vec<Arc<str>>,
    },
    /// A file's name in the store cannot be a file's name here.
    #[error("'{name}' in the store cannot be a local file's name: remove it with 'crankctl rm'")]
    InvalidName {
        /// The name.
        name: Arc<str>,
    },
    /// The store holds nothing any more of what was read from it.
    #[error("the folder in the store is empty, though files were read from it into {}; nothing was done: if it was lost, remove .crank-pulled.json there and push; if it was emptied on purpose, start from a fresh folder", .path.display())]
    StoreEmptied {
        /// The local folder.
        path: PathBuf,
    },
    /// A local folder holds another folder.
    #[error("{} is a folder: folders inside the folder are not read; move its files up or it away", .path.display())]
    Subfolder {
        /// The inner folder.
        path: PathBuf,
    },
    /// A local folder belongs to another client account.
    #[error("{} was pulled from account {pulled}, not from {account}: use that account's settings or another folder", .path.display())]
    OtherAccount {
        /// The local folder.
        path: PathBuf,
        /// The account that it was pulled from.
        pulled: Name,
        /// The account of the settings.
        account: Name,
    },
    /// The folder in the store changes faster than it can be read.
    #[error("the folder in the store is being changed: try again in a moment")]
    UnstableFolder,
    /// The platform's store failed.
    #[error(transparent)]
    Store(#[from] crank_platform_client::Error),
}

fn listed(names: &[Arc<str>]) -> String {
    if names.is_empty() {
        "nothing".to_owned()
    } else {
        names.join(", ")
    }
}

fn deepest(error: &reqwest::Error) -> String {
    let mut deepest: &dyn std::error::Error = error;
    while let Some(source) = deepest.source() {
        deepest = source;
    }
    deepest.to_string()
}
