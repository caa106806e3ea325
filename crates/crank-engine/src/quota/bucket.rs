//! A token bucket whose rate may change.

use crank_protocol::Millis;

use crate::Moment;

const MICROS_PER_SECOND: f64 = 1_000_000.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A token bucket: each request takes a token, and tokens return at a rate, up to a size.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    per_second: f64,
    size: f64,
    tokens: f64,
    updated_at: Moment,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens`.
    ///
    /// ```
    /// use crank_engine::{Moment, quota::TokenBucket};
    /// let mut bucket = TokenBucket::new(Moment(0), 10.0, 5.0, 1.0);
    /// assert!(bucket.take(Moment(0)).is_ok());
    /// assert_eq!(bucket.take(Moment(0)), Err(crank_protocol::Millis(100)));
    /// ```
    #[must_use]
    pub fn new(now: Moment, per_second: f64, size: f64, tokens: f64) -> Self {
        Self {
            per_second,
            size,
            tokens: tokens.min(size),
            updated_at: now,
        }
    }

    /// Changes the rate and the size; tokens above the new size are lost.
    ///
    /// ```
    /// # use crank_engine::{Moment, quota::TokenBucket};
    /// let mut bucket = TokenBucket::new(Moment(0), 10.0, 5.0, 5.0);
    /// bucket.resize(Moment(0), 10.0, 1.0);
    /// assert_eq!(bucket.tokens(Moment(0)), 1.0);
    /// ```
    pub fn resize(&mut self, now: Moment, per_second: f64, size: f64) {
        self.refill(now);
        self.per_second = per_second;
        self.size = size;
        self.tokens = self.tokens.min(size);
    }

    /// Returns the tokens that the bucket holds; below zero if more was counted than it held.
    ///
    /// ```
    /// # use crank_engine::{Moment, quota::TokenBucket};
    /// let mut bucket = TokenBucket::new(Moment(0), 10.0, 5.0, 0.0);
    /// assert_eq!(bucket.tokens(Moment(100_000)), 1.0);
    /// ```
    pub fn tokens(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes a token.
    ///
    /// # Errors
    /// Returns the time until the bucket holds a token, if it holds none; at most an hour.
    ///
    /// ```
    /// # use crank_engine::{Moment, quota::TokenBucket};
    /// let mut bucket = TokenBucket::new(Moment(0), 10.0, 5.0, 0.5);
    /// assert_eq!(bucket.take(Moment(0)), Err(crank_protocol::Millis(50)));
    /// ```
    pub fn take(&mut self, now: Moment) -> Result<(), Millis> {
        const MAX_WAIT_MILLIS: f64 = 3_600_000.0;
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.per_second * MILLIS_PER_SECOND;
        let bounded = if wait.is_finite() {
            wait.min(MAX_WAIT_MILLIS)
        } else {
            MAX_WAIT_MILLIS
        };
        Err(Millis(bounded.ceil() as u64))
    }

    /// Counts tokens that were taken elsewhere, or given back if the number is negative.
    ///
    /// ```
    /// # use crank_engine::{Moment, quota::TokenBucket};
    /// let mut bucket = TokenBucket::new(Moment(0), 10.0, 5.0, 1.0);
    /// bucket.count(3.0);
    /// assert_eq!(bucket.tokens(Moment(0)), -2.0);
    /// ```
    pub fn count(&mut self, taken: f64) {
        self.tokens = (self.tokens - taken).min(self.size);
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.0.saturating_sub(self.updated_at.0) as f64 / MICROS_PER_SECOND;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.size);
        self.updated_at = self.updated_at.max(now);
    }
}
