//! Which other regions are reachable.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::wire::RegionAge;
use crank_protocol::{Millis, Name};

use crate::Moment;

/// A region from which no message was received for longer than this is unreachable.
const REGION_TIMEOUT: Millis = Millis(10_000);
/// Added to an age when it is forwarded, to cover the transmission time. Without it, an age could
/// shrink as it is passed from node to node.
const FORWARDING_DELAY: Millis = Millis(1);

/// Tracks when a message from each region was last received, by this node or by one that reported
/// it.
#[derive(Debug, Clone, Default)]
pub struct RegionTracker {
    last_received: BTreeMap<Name, Moment>,
    known_since: BTreeMap<Name, Moment>,
}

impl RegionTracker {
    /// Records that a message from a region was received `age` ago.
    ///
    /// An older time than the one already recorded is ignored.
    ///
    /// ```
    /// use crank_engine::{Moment, member::RegionTracker};
    /// use crank_protocol::{Millis, Name};
    /// let mut regions = RegionTracker::default();
    /// regions.record_heard(&Name::new("astana")?, Millis(0), Moment(0));
    /// assert!(regions.unreachable(Moment(0)).is_empty());
    /// assert_eq!(regions.unreachable(Moment(0).after(Millis(60_000))).len(), 1);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn record_heard(&mut self, region: &Name, age: Millis, now: Moment) {
        let at = now.before(age);
        match self.last_received.get_mut(region) {
            Some(received) => *received = at.max(*received),
            None => {
                self.last_received.insert(region.clone(), at);
            }
        }
    }

    /// Records that a region exists.
    ///
    /// Unless a message from it is received in time, it becomes unreachable. Has no effect if the
    /// region is known already.
    ///
    /// ```
    /// use crank_engine::{Moment, member::RegionTracker};
    /// use crank_protocol::{Millis, Name};
    /// let mut regions = RegionTracker::default();
    /// regions.add_region(&Name::new("astana")?, Moment(0));
    /// assert_eq!(regions.unreachable(Moment(0).after(Millis(60_000))).len(), 1);
    /// assert!(regions.ages(Moment(0)).is_empty(), "no message was received from it");
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn add_region(&mut self, region: &Name, now: Moment) {
        if !self.known_since.contains_key(region) {
            self.known_since.insert(region.clone(), now);
        }
    }

    /// Returns how long ago a message from each region was received, to be sent to other nodes.
    ///
    /// ```
    /// use crank_engine::{Moment, member::RegionTracker};
    /// assert!(RegionTracker::default().ages(Moment(0)).is_empty());
    /// ```
    #[must_use]
    pub fn ages(&self, now: Moment) -> Vec<RegionAge> {
        let ages = self.last_received.iter().map(|(region, at)| RegionAge {
            region: region.clone(),
            age: Millis(now.since(*at).0 + FORWARDING_DELAY.0),
        });
        ages.collect()
    }

    /// Returns the regions that are unreachable.
    ///
    /// ```
    /// use crank_engine::{Moment, member::RegionTracker};
    /// assert!(RegionTracker::default().unreachable(Moment(0)).is_empty());
    /// ```
    #[must_use]
    pub fn unreachable(&self, now: Moment) -> BTreeSet<Name> {
        let last_sign = |(region, known_since): (&Name, &Moment)| {
            let received = self.last_received.get(region).copied().unwrap_or_default();
            (region.clone(), received.max(*known_since))
        };
        let last_signs = self
            .known_since
            .iter()
            .chain(&self.last_received)
            .map(last_sign);
        let unreachable = last_signs.filter(|(_, at)| now.since(*at) > REGION_TIMEOUT);
        unreachable.map(|(region, _)| region).collect()
    }
}
