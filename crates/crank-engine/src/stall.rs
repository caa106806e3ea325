//! Pauses of the process, found by a timer that fires late.
//!
//! Answers a runtime that stands still: a task that keeps a thread, a machine without processor
//! time, or a suspended process.

use crank_protocol::Millis;

use crate::Moment;

/// A pause from this length on is reported.
pub const REPORTED_PAUSE: Millis = Millis(1_000);

/// The pauses of a process so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StallWatch {
    longest: Millis,
}

impl StallWatch {
    /// Creates a watch that has seen no pause.
    ///
    /// ```
    /// use crank_engine::stall::StallWatch;
    /// use crank_protocol::Millis;
    /// assert_eq!(StallWatch::new().longest(), Millis(0));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a timer due at `due_at` fired at `now`; returns the pause if it is to be reported.
    ///
    /// ```
    /// use crank_engine::{Moment, stall::StallWatch};
    /// use crank_protocol::Millis;
    /// let mut watch = StallWatch::new();
    /// assert_eq!(watch.record(Moment(0), Moment(20_000)), None);
    /// assert_eq!(watch.record(Moment(0), Moment(1_500_000)), Some(Millis(1_500)));
    /// assert_eq!(watch.longest(), Millis(1_500));
    /// ```
    pub fn record(&mut self, due_at: Moment, now: Moment) -> Option<Millis> {
        let pause = now.since(due_at);
        self.longest = self.longest.max(pause);
        (pause >= REPORTED_PAUSE).then_some(pause)
    }

    /// Returns the longest pause so far.
    ///
    /// ```
    /// # use crank_engine::stall::StallWatch;
    /// assert_eq!(StallWatch::default().longest().0, 0);
    /// ```
    #[must_use]
    pub fn longest(&self) -> Millis {
        self.longest
    }
}
