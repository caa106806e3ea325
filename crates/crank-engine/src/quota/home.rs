//! The home of shards: one token bucket an account, divided among the entries that report.

mod demand;

use std::collections::{BTreeMap, HashMap};

use crank_protocol::quota::{AccountHash, Grants, Report, ReportNumber, Shard, Usage};
use crank_protocol::{Millis, Name};

use self::demand::{Arrivals, Book, Counters, Demand, seconds_between};
use super::bucket::TokenBucket;
use super::limits::LimitTable;
use super::{GRANT_TTL, part_of, shard_of};
use crate::Moment;

/// The time for which the first news of an account at an entry stands.
const FIRST_REPORT_SECONDS: f64 = 0.5;
/// How long a new home assumes that the entries which have not reported yet are about to.
const GATHERING_TIME: Millis = Millis(300);
/// Counters without news are dropped after this time.
const IDLE_TIME: Millis = Millis(10_000);
/// The most shares in one message.
const MAX_SHARES: usize = 48;
/// The shortest time between two messages to an entry that has not reported in between.
const MIN_PUSH_INTERVAL: Millis = Millis(150);

/// What the home knows of an entry that reports for a shard.
#[derive(Debug)]
struct Reporter {
    start: u64,
    number: ReportNumber,
    heard_at: Moment,
    told_at: Moment,
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
            arrivals: Arrivals::new(now),
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
        book.arrivals.add(now, wanted);
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
        let is_cut = shares.len() > MAX_SHARES;
        shares.truncate(MAX_SHARES);
        Some(Grants {
            shard,
            number,
            start,
            version: limits.version(),
            shares: shares.into_iter().map(|(_, share)| share).collect(),
            is_cut,
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
