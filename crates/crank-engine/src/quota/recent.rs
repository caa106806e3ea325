//! The requests of one account within the last seconds, for operators.

use crank_protocol::Millis;
use crank_protocol::status::RecentRequests;

use crate::Moment;

const SECONDS: usize = 10;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The time over which recent requests are counted.
pub const RECENT_WINDOW: Millis = Millis(SECONDS as u64 * 1_000);

/// Counts an account's requests of the last ten seconds.
#[derive(Debug, Clone, Default)]
pub struct RecentCounter {
    /// The number of the second that each count belongs to.
    seconds: [(u64, RecentRequests); SECONDS],
}

impl RecentCounter {
    /// Counts a request.
    ///
    /// ```
    /// use crank_engine::{Moment, quota::RecentCounter};
    /// let mut counter = RecentCounter::default();
    /// counter.add(Moment(0), true);
    /// assert_eq!(counter.requests(Moment(5_000_000)).admitted, 1);
    /// assert_eq!(counter.requests(Moment(15_000_000)).admitted, 0);
    /// ```
    pub fn add(&mut self, now: Moment, is_admitted: bool) {
        let second = now.0 / MICROS_PER_SECOND;
        let (of, counts) = &mut self.seconds[second as usize % SECONDS];
        if *of != second {
            (*of, *counts) = (second, RecentRequests::default());
        }
        counts.admitted += u64::from(is_admitted);
        counts.over_rate += u64::from(!is_admitted);
    }

    /// Returns the requests within [`RECENT_WINDOW`], the present second included.
    ///
    /// ```
    /// # use crank_engine::{Moment, quota::RecentCounter};
    /// assert_eq!(RecentCounter::default().requests(Moment(0)).over_rate, 0);
    /// ```
    #[must_use]
    pub fn requests(&self, now: Moment) -> RecentRequests {
        let second = now.0 / MICROS_PER_SECOND;
        let is_recent = |of: u64| of + SECONDS as u64 > second;
        let recent = self.seconds.iter().filter(|(of, _)| is_recent(*of));
        recent.fold(RecentRequests::default(), |sum, (_, counts)| {
            RecentRequests {
                admitted: sum.admitted + counts.admitted,
                over_rate: sum.over_rate + counts.over_rate,
            }
        })
    }
}
