//! One account at its home: the counters of the entries, and the demand that they show.

use std::collections::BTreeMap;

use crank_protocol::quota::{AccountHash, ReportNumber, Share};
use crank_protocol::{Millis, Name};

use crate::Moment;
use crate::quota::GRANT_TTL;
use crate::quota::bucket::TokenBucket;

/// How far ahead the tokens of an account must cover its demand, or else it is limited: the time
/// within which entries learn that it is.
const OPEN_HORIZON_SECONDS: f64 = 0.6;
/// Over what time the tokens in a bucket are handed out beside the rate, or debt is paid back.
const BURST_SECONDS: f64 = 1.0;
/// The time constant of the demand.
const DEMAND_SECONDS: f64 = 0.25;
/// The time constant of the arrivals at all entries.
const ARRIVAL_SECONDS: f64 = 0.4;
/// The shortest time over which the arrivals of a new account are counted.
const MIN_ARRIVAL_SECONDS: f64 = 0.1;
/// By how many standard deviations the arrivals may exceed by chance what the tokens cover.
const MAX_DEVIATIONS: f64 = 2.0;
/// How long the demand of an entry holds whose reports no longer name the account; then it decays.
const DEMAND_TTL: Millis = Millis(750);
/// The part of the demand of all entries that is added to each entry's own, divided among them, so
/// that callers who move to another entry find a share there.
const HEADROOM: f64 = 0.1;
/// The shortest time over which a rate is computed.
const MIN_REPORT_SECONDS: f64 = 0.02;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
const CHANCE_UNITS: f64 = 10_000.0;
const MILLIS_PER_UNIT: f64 = 1_000.0;

/// The counters of one account at one entry, and the demand that they show.
#[derive(Debug)]
pub(super) struct Counters {
    pub(super) since: ReportNumber,
    pub(super) start: u64,
    pub(super) wanted: u64,
    pub(super) admitted: u64,
    pub(super) demand: f64,
    pub(super) updated_at: Moment,
}

impl Counters {
    /// Returns the demand of an entry that last reported at `heard_at`. While nothing is heard of
    /// it, its share stays booked for as long as it may still use it.
    pub(super) fn demand(&self, now: Moment, heard_at: Option<Moment>) -> f64 {
        let is_silent = heard_at.is_some_and(|heard_at| heard_at <= self.updated_at);
        let held = if is_silent { GRANT_TTL } else { DEMAND_TTL };
        let stale = seconds_between(self.updated_at.after(held), now);
        self.demand * (-stale / DEMAND_SECONDS).exp()
    }

    /// Returns the demand after more requests have arrived; below zero if more were turned away
    /// since the last report than have arrived.
    pub(super) fn demand_with(&self, now: Moment, wanted: f64) -> f64 {
        let elapsed = seconds_between(self.updated_at, now).max(MIN_REPORT_SECONDS);
        let weight = 1.0 - (-elapsed / DEMAND_SECONDS).exp();
        self.demand * (1.0 - weight) + wanted / elapsed * weight
    }
}

/// The rate at which requests arrive at all entries together, less those that a full service turned
/// away. Each request counts for the same whenever it is reported and taken back: in a decaying sum
/// both cancel out, while a rate since the last report would depend on how long ago that was.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrivals {
    since: Moment,
    per_second: f64,
    /// The rate of all changes, of both signs, which tells how far chance may move the other.
    changes_per_second: f64,
    updated_at: Moment,
}

impl Arrivals {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            since: now,
            per_second: 0.0,
            changes_per_second: 0.0,
            updated_at: now,
        }
    }

    /// Adds requests that a report names, or that it takes back if the number is below zero.
    pub(super) fn add(&mut self, now: Moment, requests: f64) {
        let kept = self.kept(now);
        self.per_second = self.per_second * kept + requests / ARRIVAL_SECONDS;
        self.changes_per_second = self.changes_per_second * kept + requests.abs() / ARRIVAL_SECONDS;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the least rate that explains what was counted, but for a deviation by chance.
    pub(super) fn least_per_second(&self, now: Moment) -> f64 {
        // A sum that has just begun holds the requests of a shorter time.
        let age = seconds_between(self.since, now).max(MIN_ARRIVAL_SECONDS);
        let held = 1.0 - (-age / ARRIVAL_SECONDS).exp();
        let scale = self.kept(now) / held;
        // The variance of a decaying sum of events that are independent of each other.
        let variance = self.changes_per_second * scale / held / (2.0 * ARRIVAL_SECONDS);
        self.per_second * scale - MAX_DEVIATIONS * variance.sqrt()
    }

    fn kept(&self, now: Moment) -> f64 {
        (-seconds_between(self.updated_at, now) / ARRIVAL_SECONDS).exp()
    }
}

/// One account at its home.
#[derive(Debug)]
pub(super) struct Book {
    pub(super) bucket: TokenBucket,
    pub(super) arrivals: Arrivals,
    pub(super) entries: BTreeMap<Name, Counters>,
    pub(super) is_limited: bool,
    pub(super) updated_at: Moment,
}

/// The demand for an account: of one entry, and of all entries.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    pub(super) own: f64,
    pub(super) total: f64,
    /// What arrives, less what a full service turned away, which needs no tokens.
    pub(super) net: f64,
}

impl Demand {
    pub(super) fn of(
        now: Moment,
        book: &Book,
        entry: &Name,
        heard: &BTreeMap<Name, Moment>,
    ) -> Self {
        let mut demand = Self {
            own: 0.0,
            total: 0.0,
            net: book.arrivals.least_per_second(now),
        };
        for (name, counters) in &book.entries {
            let of_entry = counters.demand(now, heard.get(name).copied());
            demand.total += of_entry.max(0.0);
            if name == entry {
                demand.own = of_entry.max(0.0);
            }
        }
        demand
    }

    /// Returns whether the tokens cover the demand until entries could be told otherwise.
    pub(super) fn is_covered(self, now: Moment, book: &mut Book, per_second: f64) -> bool {
        let tokens = book.bucket.tokens(now);
        tokens + per_second * OPEN_HORIZON_SECONDS >= self.net * OPEN_HORIZON_SECONDS
    }

    /// Divides the rate, and the tokens beside it, by the demand of the entries.
    pub(super) fn share(
        self,
        now: Moment,
        account: AccountHash,
        book: &mut Book,
        per_second: f64,
        nodes: usize,
    ) -> Share {
        let available = (per_second + book.bucket.tokens(now) / BURST_SECONDS).max(0.0);
        let equal = 1.0 / nodes.max(1) as f64;
        let part = if self.total > 0.0 {
            (self.own / self.total + HEADROOM * equal) / (1.0 + HEADROOM)
        } else {
            equal
        };
        let chance = if self.total > 0.0 {
            available / self.total
        } else {
            1.0
        };
        Share {
            account,
            millis_per_second: (available * part * MILLIS_PER_UNIT) as u64,
            chance: (chance.min(1.0) * CHANCE_UNITS) as u16,
        }
    }
}

pub(super) fn seconds_between(earlier: Moment, later: Moment) -> f64 {
    later.0.saturating_sub(earlier.0) as f64 / MICROS_PER_SECOND
}
