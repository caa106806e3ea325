//! What an entry knows of the home of one shard, and when it reports there.

use std::collections::HashMap;

use crank_protocol::config::Version;
use crank_protocol::quota::{AccountHash, ReportNumber, Shard, Share};
use crank_protocol::{Millis, Name};

use crate::Moment;
use crate::quota::place::Fleet;
use crate::quota::{HOME_TIMEOUT, LIMITED_REPORT_INTERVAL, MIN_REPORT_INTERVAL, REPORT_INTERVAL};

/// An unanswered report is repeated after this time.
const REPEAT_INTERVAL: Millis = Millis(250);
/// How long a home that did not answer is passed over.
const PASS_OVER_TIME: Millis = Millis(5_000);
/// How long the shares of the home before hold where a new home knows of no limited account.
const INHERITED_SHARE_TTL: Millis = Millis(600);
/// How many reports are remembered to tell when an answered one was sent.
const REMEMBERED_REPORTS: usize = 16;

/// What an entry knows of the home of one shard.
#[derive(Debug, Default)]
pub(super) struct Line {
    pub(super) home: Option<Name>,
    pub(super) passed_over: Option<(Name, Moment)>,
    pub(super) number: ReportNumber,
    pub(super) sent: Vec<(ReportNumber, Moment)>,
    /// Since when reports to the home are without an answer.
    pub(super) unanswered_since: Option<Moment>,
    pub(super) valid_until: Option<Moment>,
    pub(super) version: Version,
    pub(super) shares: HashMap<AccountHash, Share>,
    /// Whether the home had no room to name all limited accounts.
    pub(super) is_cut: bool,
    pub(super) is_urgent: bool,
    /// The shares that the home before has granted, and when the entry turned to the present one.
    inherited: Option<(Moment, HashMap<AccountHash, Share>)>,
}

impl Line {
    pub(super) fn is_valid(&self, now: Moment) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Turns to another home, which has not heard of the demand yet.
    pub(super) fn turn(&mut self, now: Moment) {
        self.unanswered_since = None;
        self.sent.clear();
        self.inherited = Some((now, self.shares.clone()));
    }

    /// Takes over the shares in the answer to a report that was sent at `sent_at`. Accounts that the
    /// home before had limited keep their shares until the present one has gathered their demand.
    pub(super) fn set_shares(&mut self, sent_at: Moment, shares: Vec<Share>) {
        let shares = shares.into_iter();
        self.shares = shares.map(|share| (share.account, share)).collect();
        let Some((turned_at, inherited)) = &self.inherited else {
            return;
        };
        if sent_at.since(*turned_at) >= INHERITED_SHARE_TTL {
            self.inherited = None;
            return;
        }
        for (account, share) in inherited {
            self.shares.entry(*account).or_insert(*share);
        }
    }

    pub(super) fn last_sent(&self) -> Option<Moment> {
        self.sent.last().map(|(_, at)| *at)
    }

    pub(super) fn is_due(&self, now: Moment, is_limited: bool) -> bool {
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

    pub(super) fn remember(&mut self, number: ReportNumber, now: Moment) {
        if self.sent.len() >= REMEMBERED_REPORTS {
            self.sent.remove(0);
        }
        self.sent.push((number, now));
        self.unanswered_since.get_or_insert(now);
        self.is_urgent = false;
    }
}

/// Returns whether a home should hear soon of the requests that it has not answered for.
pub(super) fn is_notable(unanswered: f64, max_unanswered: f64) -> bool {
    const MIN_NOTABLE: f64 = 2.0;
    unanswered >= MIN_NOTABLE && unanswered * 4.0 >= max_unanswered
}

/// Chooses the home of a shard, and passes over one that has not answered for long.
pub(super) fn choose_home(
    now: Moment,
    shard: Shard,
    line: &mut Line,
    fleet: &Fleet,
) -> Option<Name> {
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
