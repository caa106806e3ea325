//! Three-way decisions between what was read, what the store holds now and what is here.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::Name;
use crank_protocol::config::Digest;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A file as it was read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PulledFile {
    /// The store's mark of its content.
    pub etag: Arc<str>,
    /// The digest of its content.
    pub digest: Digest,
}

/// What was read from the store, or written to it, the last time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PullRecord {
    /// Which store it was, as its address and bucket.
    pub store: Arc<str>,
    /// The client account.
    pub account: Name,
    /// The files by name.
    pub files: BTreeMap<Arc<str>, PulledFile>,
}

/// What to do about a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileComparison {
    /// Both sides hold the same, or neither holds it.
    Same,
    /// Only the store's side changed.
    RemoteChanged,
    /// Only this side changed.
    LocalChanged,
    /// Both sides changed, and differently.
    Conflict,
}

/// Settles a file from the digests of what was read, what the store holds and what is here.
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
    read: Option<&Digest>,
    theirs: Option<&Digest>,
    mine: Option<&Digest>,
) -> FileComparison {
    if theirs == mine {
        FileComparison::Same
    } else if mine == read {
        FileComparison::RemoteChanged
    } else if theirs == read {
        FileComparison::LocalChanged
    } else {
        FileComparison::Conflict
    }
}

/// The digest of a file's content.
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
