//! Which regions were heard of late.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::wire::RegionAge;
use crank_protocol::{Millis, Name};

use crate::Moment;

/// A region not heard for this long is unreachable.
const SILENT_AFTER: Millis = Millis(10_000);
/// Covers the time that a report travels, so that no age shrinks by being passed on.
const PASSING: Millis = Millis(1);

/// When each region was heard, here or by another node that said so.
#[derive(Debug, Clone, Default)]
pub struct RegionTracker {
    heard: BTreeMap<Name, Moment>,
    expected: BTreeMap<Name, Moment>,
}

impl RegionTracker {
    /// Notes that a region was heard this long ago; what is known better stays.
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
        let micros = age.0.saturating_mul(1_000);
        let at = Moment(now.0.saturating_sub(micros));
        match self.heard.get_mut(region) {
            Some(known) => *known = at.max(*known),
            None => {
                self.heard.insert(region.clone(), at);
            }
        }
    }

    /// Notes that there is a region, which is silent unless it is heard in time.
    ///
    /// ```
    /// use crank_engine::{Moment, member::RegionTracker};
    /// use crank_protocol::{Millis, Name};
    /// let mut regions = RegionTracker::default();
    /// regions.add_region(&Name::new("astana")?, Moment(0));
    /// assert_eq!(regions.unreachable(Moment(0).after(Millis(60_000))).len(), 1);
    /// assert!(regions.ages(Moment(0)).is_empty(), "nobody is told that it was heard");
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn add_region(&mut self, region: &Name, now: Moment) {
        if !self.expected.contains_key(region) {
            self.expected.insert(region.clone(), now);
        }
    }

    /// How long ago each region was heard, for other nodes.
    ///
    /// ```
    /// use crank_engine::{Moment, member::RegionTracker};
    /// assert!(RegionTracker::default().ages(Moment(0)).is_empty());
    /// ```
    #[must_use]
    pub fn ages(&self, now: Moment) -> Vec<RegionAge> {
        let ages = self.heard.iter().map(|(region, at)| RegionAge {
            region: region.clone(),
            age: Millis(now.since(*at).0 + PASSING.0),
        });
        ages.collect()
    }

    /// The regions that are unreachable.
    ///
    /// ```
    /// use crank_engine::{Moment, member::RegionTracker};
    /// assert!(RegionTracker::default().unreachable(Moment(0)).is_empty());
    /// ```
    #[must_use]
    pub fn unreachable(&self, now: Moment) -> BTreeSet<Name> {
        let sign = |(region, expected): (&Name, &Moment)| {
            let heard = self.heard.get(region).copied().unwrap_or_default();
            (region.clone(), heard.max(*expected))
        };
        let signs = self.expected.iter().chain(&self.heard).map(sign);
        let silent = signs.filter(|(_, at)| now.since(*at) > SILENT_AFTER);
        silent.map(|(region, _)| region).collect()
    }
}
