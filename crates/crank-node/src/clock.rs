//! The process's monotonic clock.

use std::time::Duration;

use crank_engine::Moment;
use tokio::time::Instant;

/// Gives the moments that decisions take as an argument.
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
    /// A clock that starts now.
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

    /// The present moment.
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

    /// The runtime's instant of a moment, for its timers.
    ///
    /// ```
    /// # use crank_node::clock::Clock;
    /// let clock = Clock::new();
    /// assert!(clock.instant(clock.now()) <= tokio::time::Instant::now());
    /// ```
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        let wait = Duration::from_micros(moment.0);
        self.start
            .checked_add(wait)
            .unwrap_or_else(|| self.start + Duration::from_secs(u64::from(u32::MAX)))
    }
}
