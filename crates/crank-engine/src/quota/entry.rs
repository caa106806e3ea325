//! The entry's side: admits requests by what the homes granted, and reports to them.

use std::collections::{BTreeMap, HashMap};

use crank_protocol::config::{RateLimit, Version};
use crank_protocol::quota::{AccountHash, Grants, Report, ReportNumber, Shard, Share, Usage};
use crank_protocol::{Millis, Name};

use super::bucket::TokenBucket;
use super::home::LimitTable;
use super::place::Fleet;
use super::{
    GRANT_TTL, HOME_TIMEOUT, LIMITED_REPORT_INTERVAL, MIN_REPORT_INTERVAL, REPORT_INTERVAL,
    part_of, shard_of,
};
use crate::Moment;

/// An unanswered report is repeated after this time.
const REPEAT_INTERVAL: Millis = Millis(250);
/// How long a home that did not answer is passed over.
const PASS_OVER_TIME: Millis = Millis(5_000);
/// Counters of an account without requests are dropped after this time.
const IDLE_TIME: Millis = Millis(5_000);
/// The most accounts in one report.
const MAX_USAGES: usize = 30;
/// How many reports are remembered to tell when an answered one was sent.
const REMEMBERED_REPORTS: usize = 16;
/// The requests that an entry may always admit before the home has answered for them.
const MIN_UNANSWERED: f64 = 3.0;
/// The time constant of an account's recent requests, which bound those not answered for.
const RECENT_SECONDS: f64 = 2.0;
/// The time after which a request is retried that waits for the home's answer.
const ANSWER_TIME: Millis = Millis(100);
/// Over what time a small share may be saved up.
const SAVING_SECONDS: f64 = 0.5;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
const CHANCE_UNITS: f64 = 10_000.0;
/// The longest time that a request is told to wait for a small share.
const MAX_CHANCE_WAIT: Millis = Millis(1_000);
const HASH_SCALE: f64 = 1.0 / u32::MAX as f64;

/// How an account is limited at this entry.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    /// The home has said that the account is below its limit.
    Open,
    /// The home has granted a share of this many requests a second.
    Limited { per_second: f64 },
    /// The home has granted this part of the requests, because the share is small.
    Chance { part: f64, per_second: f64 },
    /// There is no valid grant: an equal share of the limit holds.
    Alone,
}

/// The counters and the bucket of one account.
#[derive(Debug)]
struct Meter {
    since: ReportNumber,
    wanted: u64,
    admitted: u64,
    sent: Option<(ReportNumber, u64, u64)>,
    answered: (u64, u64),
    recent: f64,
    mode: Mode,
    bucket: TokenBucket,
    used_at: Moment,
}

impl Meter {
    fn new(now: Moment, since: ReportNumber, phase: f64) -> Self {
        Self {
            since,
            wanted: 0,
            admitted: 0,
            sent: None,
            answered: (0, 0),
            recent: 0.0,
            mode: Mode::Alone,
            // Entries begin at different fractions of a token, so that together they admit the rate
            // from the start although each may have less than one token a second.
            bucket: TokenBucket::new(now, 0.0, 1.0, phase),
            used_at: now,
        }
    }

    fn restart(&mut self, since: ReportNumber) {
        self.since = since;
        (self.wanted, self.admitted) = (0, 0);
        self.answered = (0, 0);
        self.sent = None;
    }

    fn has_news(&self) -> bool {
        (self.wanted, self.admitted) != self.answered
    }

    fn unanswered(&self) -> f64 {
        self.admitted.saturating_sub(self.answered.1) as f64
    }

    fn set_mode(&mut self, now: Moment, mode: Mode, phase: f64, equal: (f64, f64)) {
        let (per_second, size) = match mode {
            Mode::Open => (0.0, 1.0),
            Mode::Limited { per_second } => (per_second, (per_second * SAVING_SECONDS).max(1.0)),
            Mode::Chance { .. } => (0.0, 1.0),
            Mode::Alone => (equal.0, equal.1.max(1.0)),
        };
        if self.mode == Mode::Open && mode != Mode::Open {
            self.bucket = TokenBucket::new(now, per_second, size, phase);
        } else {
            self.bucket.resize(now, per_second, size);
        }
        self.mode = mode;
    }

    fn add_recent(&mut self, now: Moment) {
        let elapsed = now.0.saturating_sub(self.used_at.0) as f64 / MICROS_PER_SECOND;
        self.recent = self.recent * (-elapsed / RECENT_SECONDS).exp() + 1.0;
    }
}

/// What an entry knows of the home of one shard.
#[derive(Debug, Default)]
struct Line {
    home: Option<Name>,
    passed_over: Option<(Name, Moment)>,
    number: ReportNumber,
    sent: Vec<(ReportNumber, Moment)>,
    /// Since when reports to the home are without an answer.
    unanswered_since: Option<Moment>,
    valid_until: Option<Moment>,
    version: Version,
    shares: HashMap<AccountHash, Share>,
    is_urgent: bool,
}

impl Line {
    fn is_valid(&self, now: Moment) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    fn last_sent(&self) -> Option<Moment> {
        self.sent.last().map(|(_, at)| *at)
    }

    fn is_due(&self, now: Moment, is_limited: bool) -> bool {
        let Some(last) = self.last_sent() else {
            return true;
        };
        let interval = match (self.unanswered_since.is_some(), self.is_urgent, is_limited) {
            (true, _, _) => REPEAT_INTERVAL,
            (false, true, _) => MIN_REPORT_INTERVAL,
            (false, false, true) => LIMITED_REPORT_INTERVAL,
            (false, false, false) => REPORT_INTERVAL,
        };
        now.since(last) >= interval
    }

    fn remember(&mut self, number: ReportNumber, now: Moment) {
        if self.sent.len() >= REMEMBERED_REPORTS {
            self.sent.remove(0);
        }
        self.sent.push((number, now));
        self.unanswered_since.get_or_insert(now);
        self.is_urgent = false;
    }
}

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
            self.start_line(shard);
        }
        if self.is_due(now, shard) {
            reports.push((home, self.next_report(now, shard, false)));
        }
        reports
    }

    /// Starts to count anew, for another home.
    fn start_line(&mut self, shard: Shard) {
        let Some(line) = self.lines.get_mut(&shard) else {
            return;
        };
        line.unanswered_since = None;
        line.sent.clear();
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
    ///     version: Version(1), shares: Vec::new() };
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
        let mut unanswered = line
            .sent
            .iter()
            .filter(|(number, _)| *number > grants.number);
        line.unanswered_since = unanswered.next().map(|(_, at)| *at);
        let shares = grants.shares.into_iter();
        line.shares = shares.map(|share| (share.account, share)).collect();
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

fn mode_of(share: &Share) -> Mode {
    let per_second = share.millis_per_second as f64 / MILLIS_PER_SECOND;
    if per_second * SAVING_SECONDS >= 1.0 {
        return Mode::Limited { per_second };
    }
    let part = f64::from(share.chance) / CHANCE_UNITS;
    Mode::Chance { part, per_second }
}

/// Returns the time in which a rate admits one request.
fn time_of(per_second: f64) -> Millis {
    let millis = MILLIS_PER_SECOND / per_second.max(f64::MIN_POSITIVE);
    Millis(millis.min(MAX_CHANCE_WAIT.0 as f64).ceil() as u64)
}

/// Returns whether a home should hear soon of the requests that it has not answered for.
fn is_notable(unanswered: f64, max_unanswered: f64) -> bool {
    const MIN_NOTABLE: f64 = 2.0;
    unanswered >= MIN_NOTABLE && unanswered * 4.0 >= max_unanswered
}

/// Chooses the home of a shard, and passes over one that has not answered for long.
fn choose_home(now: Moment, shard: Shard, line: &mut Line, fleet: &Fleet) -> Option<Name> {
    let is_silent = line
        .unanswered_since
        .is_some_and(|since| now.since(since) >= HOME_TIMEOUT);
    if is_silent && let Some(home) = line.home.clone() {
        line.unanswered_since = None;
        line.passed_over = Some((home, now.after(PASS_OVER_TIME)));
    }
    let passed_over = line.passed_over.as_ref();
    let passed_over = passed_over.filter(|(_, until)| now < *until);
    fleet
        .home(shard, passed_over.map(|(name, _)| name))
        .cloned()
}

/// Returns a fraction of a token that differs between entries and accounts.
fn phase(start: u64, account: AccountHash) -> f64 {
    let mixed = crate::hash::stable(&[&start.to_be_bytes(), &account.0.to_be_bytes()]);
    f64::from((mixed >> u32::BITS) as u32) * HASH_SCALE
}
