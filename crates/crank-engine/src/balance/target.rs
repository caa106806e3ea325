use std::net::SocketAddr;

use crank_protocol::Millis;
use crank_protocol::call::Load;
use crank_protocol::member::{Member, State};
use serde::{Deserialize, Serialize};

use super::{AttemptResult, Distance, eject::Record};
use crate::Moment;
use crate::ewma::Ewma;

/// What an answer told of a target's load counts for less and less until this age.
const LOAD_AGE: Millis = Millis(1_000);
/// How long a target that said it leaves is passed over before the members tell of it.
const LEAVING_FOR: Millis = Millis(3_000);
/// The share of work that a cold target begins with.
const COLDEST: f64 = 0.1;
/// What a suspected target is given on top of its load, as a share of its slots.
const SUSPECT_HANDICAP: f64 = 1.0;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) distance: Distance,
    pub(super) slots: u32,
    pub(super) record: Record,
    pub(super) latency: Ewma,
    suspect: bool,
    began: Option<Moment>,
    leaving_until: Moment,
    in_flight: u32,
    told: Option<Told>,
}

/// What a target told of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Told {
    at: Moment,
    /// Requests of other nodes that ran or waited.
    others: u32,
}

impl Target {
    pub(super) fn new(address: SocketAddr, distance: Distance, began: Option<Moment>) -> Self {
        Self {
            address,
            distance,
            slots: 0,
            record: Record::default(),
            latency: Ewma::default(),
            suspect: false,
            began,
            leaving_until: Moment(0),
            in_flight: 0,
            told: None,
        }
    }

    pub(super) fn refresh(&mut self, member: &Member, distance: Distance, slots: u32) {
        self.address = member.address;
        self.suspect = member.state == State::Suspect;
        self.distance = distance;
        self.slots = slots;
    }

    pub(super) fn begin(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn finish(&mut self, now: Moment, end: AttemptResult, load: Option<Load>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.hear(now, load);
        }
        match end {
            AttemptResult::Answered { micros } => {
                self.latency.add(micros);
                self.record.answered();
            }
            AttemptResult::Slow { micros } => self.latency.add(micros),
            AttemptResult::Failed => self.record.failed(),
            AttemptResult::Leaving => self.leaving_until = now.after(LEAVING_FOR),
            AttemptResult::Full | AttemptResult::Unrelated => {}
        }
    }

    fn hear(&mut self, now: Moment, load: Load) {
        let all = load.running.saturating_add(load.waiting);
        self.told = Some(Told {
            at: now,
            others: all.saturating_sub(self.in_flight),
        });
    }

    pub(super) fn is_open(&self, now: Moment) -> bool {
        !self.is_leaving(now) && !self.is_ejected(now)
    }

    pub(super) fn is_leaving(&self, now: Moment) -> bool {
        now < self.leaving_until
    }

    pub(super) fn is_ejected(&self, now: Moment) -> bool {
        self.record.is_out(now)
    }

    /// The share of work that it may be given, from [`COLDEST`] to one.
    pub(super) fn warmth(&self, now: Moment, warm_up: Millis) -> f64 {
        let began = self.began.max(self.record.returned(now));
        let Some(began) = began else {
            return 1.0;
        };
        let age = now.since(began).0 as f64 / warm_up.0.max(1) as f64;
        age.clamp(COLDEST, 1.0)
    }

    /// The estimated use of its slots if it is given one more request.
    pub(super) fn used(&self, now: Moment, warm_up: Millis) -> f64 {
        let busy = self.others(now) + f64::from(self.in_flight) + 1.0;
        let slots = f64::from(self.slots.max(1)) * self.warmth(now, warm_up);
        let handicap = if self.suspect { SUSPECT_HANDICAP } else { 0.0 };
        busy / slots + handicap
    }

    fn others(&self, now: Moment) -> f64 {
        let Some(told) = self.told else {
            return 0.0;
        };
        let age = now.since(told.at).0 as f64 / LOAD_AGE.0 as f64;
        f64::from(told.others) * (1.0 - age).max(0.0)
    }
}
