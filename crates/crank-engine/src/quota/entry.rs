//! The entry's side: admits requests by what the homes granted, and reports to them.

mod line;
mod meter;

use std::collections::{BTreeMap, HashMap};

use crank_protocol::config::{RateLimit, Version};
use crank_protocol::quota::{AccountHash, Grants, Report, ReportNumber, Shard, Usage};
use crank_protocol::{Millis, Name};

use self::line::{Line, choose_home, is_notable};
use self::meter::{Meter, Mode, mode_of, phase, time_of};
use super::limits::LimitTable;
use super::place::Fleet;
use super::{GRANT_TTL, REPORT_INTERVAL, part_of, shard_of};
use crate::Moment;

/// Counters of an account without requests are dropped after this time.
const IDLE_TIME: Millis = Millis(5_000);
/// The most accounts in one report.
const MAX_USAGES: usize = 30;
/// The requests that an entry may always admit before the home has answered for them.
const MIN_UNANSWERED: f64 = 3.0;
/// The time after which a request is retried that waits for the home's answer.
const ANSWER_TIME: Millis = Millis(100);

/// Limits the requests that one entry admits of client accounts.
#[derive(Debug)]
pub struct EntryLimiter {
    start: u64,
    limits: LimitTable,
    /// The versions that imposed or lowered an account's limit: a home with an older version
    /// divides a limit that no longer holds.
    lowered: HashMap<AccountHash, Version>,
    lines: BTreeMap<Shard, Line>,
    meters: HashMap<AccountHash, Meter>,
    known_nodes: usize,
}

impl EntryLimiter {
    /// Creates a limiter without limits. `start` identifies the process and must be random.
    ///
    /// ```
    /// use crank_engine::{Moment, quota::EntryLimiter};
    /// use crank_protocol::quota::AccountHash;
    /// let mut limiter = EntryLimiter::new(7);
    /// assert!(limiter.admit(Moment(0), AccountHash(1)).is_ok());
    /// ```
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            limits: LimitTable::default(),
            lowered: HashMap::new(),
            lines: BTreeMap::new(),
            meters: HashMap::new(),
            known_nodes: 1,
        }
    }

    /// Applies the limits of a configuration, which bind from now on.
    ///
    /// Returns the number of accounts whose limit is another one than before.
    ///
    /// ```
    /// use crank_engine::{Moment, quota::{EntryLimiter, LimitTable}};
    /// let mut limiter = EntryLimiter::new(7);
    /// assert_eq!(limiter.set_limits(LimitTable::default()), 0);
    /// ```
    pub fn set_limits(&mut self, limits: LimitTable) -> usize {
        let mut changed = 0;
        for (account, limit) in limits.iter() {
            let before = self.limits.get(account);
            changed += usize::from(before != Some(limit));
            let is_lower = |before: RateLimit| {
                limit.per_second < before.per_second || limit.burst < before.burst
            };
            if before.is_none_or(is_lower) {
                self.lowered.insert(account, limits.version());
            }
        }
        let removed = self.limits.iter();
        changed += removed
            .filter(|(account, _)| limits.get(*account).is_none())
            .count();
        self.lowered
            .retain(|account, _| limits.get(*account).is_some());
        self.meters
            .retain(|account, _| limits.get(*account).is_some());
        let shards = limits.iter().map(|(account, _)| shard_of(account));
        let mut lines = BTreeMap::new();
        for shard in shards {
            lines
                .entry(shard)
                .or_insert_with(|| self.lines.remove(&shard).unwrap_or_default());
        }
        self.lines = lines;
        self.limits = limits;
        changed
    }

    /// Admits or refuses a request of an account.
    ///
    /// # Errors
    /// Returns the time after which the account may send its next request here.
    ///
    /// ```
    /// # use crank_engine::{Moment, quota::EntryLimiter};
    /// # use crank_protocol::quota::AccountHash;
    /// assert!(EntryLimiter::new(7).admit(Moment(0), AccountHash(1)).is_ok());
    /// ```
    pub fn admit(&mut self, now: Moment, account: AccountHash) -> Result<(), Millis> {
        let Some(limit) = self.limits.get(account) else {
            return Ok(());
        };
        let Some(line) = self.lines.get_mut(&shard_of(account)) else {
            return Ok(());
        };
        let equal = part_of(limit, 1, self.known_nodes);
        let phase = phase(self.start, account);
        let since = ReportNumber(line.number.0 + 1);
        let meter = self.meters.entry(account);
        let meter = meter.or_insert_with(|| Meter::new(now, since, phase));
        let lowered = self.lowered.get(&account).copied().unwrap_or_default();
        let is_granted = line.is_valid(now) && line.version >= lowered;
        let mode = match (is_granted, line.shares.get(&account)) {
            (false, _) => Mode::Alone,
            (true, None) if line.is_cut => Mode::Alone,
            (true, None) => Mode::Open,
            (true, Some(share)) => mode_of(share),
        };
        meter.set_mode(now, mode, phase, equal);
        meter.wanted += 1;
        let max_unanswered = MIN_UNANSWERED.max(meter.recent + equal.1);
        let admitted = match mode {
            Mode::Open if meter.unanswered() >= max_unanswered => Err(ANSWER_TIME),
            Mode::Open => Ok(()),
            Mode::Limited { .. } | Mode::Alone => meter.bucket.take(now),
            Mode::Chance { part, per_second } => {
                meter.bucket.count(-part);
                meter.bucket.take(now).map_err(|_| time_of(per_second))
            }
        };
        if admitted.is_ok() {
            meter.admitted += 1;
            meter.add_recent(now);
        }
        meter.used_at = now;
        line.is_urgent |= mode == Mode::Open && is_notable(meter.unanswered(), max_unanswered);
        admitted
    }

    /// Gives back the token of a request that was admitted and did not reach a backend server.
    ///
    /// ```
    /// # use crank_engine::{Moment, quota::EntryLimiter};
    /// # use crank_protocol::quota::AccountHash;
    /// EntryLimiter::new(7).give_back(AccountHash(1));
    /// ```
    pub fn give_back(&mut self, account: AccountHash) {
        if let Some(meter) = self.meters.get_mut(&account) {
            // A request that needed no token is no demand for one either: what an overloaded service
            // turns away must not make its callers seem to be over their limit.
            meter.wanted = meter.wanted.saturating_sub(1);
            meter.admitted = meter.admitted.saturating_sub(1);
            meter.bucket.count(-1.0);
        }
    }

    /// Returns the node that this entry takes for an account's home.
    ///
    /// ```
    /// # use crank_protocol::quota::AccountHash;
    /// let limiter = crank_engine::quota::EntryLimiter::new(7);
    /// assert_eq!(limiter.home(AccountHash(1)), None);
    /// ```
    #[must_use]
    pub fn home(&self, account: AccountHash) -> Option<&Name> {
        self.limits.get(account)?;
        self.lines.get(&shard_of(account))?.home.as_ref()
    }

    /// Returns whether a report should be sent before the next regular one.
    ///
    /// ```
    /// assert!(!crank_engine::quota::EntryLimiter::new(7).is_urgent());
    /// ```
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.lines.values().any(|line| line.is_urgent)
    }

    /// Returns the reports that are due, each with its home.
    ///
    /// ```
    /// use crank_engine::{Moment, quota::{EntryLimiter, Fleet}};
    /// assert!(EntryLimiter::new(7).reports(Moment(0), &Fleet::default()).is_empty());
    /// ```
    pub fn reports(&mut self, now: Moment, fleet: &Fleet) -> Vec<(Name, Report)> {
        self.known_nodes = fleet.known_nodes(now);
        let is_idle = |meter: &Meter| now.since(meter.used_at) >= IDLE_TIME;
        self.meters
            .retain(|_, meter| !is_idle(meter) || meter.has_news());
        let shards: Vec<Shard> = self.lines.keys().copied().collect();
        let due = shards.into_iter();
        due.flat_map(|shard| self.report(now, shard, fleet))
            .collect()
    }

    /// Returns the reports of one shard: a last one to a home that is left, and one that is due.
    fn report(&mut self, now: Moment, shard: Shard, fleet: &Fleet) -> Vec<(Name, Report)> {
        let mut reports = Vec::new();
        let Some(line) = self.lines.get_mut(&shard) else {
            return reports;
        };
        let Some(home) = choose_home(now, shard, line, fleet) else {
            return reports;
        };
        if line.home.as_ref() != Some(&home) {
            let left = line.home.replace(home.clone());
            reports.extend(left.map(|left| (left, self.next_report(now, shard, true))));
            self.start_line(now, shard);
        }
        if self.is_due(now, shard) {
            reports.push((home, self.next_report(now, shard, false)));
        }
        reports
    }

    /// Starts to count anew, for another home.
    fn start_line(&mut self, now: Moment, shard: Shard) {
        let Some(line) = self.lines.get_mut(&shard) else {
            return;
        };
        line.turn(now);
        let since = ReportNumber(line.number.0 + 1);
        let meters = self.meters.iter_mut();
        for (_, meter) in meters.filter(|(account, _)| shard_of(**account) == shard) {
            meter.restart(since);
        }
    }

    fn is_due(&self, now: Moment, shard: Shard) -> bool {
        let Some(line) = self.lines.get(&shard) else {
            return false;
        };
        let is_used = |account: &AccountHash| {
            let meter = self.meters.get(account);
            meter.is_some_and(|meter| now.since(meter.used_at) < REPORT_INTERVAL)
        };
        line.is_due(now, line.shares.keys().any(is_used))
    }

    fn next_report(&mut self, now: Moment, shard: Shard, is_last: bool) -> Report {
        let line = self.lines.entry(shard).or_default();
        line.number.0 += 1;
        let number = line.number;
        let meters = self.meters.iter_mut();
        let mut changed: Vec<(&AccountHash, &mut Meter)> = meters
            .filter(|(account, meter)| shard_of(**account) == shard && meter.has_news())
            .collect();
        changed.sort_by(|(_, a), (_, b)| b.unanswered().total_cmp(&a.unanswered()));
        changed.truncate(MAX_USAGES);
        let usage = changed.into_iter().map(|(account, meter)| {
            meter.sent = Some((number, meter.wanted, meter.admitted));
            Usage {
                account: *account,
                since: meter.since,
                wanted: meter.wanted,
                admitted: meter.admitted,
            }
        });
        let usage = usage.collect();
        line.remember(number, now);
        Report {
            shard,
            number,
            start: self.start,
            is_last,
            usage,
        }
    }

    /// Takes a home's answer into account. Answers of other nodes than the home are ignored.
    ///
    /// ```
    /// # use crank_engine::quota::EntryLimiter;
    /// # use crank_protocol::{Name, config::Version, quota::{Grants, ReportNumber, Shard}};
    /// let grants = Grants { shard: Shard(0), number: ReportNumber(1), start: 7,
    ///     version: Version(1), shares: Vec::new(), is_cut: false };
    /// EntryLimiter::new(7).receive(&Name::new("node-1").unwrap(), grants);
    /// ```
    pub fn receive(&mut self, from: &Name, grants: Grants) {
        let Some(line) = self.lines.get_mut(&grants.shard) else {
            return;
        };
        if grants.start != self.start || line.home.as_ref() != Some(from) {
            return;
        }
        let sent = line
            .sent
            .iter()
            .find(|(number, _)| *number == grants.number);
        let Some((_, sent_at)) = sent.copied() else {
            return;
        };
        let valid_until = sent_at.after(GRANT_TTL);
        if line.valid_until.is_some_and(|until| until > valid_until) {
            return;
        }
        line.valid_until = Some(valid_until);
        line.version = grants.version;
        line.is_cut = grants.is_cut;
        let mut unanswered = line
            .sent
            .iter()
            .filter(|(number, _)| *number > grants.number);
        line.unanswered_since = unanswered.next().map(|(_, at)| *at);
        line.set_shares(sent_at, grants.shares);
        for (account, meter) in &mut self.meters {
            if shard_of(*account) == grants.shard
                && let Some((number, wanted, admitted)) = meter.sent
                && number <= grants.number
            {
                meter.answered = (wanted, admitted);
            }
        }
    }
}
