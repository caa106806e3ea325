//! The head row, which states the accepted version.

use crank_protocol::config::{Digest, Stamp, Version};
use serde::{Deserialize, Serialize};

use crate::Nonce;

/// The content of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The number and digest of the accepted version.
    pub stamp: Stamp,
    /// The nonce that the publisher drew for the write of this row.
    pub nonce: Nonce,
}

/// A conditional write (compare-and-set) of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeadUpdate {
    /// The stamp that the row must contain, or `None` if the row must not exist.
    pub from: Option<Stamp>,
    /// The new content of the row.
    pub to: Head,
}

impl HeadUpdate {
    /// Returns whether the update may be applied to this head row.
    ///
    /// This is the condition that the store checks.
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

/// Returns the update that makes a configuration the accepted one.
///
/// Returns `None` if the head row already contains this digest.
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
    let last_version = from.as_ref().map_or(0, |stamp| stamp.version.0);
    let stamp = Stamp {
        version: Version(last_version + 1),
        digest: digest.clone(),
    };
    let to = Head { stamp, nonce };
    Some(HeadUpdate { from, to })
}

/// The outcome of an update of the head row whose response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadUpdateOutcome {
    /// The update took effect.
    Accepted,
    /// Another version has been accepted, before or after this one.
    Superseded,
    /// The update has not taken effect so far, but may still do so.
    Pending,
}

/// Determines the outcome of an update from the head row `current`, which was read after it.
///
/// ```
/// # use crank_engine::{Nonce, publish::{head_update, head_update_outcome, HeadUpdateOutcome}};
/// # let digest = crank_protocol::config::Digest::new(&"00".repeat(32)).unwrap();
/// let first = head_update(None, &digest, Nonce(1)).unwrap();
/// assert_eq!(head_update_outcome(&first, Some(&first.to)), HeadUpdateOutcome::Accepted);
/// assert_eq!(head_update_outcome(&first, None), HeadUpdateOutcome::Pending);
/// ```
#[must_use]
pub fn head_update_outcome(update: &HeadUpdate, current: Option<&Head>) -> HeadUpdateOutcome {
    if current.is_some_and(|head| head.nonce == update.to.nonce) {
        HeadUpdateOutcome::Accepted
    } else if update.applies_to(current) {
        HeadUpdateOutcome::Pending
    } else {
        HeadUpdateOutcome::Superseded
    }
}
