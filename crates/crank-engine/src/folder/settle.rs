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
pub struct Read {
    /// The store's mark of its content.
    pub etag: Arc<str>,
    /// The digest of its content.
    pub digest: Digest,
}

/// What was read from the store, or written to it, the last time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pulled {
    /// Which store it was, as its address and bucket.
    pub store: Arc<str>,
    /// The client account.
    pub account: Name,
    /// The files by name.
    pub files: BTreeMap<Arc<str>, Read>,
}

/// What to do about a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// Both sides hold the same, or neither holds it.
    Same,
    /// Only the store's side changed.
    Theirs,
    /// Only this side changed.
    Mine,
    /// Both sides changed, and differently.
    Conflict,
}

/// Settles a file from the digests of what was read, what the store holds and what is here.
///
/// ```
/// use crank_engine::folder::{Settled, content_digest, settle};
/// let (old, new) = (content_digest(b"a"), content_digest(b"b"));
/// assert_eq!(settle(Some(&old), Some(&new), Some(&old)), Settled::Theirs);
/// assert_eq!(settle(Some(&old), Some(&old), None), Settled::Mine);
/// assert_eq!(settle(Some(&old), Some(&new), None), Settled::Conflict);
/// assert_eq!(settle(None, Some(&new), Some(&new)), Settled::Same);
/// ```
#[must_use]
pub fn settle(read: Option<&Digest>, theirs: Option<&Digest>, mine: Option<&Digest>) -> Settled {
    if theirs == mine {
        Settled::Same
    } else if mine == read {
        Settled::Theirs
    } else if theirs == read {
        Settled::Mine
    } else {
        Settled::Conflict
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
