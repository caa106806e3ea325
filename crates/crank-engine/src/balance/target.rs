use std::net::SocketAddr;

use crank_protocol::Millis;
use crank_protocol::call::Load;
use crank_protocol::member::{Member, State};
use serde::{Deserialize, Serialize};

use super::{AttemptResult, Distance, eject::HealthRecord};
use crate::Moment;
use crate::ewma::Ewma;

/// The age at which a reported load no longer counts; until then its weight falls linearly.
const MAX_LOAD_AGE: Millis = Millis(1_000);
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
        self.reported_load = Some(ReportedLoad {
            received_at: now,
            from_others: total.saturating_sub(self.in_flight),
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

    /// Returns the reported number of requests from other nodes, reduced by the age of the report.
    fn decayed_other_requests(&self, now: Moment) -> f64 {
        let Some(report) = self.reported_load else {
            return 0.0;
        };
        let age = now.since(report.received_at).0 as f64 / MAX_LOAD_AGE.0 as f64;
        f64::from(report.from_others) * (1.0 - age).max(0.0)
    }
}
