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
pub struct HeadUpdate {
    /// What the row must state; absent where there must be no row.
    pub from: Option<Stamp>,
    /// What it shall state.
    pub to: Head,
}

impl HeadUpdate {
    /// Whether the move may take effect on this head: the condition that the store checks.
    ///
    /// ```
    /// # use crank_engine::{Nonce, publish::head_update};
    /// # use crank_protocol::config::Digest;
    /// # let digest = Digest::new(&"00".repeat(32)).unwrap();
    /// let first = head_update(None, &digest, Nonce(1)).unwrap();
    /// assert!(first.applies_to(None));
    /// assert!(!first.applies_to(Some(&first.to)));
    /// ```
    #[must_use]
    pub fn applies_to(&self, head: Option<&Head>) -> bool {
        self.from.as_ref() == head.map(|head| &head.stamp)
    }
}

/// The move that makes a configuration the accepted one; none where it is accepted already.
///
/// ```
/// # use crank_engine::{Nonce, publish::head_update};
/// # use crank_protocol::config::{Digest, Version};
/// # let digest = Digest::new(&"00".repeat(32)).unwrap();
/// let first = head_update(None, &digest, Nonce(1)).unwrap();
/// assert_eq!(first.to.stamp.version, Version(1));
/// assert!(head_update(Some(&first.to), &digest, Nonce(2)).is_none());
/// ```
#[must_use]
pub fn head_update(head: Option<&Head>, digest: &Digest, nonce: Nonce) -> Option<HeadUpdate> {
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
    Some(HeadUpdate { from, to })
}

/// What became of a move whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadUpdateOutcome {
    /// It took effect.
    Accepted,
    /// Another version has been accepted, before or after it.
    Superseded,
    /// It has not taken effect so far, and may still do so.
    Pending,
}

/// What became of a move, as the head row tells that was read after it.
///
/// ```
/// # use crank_engine::{Nonce, publish::{head_update, head_update_outcome, HeadUpdateOutcome}};
/// # let digest = crank_protocol::config::Digest::new(&"00".repeat(32)).unwrap();
/// let first = head_update(None, &digest, Nonce(1)).unwrap();
/// assert_eq!(head_update_outcome(&first, Some(&first.to)), HeadUpdateOutcome::Accepted);
/// assert_eq!(head_update_outcome(&first, None), HeadUpdateOutcome::Pending);
/// ```
#[must_use]
pub fn head_update_outcome(advance: &HeadUpdate, found: Option<&Head>) -> HeadUpdateOutcome {
    if found.is_some_and(|head| head.nonce == advance.to.nonce) {
        HeadUpdateOutcome::Accepted
    } else if advance.applies_to(found) {
        HeadUpdateOutcome::Pending
    } else {
        HeadUpdateOutcome::Superseded
    }
}
