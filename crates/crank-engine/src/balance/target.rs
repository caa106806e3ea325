use std::net::SocketAddr;

use crank_protocol::call::Load;
use crank_protocol::member::{Member, State};
use crank_protocol::{Millis, Permille};
use serde::{Deserialize, Serialize};

use super::{AttemptResult, Distance, eject::HealthRecord};
use crate::ewma::Ewma;
use crate::{Moment, slowdown};

/// The age at which a reported load no longer counts; until then its weight falls linearly.
const MAX_LOAD_AGE: Millis = Millis(1_000);
/// The age of the last report at which the mean of the reported slowdowns no longer counts; until
/// then its weight falls linearly. A slow target gets few requests, and only their answers tell
/// that it has recovered.
const MAX_SLOWDOWN_AGE: Millis = Millis(10_000);
/// The time for which a target is not chosen after it refused a request because it is leaving. It
/// covers the delay until the mesh members show the target as leaving.
const LEAVING_TIME: Millis = Millis(3_000);
/// The share of requests that a target gets at the start of its slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// What is added to the utilization of a suspect target, as a share of its slots.
const SUSPECT_PENALTY: f64 = 1.0;

/// The state of one target: its policy, measured load, latency and health.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) distance: Distance,
    pub(super) slots: u32,
    pub(super) record: HealthRecord,
    pub(super) latency: Ewma,
    #[serde(rename = "suspect")]
    is_suspect: bool,
    #[serde(rename = "began")]
    warm_up_start: Option<Moment>,
    leaving_until: Moment,
    in_flight: u32,
    #[serde(rename = "told")]
    reported_load: Option<ReportedLoad>,
    /// The mean of the reported slowdowns, in thousandths.
    mean_slowdown: Ewma,
}

/// The load that a target reported with its last answer or refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReportedLoad {
    #[serde(rename = "at")]
    received_at: Moment,
    /// The number of running and waiting requests that came from other nodes.
    #[serde(rename = "others")]
    from_others: u32,
    /// How long requests take there, as a share of what is usual.
    slowdown: Permille,
}

impl Target {
    pub(super) fn new(
        address: SocketAddr,
        distance: Distance,
        warm_up_start: Option<Moment>,
    ) -> Self {
        Self {
            address,
            distance,
            slots: 0,
            record: HealthRecord::default(),
            latency: Ewma::default(),
            is_suspect: false,
            warm_up_start,
            leaving_until: Moment(0),
            in_flight: 0,
            reported_load: None,
            mean_slowdown: Ewma::default(),
        }
    }

    pub(super) fn refresh(&mut self, member: &Member, distance: Distance, slots: u32) {
        self.address = member.address;
        self.is_suspect = member.state == State::Suspect;
        self.distance = distance;
        self.slots = slots;
    }

    pub(super) fn start_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn finish(&mut self, now: Moment, result: AttemptResult, load: Option<Load>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.record_load(now, load);
        }
        match result {
            AttemptResult::Answered { micros } => {
                self.latency.add(micros);
                self.record.record_answer();
            }
            AttemptResult::Slow { micros } => self.latency.add(micros),
            AttemptResult::Failed => self.record.record_failure(),
            AttemptResult::Leaving => self.leaving_until = now.after(LEAVING_TIME),
            AttemptResult::Full | AttemptResult::Unrelated => {}
        }
    }

    fn record_load(&mut self, now: Moment, load: Load) {
        let total = load.running.saturating_add(load.waiting);
        let slowdown = load.slowdown.unwrap_or(slowdown::USUAL);
        self.mean_slowdown.add(u64::from(slowdown.0));
        self.reported_load = Some(ReportedLoad {
            received_at: now,
            from_others: total.saturating_sub(self.in_flight),
            slowdown,
        });
    }

    pub(super) fn is_eligible(&self, now: Moment) -> bool {
        !self.is_leaving(now) && !self.is_ejected(now)
    }

    pub(super) fn is_leaving(&self, now: Moment) -> bool {
        now < self.leaving_until
    }

    pub(super) fn is_ejected(&self, now: Moment) -> bool {
        self.record.is_ejected(now)
    }

    /// Returns the share of requests that the target may get, from [`MIN_SLOW_START_SHARE`] to one.
    ///
    /// It grows linearly over the warm-up time, which starts when the target appears or its
    /// ejection ends.
    pub(super) fn slow_start_share(&self, now: Moment, warm_up: Millis) -> f64 {
        let start = self.warm_up_start.max(self.record.reinstated_at(now));
        let Some(start) = start else {
            return 1.0;
        };
        let age = now.since(start).0 as f64 / warm_up.0.max(1) as f64;
        age.clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    /// Returns the estimated utilization of the target's slots if it gets one more request.
    pub(super) fn utilization(&self, now: Moment, warm_up: Millis) -> f64 {
        let in_flight = self.decayed_other_requests(now) + f64::from(self.in_flight) + 1.0;
        let slots = f64::from(self.slots.max(1)) * self.slow_start_share(now, warm_up);
        let penalty = if self.is_suspect {
            SUSPECT_PENALTY
        } else {
            0.0
        };
        in_flight / slots + penalty
    }

    /// Returns what a further request costs here: the expected time until its answer as a share of
    /// the usual run time, less one run time.
    ///
    /// At the usual speed it is the utilization. A slow target's free slot costs as much as a
    /// queue at a fast one.
    pub(super) fn cost(&self, now: Moment, utilization: f64) -> f64 {
        self.slowdown(now) * (1.0 + utilization) - 1.0
    }

    /// Returns the reported slowdown. With the age of the report it approaches the mean of the
    /// reports first, and then the usual speed.
    fn slowdown(&self, now: Moment) -> f64 {
        let (Some(report), Some(mean)) = (self.reported_load, self.mean_slowdown.mean()) else {
            return 1.0;
        };
        let age = now.since(report.received_at);
        let usual = f64::from(slowdown::USUAL.0);
        let mean = mean as f64 / usual;
        let last = f64::from(report.slowdown.0) / usual;
        let lasting = (mean - 1.0) * remaining_weight(age, MAX_SLOWDOWN_AGE);
        let momentary = (last - mean) * remaining_weight(age, MAX_LOAD_AGE);
        1.0 + lasting + momentary
    }

    /// Returns the reported number of requests from other nodes, reduced by the age of the report.
    fn decayed_other_requests(&self, now: Moment) -> f64 {
        let Some(report) = self.reported_load else {
            return 0.0;
        };
        let age = now.since(report.received_at);
        f64::from(report.from_others) * remaining_weight(age, MAX_LOAD_AGE)
    }
}

/// Returns the weight of a report, which falls linearly to zero at `max_age`.
fn remaining_weight(age: Millis, max_age: Millis) -> f64 {
    (1.0 - age.0 as f64 / max_age.0 as f64).max(0.0)
}
