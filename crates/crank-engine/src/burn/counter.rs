//! The request counts that one node keeps and reports.

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
const MAX_SERVICES: usize = 256;

/// The reported windows, shortest first: 5 and 30 minutes, 1, 2 and 6 hours, 1 and 3 days.
pub(super) const WINDOWS: [Millis; 7] = [
    Millis(5 * 60_000),
    Millis(30 * 60_000),
    Millis(60 * 60_000),
    Millis(2 * 60 * 60_000),
    SIX_HOURS,
    Millis(24 * 60 * 60_000),
    Millis(72 * 60 * 60_000),
];

/// The numbers of good and bad requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// The number of requests that met the objective.
    pub good: u64,
    /// The number of requests that did not meet the objective.
    pub bad: u64,
}

impl Tally {
    pub(super) fn record(&mut self, good: bool) {
        if good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
    }

    /// Adds the counts of another tally to this one.
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

    /// Returns the number of all requests.
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

/// The request counts of a service on one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCounts {
    /// The objective that is in force on the node, if there is one.
    pub objective: Option<Objective>,
    /// The counts for each window, by its length in milliseconds.
    pub windows: BTreeMap<Millis, Tally>,
}

/// The report of one node about the service levels that its callers got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    /// The ID of the node.
    pub node: Name,
    /// The version of the configuration that the objectives come from.
    pub version: Option<Version>,
    /// The time since the node started to count; earlier requests are not included.
    pub counted: Millis,
    /// The counts for each configured service.
    pub services: BTreeMap<Name, ServiceCounts>,
}

/// Returns whether a request meets an objective; without an objective, every complete answer does.
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
pub fn meets_objective(objective: Option<&Objective>, answered: bool, duration: Millis) -> bool {
    answered && objective.is_none_or(|objective| duration <= objective.latency)
}

/// The counts of one service: by the minute for six hours, and by the half hour for three days.
#[derive(Debug, Clone)]
struct ServiceRings {
    fine: Ring,
    coarse: Ring,
    last_recorded: Moment,
}

/// Counts good and bad requests for each service, in memory bounded by the number of services.
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
    services: BTreeMap<Name, ServiceRings>,
}

impl BurnCounter {
    /// Creates a counter without requests that starts to count at the given time.
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

    /// Counts a request of a service.
    ///
    /// At most 256 services are kept: a new one replaces the service whose last request is oldest.
    ///
    /// ```
    /// # use crank_engine::{Moment, burn::BurnCounter};
    /// # use crank_protocol::Name;
    /// let mut burn = BurnCounter::new(Moment(0));
    /// burn.record(&Name::new("recipes").unwrap(), true, Moment(1));
    /// ```
    pub fn record(&mut self, service: &Name, good: bool, now: Moment) {
        if !self.services.contains_key(service) {
            self.evict_least_recent();
            let rings = ServiceRings {
                fine: Ring::new(MINUTE, FINE_BUCKETS),
                coarse: Ring::new(HALF_HOUR, COARSE_BUCKETS),
                last_recorded: now,
            };
            self.services.insert(service.clone(), rings);
        }
        if let Some(rings) = self.services.get_mut(service) {
            rings.fine.record(good, now);
            rings.coarse.record(good, now);
            rings.last_recorded = now;
        }
    }

    fn evict_least_recent(&mut self) {
        if self.services.len() < MAX_SERVICES {
            return;
        }
        let oldest = self
            .services
            .iter()
            .min_by_key(|(_, rings)| rings.last_recorded);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.services.remove(&name);
        }
    }

    /// Returns the counts of a service over the last `window`.
    ///
    /// Windows of up to six hours are accurate to a minute, longer ones to half an hour.
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
            Some(rings) if window <= SIX_HOURS => rings.fine.tally(window, now),
            Some(rings) => rings.coarse.tally(window, now),
            None => Tally::default(),
        }
    }

    /// Returns the report of the node about every configured service.
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
