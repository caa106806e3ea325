//! Keeps the share of a release on one node, without asking others.

use crank_protocol::Permille;
use serde::{Deserialize, Serialize};

const WHOLE: u32 = 1_000;

/// Accumulates the right to send requests to an unproven release.
///
/// Each attempt for the service adds the share, each attempt at the release takes a whole. At
/// most one attempt is saved up, so that the release gets no burst after a lull. The start is
/// spread over nodes by `seed`, so that the sum over many quiet nodes keeps the share as well. Where
/// the share adds too little for any evidence, [`ShareBudget::grant`] makes up for it.
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
    /// What was added so far, in thousandths of an attempt.
    earned: u64,
}

impl ShareBudget {
    /// Creates a budget with a part of an attempt saved up, drawn from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            saved: u32::try_from(seed % u64::from(WHOLE)).unwrap_or(0),
            earned: 0,
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
        self.add(share.0);
    }

    /// Adds what is missing to a credit, in thousandths of an attempt since the start.
    ///
    /// ```
    /// # use crank_protocol::Permille;
    /// # let mut budget = crank_engine::rollout::ShareBudget::new(0);
    /// budget.earn(Permille(400));
    /// budget.grant(300);
    /// assert!(!budget.allows());
    /// budget.grant(1_000);
    /// assert!(budget.allows());
    /// ```
    pub fn grant(&mut self, credit: u64) {
        let missing = credit.saturating_sub(self.earned);
        self.add(u32::try_from(missing).unwrap_or(u32::MAX));
    }

    /// Gives an attempt back that did not reach the release.
    ///
    /// ```
    /// # let mut budget = crank_engine::rollout::ShareBudget::new(0);
    /// budget.refund();
    /// assert!(budget.allows());
    /// ```
    pub fn refund(&mut self) {
        self.saved = WHOLE;
    }

    fn add(&mut self, thousandths: u32) {
        self.earned = self.earned.saturating_add(u64::from(thousandths));
        self.saved = self.saved.saturating_add(thousandths).min(WHOLE);
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
