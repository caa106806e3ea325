//! Bounds on what is handed out, and spacing of what is asked for.

use crank_protocol::Millis;
use rand::{Rng, RngExt};

use crate::{Moment, backoff};

/// Whole snapshots and member tables handed out at once.
const BURST: u64 = 8;
/// The time after which one more may be handed out.
const REFILL: Millis = Millis(250);
/// The longest that a node waits because another one asked it to.
const LONGEST_WAIT: Millis = Millis(10_000);

/// Bounds the whole transfers that a node hands out.
///
/// ```
/// use crank_engine::{Moment, spread::TransferLimiter};
/// let mut gate = TransferLimiter::default();
/// let passed = (0..100).filter(|_| gate.admit(Moment(0)).is_ok()).count();
/// assert!(passed < 10);
/// ```
#[derive(Debug, Clone, Default)]
pub struct TransferLimiter {
    /// When the last of the admitted transfers is paid off.
    paid: Moment,
}

impl TransferLimiter {
    /// Admits a transfer.
    ///
    /// # Errors
    /// The time after which to come back.
    pub fn admit(&mut self, now: Moment) -> Result<(), Millis> {
        let paid = self.paid.max(now);
        let debt = paid.since(now);
        if debt.0 >= BURST * REFILL.0 {
            return Err(Millis(debt.0 - BURST * REFILL.0 + REFILL.0));
        }
        self.paid = paid.after(REFILL);
        Ok(())
    }
}

/// Jittered waits that double with each failure, up to a cap.
///
/// ```
/// use crank_engine::{Moment, spread::Backoff};
/// use rand::SeedableRng;
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let mut backoff = Backoff::default();
/// assert!(backoff.is_due(Moment(0)));
/// backoff.record_failure(Moment(0), &mut rng);
/// assert!(!backoff.is_due(Moment(0)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
    next: Moment,
}

impl Backoff {
    /// Whether the next attempt may be made.
    #[must_use]
    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.next
    }

    /// How many attempts have failed since the last success.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Puts the next attempt off.
    pub fn record_failure(&mut self, now: Moment, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        self.next = now.after(backoff::delay(self.failures, rng));
    }

    /// Puts the next attempt off as another node asked, and a little longer by chance.
    pub fn postpone(&mut self, retry_after: Millis, now: Moment, rng: &mut impl Rng) {
        let wait = retry_after.0.min(LONGEST_WAIT.0);
        self.next = now.after(Millis(wait + rng.random_range(0..=wait)));
    }

    /// Forgets all failures.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
