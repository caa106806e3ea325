//! Keeps the share of a release on one node, without asking others.

use crank_protocol::Permille;
use serde::{Deserialize, Serialize};

const WHOLE: u32 = 1_000;

/// Accumulates the right to send requests to an unproven release.
///
/// Each attempt for the service adds the share, each attempt at the release takes a whole. At
/// most one attempt is saved up, so that the release gets no burst after a lull. The start is
/// spread over nodes by `seed`, so that the sum over many quiet nodes keeps the share as well.
///
/// ```
/// use crank_engine::rollout::ShareBudget;
/// use crank_protocol::Permille;
/// let mut budget = ShareBudget::new(0);
/// for _ in 0..24 {
///     assert!(!budget.allows());
///     budget.earn(Permille(40));
/// }
/// budget.earn(Permille(40));
/// assert!(budget.allows());
/// budget.spend();
/// assert!(!budget.allows());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareBudget {
    saved: u32,
}

impl ShareBudget {
    /// Creates a budget with a part of an attempt saved up, drawn from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            saved: u32::try_from(seed % u64::from(WHOLE)).unwrap_or(0),
        }
    }

    /// Adds the share of one attempt for the service.
    ///
    /// ```
    /// # use crank_protocol::Permille;
    /// # let mut budget = crank_engine::rollout::ShareBudget::new(0);
    /// budget.earn(Permille(1_000));
    /// assert!(budget.allows());
    /// ```
    pub fn earn(&mut self, share: Permille) {
        self.saved = (self.saved + share.0).min(WHOLE);
    }

    /// Returns whether the release may get an attempt now.
    ///
    /// ```
    /// assert!(!crank_engine::rollout::ShareBudget::new(999).allows());
    /// ```
    #[must_use]
    pub fn allows(&self) -> bool {
        self.saved >= WHOLE
    }

    /// Takes one attempt at the release.
    ///
    /// ```
    /// # let mut budget = crank_engine::rollout::ShareBudget::new(0);
    /// budget.spend();
    /// assert!(!budget.allows());
    /// ```
    pub fn spend(&mut self) {
        self.saved = self.saved.saturating_sub(WHOLE);
    }
}
