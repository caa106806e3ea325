//! Positions in the store that accepts configurations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in the history of the store that accepts configurations; each change of the store
/// increases it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A position in the store over its returns from older copies, in the order of time.
///
/// Each return begins a new era, in which revisions that were lost are given out again. On the wire, a
/// position is one number: in the first era it is the revision alone, as nodes without eras know it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct StorePosition {
    /// How often the store has come back from an older copy.
    pub era: u16,
    /// The revision within the era, below 2^48.
    pub revision: Revision,
}

const REVISION_BITS: u32 = 48;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

impl StorePosition {
    /// Creates the position of a revision in an era.
    ///
    /// ```
    /// use crank_protocol::config::{Revision, StorePosition};
    /// let lost = StorePosition::new(0, Revision(39));
    /// assert!(StorePosition::new(1, Revision(8)) > lost);
    /// ```
    #[must_use]
    pub fn new(era: u16, revision: Revision) -> Self {
        Self { era, revision }
    }
}

impl From<u64> for StorePosition {
    fn from(number: u64) -> Self {
        Self {
            era: (number >> REVISION_BITS) as u16,
            revision: Revision(number & MAX_REVISION),
        }
    }
}

impl From<StorePosition> for u64 {
    fn from(position: StorePosition) -> Self {
        u64::from(position.era) << REVISION_BITS | position.revision.0.min(MAX_REVISION)
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision.0)
    }
}
