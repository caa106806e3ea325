//! The home of shards: one token bucket an account, divided among the entries that report.

use std::collections::{BTreeMap, HashMap};

use crank_protocol::config::{ClientAccount, RateLimit, Version};
use crank_protocol::quota::{AccountHash, Grants, Report, ReportNumber, Shard, Share, Usage};
use crank_protocol::{Millis, Name};

use super::bucket::TokenBucket;
use super::{GRANT_TTL, account_hash, part_of, shard_of};
use crate::Moment;

/// How far ahead the tokens of an account must cover its demand, or else it is limited: the time
/// within which entries learn that it is.
const OPEN_HORIZON_SECONDS: f64 = 0.6;
/// Over what time the tokens in a bucket are handed out beside the rate, or debt is paid back.
const BURST_SECONDS: f64 = 1.0;
/// The time constant of the demand.
const DEMAND_SECONDS: f64 = 0.25;
/// How long the demand of an entry holds whose reports no longer name the account; then it decays.
const DEMAND_TTL: Millis = Millis(750);
/// The time for which the first news of an account at an entry stands.
const FIRST_REPORT_SECONDS: f64 = 0.5;
/// The part of the demand of all entries that is added to each entry's own, divided among them, so
/// that callers who move to another entry find a share there.
const HEADROOM: f64 = 0.1;
/// How long a new home assumes that the entries which have not reported yet are about to.
const GATHERING_TIME: Millis = Millis(300);
/// Counters without news are dropped after this time.
const IDLE_TIME: Millis = Millis(10_000);
/// The most shares in one message.
const MAX_SHARES: usize = 48;
/// The shortest time between two messages to an entry that has not reported in between.
const MIN_PUSH_INTERVAL: Millis = Millis(150);
/// The shortest time over which a rate is computed.
const MIN_REPORT_SECONDS: f64 = 0.02;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
const CHANCE_UNITS: f64 = 10_000.0;
const MILLIS_PER_UNIT: f64 = 1_000.0;

/// The rate limits of one configuration, by account.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LimitTable {
    version: Version,
    limits: HashMap<AccountHash, RateLimit>,
}

impl LimitTable {
    /// Builds the table of a configuration's client accounts.
    ///
    /// ```
    /// use crank_engine::quota::LimitTable;
    /// use crank_protocol::config::Version;
    /// assert!(LimitTable::new(Version(1), &Default::default()).is_empty());
    /// ```
    #[must_use]
    pub fn new(version: Version, clients: &BTreeMap<Name, ClientAccount>) -> Self {
        let limits = clients.iter().filter_map(|(name, client)| {
            let limit = client.rate?;
            Some((account_hash(name), limit))
        });
        Self {
            version,
            limits: limits.collect(),
        }
    }

    /// Returns whether no account has a limit.
    ///
    /// ```
    /// assert!(crank_engine::quota::LimitTable::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the version of the configuration.
    ///
    /// ```
    /// # use crank_engine::quota::LimitTable;
    /// # use crank_protocol::config::Version;
    /// assert_eq!(LimitTable::default().version(), Version(0));
    /// ```
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limit of an account, if it has one.
    ///
    /// ```
    /// # use crank_engine::quota::LimitTable;
    /// # use crank_protocol::quota::AccountHash;
    /// assert_eq!(LimitTable::default().get(AccountHash(1)), None);
    /// ```
    #[must_use]
    pub fn get(&self, account: AccountHash) -> Option<RateLimit> {
        self.limits.get(&account).copied()
    }

    /// Returns all accounts with their limits, in no particular order.
    ///
    /// ```
    /// assert_eq!(crank_engine::quota::LimitTable::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (AccountHash, RateLimit)> + '_ {
        self.limits
            .iter()
            .map(|(account, limit)| (*account, *limit))
    }
}

/// What the home knows of an entry that reports for a shard.
#[derive(Debug)]
struct Reporter {
    start: u64,
    number: ReportNumber,
    heard_at: Moment,
    told_at: Moment,
}

/// The counters of one account at one entry, and the demand that they show.
#[derive(Debug)]
struct Counters {
    since: ReportNumber,
    start: u64,
    wanted: u64,
    admitted: u64,
    demand: f64,
    updated_at: Moment,
}

impl Counters {
    /// Returns the demand of an entry that last reported at `heard_at`. While nothing is heard of
    /// it, its share stays booked for as long as it may still use it.
    fn demand(&self, now: Moment, heard_at: Option<Moment>) -> f64 {
        let is_silent = heard_at.is_some_and(|heard_at| heard_at <= self.updated_at);
        let held = if is_silent { GRANT_TTL } else { DEMAND_TTL };
        let stale = seconds_between(self.updated_at.after(held), now);
        self.demand * (-stale / DEMAND_SECONDS).exp()
    }

    /// Returns the demand after more requests have arrived; below zero if more were turned away
    /// since the last report than have arrived.
    fn demand_with(&self, now: Moment, wanted: f64) -> f64 {
        let elapsed = seconds_between(self.updated_at, now).max(MIN_REPORT_SECONDS);
        let weight = 1.0 - (-elapsed / DEMAND_SECONDS).exp();
        self.demand * (1.0 - weight) + wanted / elapsed * weight
    }
}

/// One account at its home.
#[derive(Debug)]
struct Book {
    bucket: TokenBucket,
    entries: BTreeMap<Name, Counters>,
    is_limited: bool,
    updated_at: Moment,
}

/// The home of shards. A node becomes the home of a shard by being reported to.
#[derive(Debug, Default)]
pub struct Home {
    reporters: BTreeMap<(Shard, Name), Reporter>,
    /// Since when reports have come for a shard without a long break.
    shards: BTreeMap<Shard, Tenure>,
    books: HashMap<AccountHash, Book>,
}

#[derive(Debug, Clone, Copy)]
struct Tenure {
    since: Moment,
    heard_at: Moment,
}

impl Home {
    /// Takes a report into account.
    ///
    /// Returns the answer, and whether the other entries of the shard should be told at once.
    /// Returns `None` for a report that is older than one before it.
    ///
    /// ```
    /// use crank_engine::{Moment, quota::{Home, LimitTable}};
    /// use crank_protocol::{Name, quota::{Report, ReportNumber, Shard}};
    /// let report = Report { shard: Shard(0), number: ReportNumber(1), start: 7, is_last: false,
    ///     usage: vec![] };
    /// let from = Name::new("entry-1").unwrap();
    /// let answer = Home::default().receive(Moment(0), &from, &report, 1, &LimitTable::default());
    /// assert!(answer.unwrap().grants.shares.is_empty());
    /// ```
    pub fn receive(
        &mut self,
        now: Moment,
        from: &Name,
        report: &Report,
        known_nodes: usize,
        limits: &LimitTable,
    ) -> Option<Answer> {
        if !self.accept(now, from, report) {
            return None;
        }
        let tenure = self.hold(now, report.shard);
        let nodes = self.nodes(now, report.shard, tenure, known_nodes);
        let heard = self.heard(report.shard);
        let mut tells_others = false;
        for usage in &report.usage {
            if let Some(limit) = limits.get(usage.account)
                && shard_of(usage.account) == report.shard
            {
                let part = part_of(limit, nodes, known_nodes);
                let entry = (from, report.start);
                tells_others |= self.count(now, entry, usage, part, tenure.since, &heard);
            }
        }
        if report.is_last {
            self.forget_entry(report.shard, from);
            return None;
        }
        let grants = self.grants(now, from, report.shard, nodes, known_nodes, limits)?;
        Some(Answer {
            grants,
            tells_others,
        })
    }

    /// Returns the messages to the other entries of a shard after an account became limited.
    ///
    /// ```
    /// use crank_engine::{Moment, quota::{Home, LimitTable}};
    /// use crank_protocol::quota::Shard;
    /// let told = Home::default().tell_others(Moment(0), Shard(0), 1, &LimitTable::default());
    /// assert!(told.is_empty());
    /// ```
    pub fn tell_others(
        &mut self,
        now: Moment,
        shard: Shard,
        known_nodes: usize,
        limits: &LimitTable,
    ) -> Vec<(Name, Grants)> {
        let tenure = self.hold(now, shard);
        let nodes = self.nodes(now, shard, tenure, known_nodes);
        let is_due = |reporter: &Reporter| {
            now.since(reporter.told_at) >= MIN_PUSH_INTERVAL
                && now.since(reporter.heard_at) < GRANT_TTL
        };
        let of_shard = self.reporters.iter().filter(|((of, _), _)| *of == shard);
        let due: Vec<Name> = of_shard
            .filter(|(_, reporter)| is_due(reporter))
            .map(|((_, name), _)| name.clone())
            .collect();
        let mut told = Vec::with_capacity(due.len());
        for name in due {
            let grants = self.grants(now, &name, shard, nodes, known_nodes, limits);
            told.extend(grants.map(|grants| (name, grants)));
        }
        told
    }

    /// Drops what has had no news for long.
    ///
    /// ```
    /// let mut home = crank_engine::quota::Home::default();
    /// home.forget_idle(crank_engine::Moment(0));
    /// ```
    pub fn forget_idle(&mut self, now: Moment) {
        self.books.retain(|_, book| {
            book.entries
                .retain(|_, counters| now.since(counters.updated_at) < IDLE_TIME);
            !book.entries.is_empty()
        });
        self.reporters
            .retain(|_, reporter| now.since(reporter.heard_at) < IDLE_TIME);
        self.shards
            .retain(|_, tenure| now.since(tenure.heard_at) < IDLE_TIME);
    }

    /// Returns how many accounts the home keeps a bucket of.
    ///
    /// ```
    /// assert_eq!(crank_engine::quota::Home::default().accounts(), 0);
    /// ```
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.books.len()
    }

    /// Records who reports, unless the report is an old one.
    fn accept(&mut self, now: Moment, from: &Name, report: &Report) -> bool {
        let known = self.reporters.get(&(report.shard, from.clone()));
        let is_old =
            known.is_some_and(|known| known.start == report.start && known.number >= report.number);
        if is_old {
            return false;
        }
        let reporter = Reporter {
            start: report.start,
            number: report.number,
            heard_at: now,
            told_at: now,
        };
        self.reporters
            .insert((report.shard, from.clone()), reporter);
        true
    }

    /// Records that a report came for a shard; returns since when they do.
    fn hold(&mut self, now: Moment, shard: Shard) -> Tenure {
        let tenure = self.shards.entry(shard).or_insert(Tenure {
            since: now,
            heard_at: now,
        });
        if now.since(tenure.heard_at) >= GRANT_TTL {
            tenure.since = now;
        }
        tenure.heard_at = now;
        *tenure
    }

    /// Returns how many entries divide the limits of a shard here.
    fn nodes(&self, now: Moment, shard: Shard, tenure: Tenure, known_nodes: usize) -> usize {
        if now.since(tenure.since) < GATHERING_TIME {
            return known_nodes;
        }
        let of_shard = self.reporters.iter().filter(|((of, _), _)| *of == shard);
        let heard = of_shard.filter(|(_, reporter)| now.since(reporter.heard_at) < GRANT_TTL);
        heard.count().min(known_nodes)
    }

    /// Counts what an entry admitted. Returns whether the account is at its limit from now on.
    fn count(
        &mut self,
        now: Moment,
        (from, start): (&Name, u64),
        usage: &Usage,
        (per_second, size): (f64, f64),
        held_since: Moment,
        heard: &BTreeMap<Name, Moment>,
    ) -> bool {
        // Another home may have handed out the tokens before this one was reported to.
        let saved = per_second * seconds_between(held_since, now);
        let book = self.books.entry(usage.account).or_insert_with(|| Book {
            bucket: TokenBucket::new(now, per_second, size, saved),
            entries: BTreeMap::new(),
            is_limited: false,
            updated_at: now,
        });
        book.updated_at = now;
        book.bucket.resize(now, per_second, size);
        let known = book.entries.get(from);
        let known = known.filter(|known| known.start == start && known.since == usage.since);
        let (wanted_before, admitted_before) =
            known.map_or((0, 0), |known| (known.wanted, known.admitted));
        let wanted = usage.wanted as f64 - wanted_before as f64;
        let first = wanted.max(0.0) / FIRST_REPORT_SECONDS;
        let demand = known.map_or(first, |known| known.demand_with(now, wanted));
        book.bucket
            .count(usage.admitted as f64 - admitted_before as f64);
        let counters = Counters {
            since: usage.since,
            start,
            wanted: usage.wanted,
            admitted: usage.admitted,
            demand,
            updated_at: now,
        };
        book.entries.insert(from.clone(), counters);
        let was_limited = book.is_limited;
        let demand = Demand::of(now, book, from, heard);
        book.is_limited = !demand.is_covered(now, book, per_second);
        book.is_limited && !was_limited
    }

    /// Drops an entry that reports to another home from now on.
    fn forget_entry(&mut self, shard: Shard, from: &Name) {
        self.reporters.remove(&(shard, from.clone()));
        for (account, book) in &mut self.books {
            if shard_of(*account) == shard {
                book.entries.remove(from);
            }
        }
    }

    /// Returns when each entry of a shard was last heard.
    fn heard(&self, shard: Shard) -> BTreeMap<Name, Moment> {
        let of_shard = self.reporters.iter().filter(|((of, _), _)| *of == shard);
        of_shard
            .map(|((_, name), reporter)| (name.clone(), reporter.heard_at))
            .collect()
    }

    fn grants(
        &mut self,
        now: Moment,
        to: &Name,
        shard: Shard,
        nodes: usize,
        known_nodes: usize,
        limits: &LimitTable,
    ) -> Option<Grants> {
        let reporter = self.reporters.get_mut(&(shard, to.clone()))?;
        reporter.told_at = now;
        let (number, start) = (reporter.number, reporter.start);
        let heard = self.heard(shard);
        let mut shares = Vec::new();
        for (account, book) in &mut self.books {
            let Some(limit) = limits.get(*account).filter(|_| shard_of(*account) == shard) else {
                continue;
            };
            let (per_second, size) = part_of(limit, nodes, known_nodes);
            book.bucket.resize(now, per_second, size);
            let demand = Demand::of(now, book, to, &heard);
            book.is_limited = !demand.is_covered(now, book, per_second);
            if book.is_limited {
                let share = demand.share(now, *account, book, per_second, nodes);
                shares.push((book.entries.contains_key(to), share));
            }
        }
        // Accounts that the entry has callers of come first, if there is no room for all.
        shares.sort_by_key(|(is_used, share)| (!is_used, share.account));
        shares.truncate(MAX_SHARES);
        Some(Grants {
            shard,
            number,
            start,
            version: limits.version(),
            shares: shares.into_iter().map(|(_, share)| share).collect(),
        })
    }
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The answer for the entry that reported.
    pub grants: Grants,
    /// Whether an account has just become limited, so that the other entries must learn of it.
    pub tells_others: bool,
}

/// The demand for an account: of one entry, and of all entries.
#[derive(Debug, Clone, Copy)]
struct Demand {
    own: f64,
    total: f64,
    /// The demand less what a full service turned away, which needs no tokens. A request is often
    /// reported in one report and taken back in the next, so entries may stand below zero here.
    net: f64,
}

impl Demand {
    fn of(now: Moment, book: &Book, entry: &Name, heard: &BTreeMap<Name, Moment>) -> Self {
        let mut demand = Self {
            own: 0.0,
            total: 0.0,
            net: 0.0,
        };
        for (name, counters) in &book.entries {
            let of_entry = counters.demand(now, heard.get(name).copied());
            demand.total += of_entry.max(0.0);
            demand.net += of_entry;
            if name == entry {
                demand.own = of_entry.max(0.0);
            }
        }
        demand
    }

    /// Returns whether the tokens cover the demand until entries could be told otherwise.
    fn is_covered(self, now: Moment, book: &mut Book, per_second: f64) -> bool {
        let tokens = book.bucket.tokens(now);
        tokens + per_second * OPEN_HORIZON_SECONDS >= self.net * OPEN_HORIZON_SECONDS
    }

    /// Divides the rate, and the tokens beside it, by the demand of the entries.
    fn share(
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

fn seconds_between(earlier: Moment, later: Moment) -> f64 {
    later.0.saturating_sub(earlier.0) as f64 / MICROS_PER_SECOND
}
