//! The process's monotonic clock.

use std::time::Duration;

use crank_engine::Moment;
use tokio::time::Instant;

/// A monotonic clock that measures [`Moment`]s from its creation.
///
/// ```
/// use crank_node::clock::Clock;
/// let clock = Clock::new();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Creates a clock whose zero is the current time.
    ///
    /// ```
    /// use crank_node::clock::Clock;
    /// let clock = Clock::new();
    /// # let _ = clock;
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    ///
    /// ```
    /// # use crank_node::clock::Clock;
    /// let now = Clock::new().now();
    /// assert!(now.0 < 60_000_000);
    /// ```
    #[must_use]
    pub fn now(&self) -> Moment {
        let micros = self.start.elapsed().as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts a moment into a Tokio instant, for timers and timeouts.
    ///
    /// A moment beyond the range of [`Instant`] becomes one that lies `u32::MAX` seconds after the
    /// start.
    ///
    /// ```
    /// # use crank_node::clock::Clock;
    /// let clock = Clock::new();
    /// assert!(clock.to_instant(clock.now()) <= tokio::time::Instant::now());
    /// ```
    #[must_use]
    pub fn to_instant(&self, moment: Moment) -> Instant {
        let offset = Duration::from_micros(moment.0);
        self.start
            .checked_add(offset)
            .unwrap_or_else(|| self.start + Duration::from_secs(u64::from(u32::MAX)))
    }
}
