//! The head row: which version is accepted.

use crank_protocol::config::{Digest, Stamp, Version};
use serde::{Deserialize, Serialize};

use crate::Nonce;

/// The accepted version, as the head row states it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Its number and digest.
    pub stamp: Stamp,
    /// Drawn by the publisher that wrote it.
    pub nonce: Nonce,
}

/// A conditional move of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advance {
    /// What the row must state; absent where there must be no row.
    pub from: Option<Stamp>,
    /// What it shall state.
    pub to: Head,
}

impl Advance {
    /// Whether the move may take effect on this head: the condition that the store checks.
    ///
    /// ```
    /// # use crank_engine::{Nonce, publish::advance};
    /// # use crank_protocol::config::Digest;
    /// # let digest = Digest::new(&"00".repeat(32)).unwrap();
    /// let first = advance(None, &digest, Nonce(1)).unwrap();
    /// assert!(first.applies(None));
    /// assert!(!first.applies(Some(&first.to)));
    /// ```
    #[must_use]
    pub fn applies(&self, head: Option<&Head>) -> bool {
        self.from.as_ref() == head.map(|head| &head.stamp)
    }
}

/// The move that makes a configuration the accepted one; none where it is accepted already.
///
/// ```
/// # use crank_engine::{Nonce, publish::advance};
/// # use crank_protocol::config::{Digest, Version};
/// # let digest = Digest::new(&"00".repeat(32)).unwrap();
/// let first = advance(None, &digest, Nonce(1)).unwrap();
/// assert_eq!(first.to.stamp.version, Version(1));
/// assert!(advance(Some(&first.to), &digest, Nonce(2)).is_none());
/// ```
#[must_use]
pub fn advance(head: Option<&Head>, digest: &Digest, nonce: Nonce) -> Option<Advance> {
    let from = head.map(|head| head.stamp.clone());
    if from.as_ref().is_some_and(|stamp| stamp.digest == *digest) {
        return None;
    }
    let last = from.as_ref().map_or(0, |stamp| stamp.version.0);
    let stamp = Stamp {
        version: Version(last + 1),
        digest: digest.clone(),
    };
    let to = Head { stamp, nonce };
    Some(Advance { from, to })
}

/// What became of a move whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It took effect.
    Accepted,
    /// Another version has been accepted, before or after it.
    Superseded,
    /// It has not taken effect so far, and may still do so.
    Unsettled,
}

/// What became of a move, as the head row tells that was read after it.
///
/// ```
/// # use crank_engine::{Nonce, publish::{advance, settle, Fate}};
/// # let digest = crank_protocol::config::Digest::new(&"00".repeat(32)).unwrap();
/// let first = advance(None, &digest, Nonce(1)).unwrap();
/// assert_eq!(settle(&first, Some(&first.to)), Fate::Accepted);
/// assert_eq!(settle(&first, None), Fate::Unsettled);
/// ```
#[must_use]
pub fn settle(advance: &Advance, found: Option<&Head>) -> Fate {
    if found.is_some_and(|head| head.nonce == advance.to.nonce) {
        Fate::Accepted
    } else if advance.applies(found) {
        Fate::Unsettled
    } else {
        Fate::Superseded
    }
}
