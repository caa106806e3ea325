//! What one node counts and reports.

use std::collections::BTreeMap;

use crank_protocol::config::{Config, Objective, Version};
use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use super::ring::Ring;
use crate::Moment;

const MINUTE: Millis = Millis(60_000);
const HALF_HOUR: Millis = Millis(30 * 60_000);
const SIX_HOURS: Millis = Millis(6 * 60 * 60_000);
const FINE_BUCKETS: usize = 6 * 60;
const COARSE_BUCKETS: usize = 3 * 24 * 2;
const MOST_SERVICES: usize = 256;

/// The windows that are counted, shortest first: 5 and 30 minutes, 1, 2 and 6 hours, 1 and 3 days.
pub(super) const WINDOWS: [Millis; 7] = [
    Millis(5 * 60_000),
    Millis(30 * 60_000),
    Millis(60 * 60_000),
    Millis(2 * 60 * 60_000),
    SIX_HOURS,
    Millis(24 * 60 * 60_000),
    Millis(72 * 60 * 60_000),
];

/// Good and bad requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// Requests that met the objective.
    pub good: u64,
    /// Requests that did not.
    pub bad: u64,
}

impl Tally {
    pub(super) fn add(&mut self, good: bool) {
        if good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
    }

    /// Adds another count to this one.
    ///
    /// ```
    /// use crank_engine::burn::Tally;
    /// let mut tally = Tally { good: 1, bad: 0 };
    /// tally.merge(Tally { good: 2, bad: 3 });
    /// assert_eq!(tally, Tally { good: 3, bad: 3 });
    /// ```
    pub fn merge(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// All requests.
    ///
    /// ```
    /// # use crank_engine::burn::Tally;
    /// assert_eq!(Tally { good: 3, bad: 1 }.total(), 4);
    /// ```
    #[must_use]
    pub fn total(self) -> u64 {
        self.good.saturating_add(self.bad)
    }
}

/// The counts of a service on one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCounts {
    /// The objective in force there, where there is one.
    pub objective: Option<Objective>,
    /// The counts by length of the window in milliseconds.
    pub windows: BTreeMap<Millis, Tally>,
}

/// What one node says of the service levels that its callers met.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    /// The node.
    pub node: Name,
    /// The version whose objectives these are.
    pub version: Option<Version>,
    /// How long it has counted; nothing is known of the time before.
    pub counted: Millis,
    /// The counts by service.
    pub services: BTreeMap<Name, ServiceCounts>,
}

/// Whether an answer meets an objective; without one, any whole answer does.
///
/// ```
/// use crank_engine::burn::meets_objective;
/// use crank_protocol::{Millis, Permille, config::Objective};
/// let objective = Objective { good: Permille(999), latency: Millis(100) };
/// assert!(meets_objective(Some(&objective), true, Millis(100)));
/// assert!(!meets_objective(Some(&objective), true, Millis(101)));
/// assert!(!meets_objective(None, false, Millis(1)));
/// ```
#[must_use]
pub fn meets_objective(objective: Option<&Objective>, answered: bool, took: Millis) -> bool {
    answered && objective.is_none_or(|objective| took <= objective.latency)
}

#[derive(Debug, Clone)]
struct Service {
    fine: Ring,
    coarse: Ring,
    last: Moment,
}

/// Counts good and bad requests by service, in memory bounded by the number of services.
///
/// ```
/// use crank_engine::{Moment, burn::BurnCounter};
/// use crank_protocol::{Millis, Name};
/// let recipes = Name::new("recipes").unwrap();
/// let mut burn = BurnCounter::new(Moment(0));
/// burn.record(&recipes, true, Moment(1));
/// burn.record(&recipes, false, Moment(2));
/// assert_eq!(burn.tally(&recipes, Millis(300_000), Moment(3)).total(), 2);
/// ```
#[derive(Debug, Clone)]
pub struct BurnCounter {
    started: Moment,
    services: BTreeMap<Name, Service>,
}

impl BurnCounter {
    /// Starts to count.
    ///
    /// ```
    /// use crank_engine::{Moment, burn::BurnCounter};
    /// let burn = BurnCounter::new(Moment(0));
    /// ```
    #[must_use]
    pub fn new(started: Moment) -> Self {
        Self {
            started,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request; past 256 services, the one that was longest without gives way.
    ///
    /// ```
    /// # use crank_engine::{Moment, burn::BurnCounter};
    /// # use crank_protocol::Name;
    /// let mut burn = BurnCounter::new(Moment(0));
    /// burn.record(&Name::new("recipes").unwrap(), true, Moment(1));
    /// ```
    pub fn record(&mut self, service: &Name, good: bool, now: Moment) {
        if !self.services.contains_key(service) {
            self.make_room();
            let fresh = Service {
                fine: Ring::new(MINUTE, FINE_BUCKETS),
                coarse: Ring::new(HALF_HOUR, COARSE_BUCKETS),
                last: now,
            };
            self.services.insert(service.clone(), fresh);
        }
        if let Some(held) = self.services.get_mut(service) {
            held.fine.record(good, now);
            held.coarse.record(good, now);
            held.last = now;
        }
    }

    fn make_room(&mut self) {
        if self.services.len() < MOST_SERVICES {
            return;
        }
        let oldest = self.services.iter().min_by_key(|(_, held)| held.last);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.services.remove(&name);
        }
    }

    /// The counts of a service's last `window`, to a minute up to six hours, else to half an hour.
    ///
    /// ```
    /// # use crank_engine::{Moment, burn::{BurnCounter, Tally}};
    /// # use crank_protocol::{Millis, Name};
    /// let burn = BurnCounter::new(Moment(0));
    /// let unknown = Name::new("unknown").unwrap();
    /// assert_eq!(burn.tally(&unknown, Millis(300_000), Moment(1)), Tally::default());
    /// ```
    #[must_use]
    pub fn tally(&self, service: &Name, window: Millis, now: Moment) -> Tally {
        match self.services.get(service) {
            Some(held) if window <= SIX_HOURS => held.fine.tally(window, now),
            Some(held) => held.coarse.tally(window, now),
            None => Tally::default(),
        }
    }

    /// What the node tells of every service that is configured.
    ///
    /// ```
    /// # use crank_engine::{Moment, burn::BurnCounter};
    /// # use crank_protocol::Name;
    /// let burn = BurnCounter::new(Moment(0));
    /// let report = burn.report(Name::new("n1").unwrap(), None, Moment(5_000));
    /// assert_eq!(report.counted.0, 5);
    /// ```
    #[must_use]
    pub fn report(
        &self,
        node: Name,
        config: Option<(Version, &Config)>,
        now: Moment,
    ) -> BurnReport {
        let services = config.iter().flat_map(|(_, config)| &config.services);
        let services = services
            .map(|(name, service)| (name.clone(), self.counts(name, service.objective, now)))
            .collect();
        BurnReport {
            node,
            version: config.map(|(version, _)| version),
            counted: now.since(self.started),
            services,
        }
    }

    fn counts(&self, service: &Name, objective: Option<Objective>, now: Moment) -> ServiceCounts {
        let windows = WINDOWS
            .iter()
            .map(|window| (*window, self.tally(service, *window, now)))
            .collect();
        ServiceCounts { objective, windows }
    }
}
