//! How long slots are free and requests wait, as running totals.
//!
//! Summed over the nodes of a fleet they tell an operator how even the load is: slots that are free
//! at some servers while requests queue at others.

use crank_protocol::call::Load;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// The totals of one backend server, in microseconds of slot time.
///
/// ```
/// use crank_engine::{Moment, slot_time::SlotTime};
/// use crank_protocol::call::Load;
/// let load = Load { running: 1, waiting: 4, slots: 3, slowdown: None };
/// let mut time = SlotTime::default();
/// time.advance(Moment(1_000), load);
/// assert_eq!((time.idle_micros, time.queued_micros), (2_000, 4_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotTime {
    /// For how long slots were free, summed over the slots.
    pub idle_micros: u64,
    /// For how long requests waited, summed over the requests.
    pub queued_micros: u64,
    #[serde(rename = "until")]
    counted_until: Moment,
}

impl SlotTime {
    /// Counts the time until `now`, during which the load was `load`.
    ///
    /// ```
    /// # use crank_engine::{Moment, slot_time::SlotTime};
    /// # use crank_protocol::call::Load;
    /// let mut time = SlotTime::default();
    /// time.advance(Moment(1_000), Load::default());
    /// assert_eq!(time.idle_micros, 0);
    /// ```
    pub fn advance(&mut self, now: Moment, load: Load) {
        let elapsed = now.0.saturating_sub(self.counted_until.0);
        let free = u64::from(load.slots.saturating_sub(load.running));
        self.idle_micros += elapsed * free;
        self.queued_micros += elapsed * u64::from(load.waiting);
        self.counted_until = self.counted_until.max(now);
    }
}
