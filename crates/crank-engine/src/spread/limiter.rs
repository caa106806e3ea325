//! Rate limit for the full transfers that a node serves, and backoff for its own requests.

use crank_protocol::Millis;
use rand::{Rng, RngExt};

use crate::{Moment, backoff};

/// The number of full snapshots and member tables that may be served in a burst.
const MAX_BURST: u64 = 8;
/// The interval at which one more transfer is allowed.
const REFILL_INTERVAL: Millis = Millis(250);
/// The longest wait requested by another node that is respected, before jitter is added.
const MAX_REQUESTED_WAIT: Millis = Millis(10_000);

/// A rate limiter for the full transfers (snapshots and member tables) that a node serves.
///
/// It works like a token bucket that holds 8 transfers and gains one every 250 ms.
///
/// ```
/// use crank_engine::{Moment, spread::TransferLimiter};
/// let mut limiter = TransferLimiter::default();
/// let admitted = (0..100).filter(|_| limiter.admit(Moment(0)).is_ok()).count();
/// assert!(admitted < 10);
/// ```
#[derive(Debug, Clone, Default)]
pub struct TransferLimiter {
    /// The time at which the bucket is full again.
    full_at: Moment,
}

impl TransferLimiter {
    /// Admits a transfer if the rate limit allows it.
    ///
    /// # Errors
    /// Returns the time after which to retry if the limit is reached.
    pub fn admit(&mut self, now: Moment) -> Result<(), Millis> {
        let full_at = self.full_at.max(now);
        let refill_time = full_at.since(now);
        if refill_time.0 >= MAX_BURST * REFILL_INTERVAL.0 {
            return Err(Millis(
                refill_time.0 - MAX_BURST * REFILL_INTERVAL.0 + REFILL_INTERVAL.0,
            ));
        }
        self.full_at = full_at.after(REFILL_INTERVAL);
        Ok(())
    }
}

/// Exponential backoff with jitter and a cap for requests to other nodes.
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
    /// Returns whether the next attempt may be made.
    #[must_use]
    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.next
    }

    /// Returns the number of attempts that failed since the last success.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failed attempt and schedules the next one.
    pub fn record_failure(&mut self, now: Moment, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        self.next = now.after(backoff::delay(self.failures, rng));
    }

    /// Postpones the next attempt by the time that a busy node asked for, plus random jitter.
    ///
    /// Does not count as a failure.
    pub fn postpone(&mut self, retry_after: Millis, now: Moment, rng: &mut impl Rng) {
        let wait = retry_after.0.min(MAX_REQUESTED_WAIT.0);
        self.next = now.after(Millis(wait + rng.random_range(0..=wait)));
    }

    /// Resets the backoff after a successful attempt.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
