//! Three-way comparison of files: as last pulled, in the store, and in the local directory.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::Name;
use crank_protocol::config::Digest;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The version of a file that was last read from the store, or written to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PulledFile {
    /// The entity tag by which the store identifies the version of the content.
    pub etag: Arc<str>,
    /// The SHA-256 digest of the content.
    pub digest: Digest,
}

/// The record of the last pull or push, which is kept in the local directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullRecord {
    /// The address and bucket of the store.
    pub store: Arc<str>,
    /// The client account that the folder belongs to.
    pub account: Name,
    /// The files by their names.
    pub files: BTreeMap<Arc<str>, PulledFile>,
}

/// The result of a three-way comparison of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileComparison {
    /// The file is the same in the store and in the local directory, or missing in both.
    Same,
    /// Only the file in the store has changed.
    RemoteChanged,
    /// Only the local file has changed.
    LocalChanged,
    /// Both have changed in different ways.
    Conflict,
}

/// Compares the digests of a file as last pulled, in the store, and in the local directory.
///
/// `None` means that the file does not exist there.
///
/// ```
/// use crank_engine::folder::{FileComparison, content_digest, compare_file};
/// let (old, new) = (content_digest(b"a"), content_digest(b"b"));
/// assert_eq!(compare_file(Some(&old), Some(&new), Some(&old)), FileComparison::RemoteChanged);
/// assert_eq!(compare_file(Some(&old), Some(&old), None), FileComparison::LocalChanged);
/// assert_eq!(compare_file(Some(&old), Some(&new), None), FileComparison::Conflict);
/// assert_eq!(compare_file(None, Some(&new), Some(&new)), FileComparison::Same);
/// ```
#[must_use]
pub fn compare_file(
    pulled: Option<&Digest>,
    remote: Option<&Digest>,
    local: Option<&Digest>,
) -> FileComparison {
    if remote == local {
        FileComparison::Same
    } else if local == pulled {
        FileComparison::RemoteChanged
    } else if remote == pulled {
        FileComparison::LocalChanged
    } else {
        FileComparison::Conflict
    }
}

/// Returns the SHA-256 digest of the content of a file.
///
/// ```
/// use crank_engine::folder::content_digest;
/// assert_ne!(content_digest(b"a"), content_digest(b"b"));
/// ```
#[must_use]
pub fn content_digest(content: &[u8]) -> Digest {
    match Digest::new(&hex::encode(Sha256::digest(content))) {
        Ok(digest) => digest,
        Err(error) => unreachable!("{error}"),
    }
}
