//! One account at an entry: its counters, its token bucket and how it is limited.

use crank_protocol::Millis;
use crank_protocol::quota::{AccountHash, ReportNumber, Share};

use crate::Moment;
use crate::quota::bucket::TokenBucket;

/// The time constant of an account's recent requests, which bound those not answered for.
const RECENT_SECONDS: f64 = 2.0;
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
pub(super) enum Mode {
    /// The home has said that the account is below its limit.
    Open,
    /// The home has granted a share of this many requests a second.
    Limited { per_second: f64 },
    /// The home has granted this part of the requests, because the share is small.
    Chance { part: f64, per_second: f64 },
    /// There is no valid grant, or one that may not name the account: an equal share of the limit
    /// holds.
    Alone,
}

/// The counters and the bucket of one account.
#[derive(Debug)]
pub(super) struct Meter {
    pub(super) since: ReportNumber,
    pub(super) wanted: u64,
    pub(super) admitted: u64,
    pub(super) sent: Option<(ReportNumber, u64, u64)>,
    pub(super) answered: (u64, u64),
    pub(super) recent: f64,
    pub(super) mode: Mode,
    pub(super) bucket: TokenBucket,
    pub(super) used_at: Moment,
}

impl Meter {
    pub(super) fn new(now: Moment, since: ReportNumber, phase: f64) -> Self {
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

    pub(super) fn restart(&mut self, since: ReportNumber) {
        self.since = since;
        (self.wanted, self.admitted) = (0, 0);
        self.answered = (0, 0);
        self.sent = None;
    }

    pub(super) fn has_news(&self) -> bool {
        (self.wanted, self.admitted) != self.answered
    }

    pub(super) fn unanswered(&self) -> f64 {
        self.admitted.saturating_sub(self.answered.1) as f64
    }

    pub(super) fn set_mode(&mut self, now: Moment, mode: Mode, phase: f64, equal: (f64, f64)) {
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

    pub(super) fn add_recent(&mut self, now: Moment) {
        let elapsed = now.0.saturating_sub(self.used_at.0) as f64 / MICROS_PER_SECOND;
        self.recent = self.recent * (-elapsed / RECENT_SECONDS).exp() + 1.0;
    }
}

pub(super) fn mode_of(share: &Share) -> Mode {
    let per_second = share.millis_per_second as f64 / MILLIS_PER_SECOND;
    if per_second * SAVING_SECONDS >= 1.0 {
        return Mode::Limited { per_second };
    }
    let part = f64::from(share.chance) / CHANCE_UNITS;
    Mode::Chance { part, per_second }
}

/// Returns the time in which a rate admits one request.
pub(super) fn time_of(per_second: f64) -> Millis {
    let millis = MILLIS_PER_SECOND / per_second.max(f64::MIN_POSITIVE);
    Millis(millis.min(MAX_CHANCE_WAIT.0 as f64).ceil() as u64)
}

/// Returns a fraction of a token that differs between entries and accounts.
pub(super) fn phase(start: u64, account: AccountHash) -> f64 {
    let mixed = crate::hash::stable(&[&start.to_be_bytes(), &account.0.to_be_bytes()]);
    f64::from((mixed >> u32::BITS) as u32) * HASH_SCALE
}
