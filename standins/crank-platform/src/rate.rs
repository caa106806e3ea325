//! The rate at which the platform takes requests.

use std::time::{Duration, Instant};

/// A token bucket that holds one second's worth.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        Self {
            tokens: f64::from(per_second),
            filled: now,
        }
    }

    pub(crate) fn take(&mut self, units: u32, per_second: u32, now: Instant) -> bool {
        let passed: Duration = now.saturating_duration_since(self.filled);
        let rate = f64::from(per_second);
        self.filled = now;
        self.tokens = (self.tokens + passed.as_secs_f64() * rate).min(rate);
        let enough = self.tokens >= f64::from(units);
        if enough {
            self.tokens -= f64::from(units);
        }
        enough
    }
}
