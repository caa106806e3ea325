use std::collections::BTreeMap;

use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use super::target::Target;
use crate::Moment;
use crate::ewma::Ewma;

/// Failures without an answer between them that eject a target.
pub const CONSECUTIVE_FAILURES: u32 = 5;
/// How long a target is ejected the first time; each further time doubles it.
pub const MIN_EJECTION_TIME: Millis = Millis(2_000);
/// How long a target is ejected at most.
pub const MAX_EJECTION_TIME: Millis = Millis(60_000);

/// At most one target in this many is out at once.
const ONE_OUT_OF: usize = 2;
/// A target is slow when its mean latency is this many times the median of the others …
const SLOW_TIMES: f64 = 5.0;
/// … and this much longer, in microseconds, so that distance alone makes none slow.
const SLOW_BY_MICROS: f64 = 50_000.0;
/// Latencies that must be known of a target before it is compared.
const FEWEST_SAMPLES: u32 = 3;
/// Targets that a slow one must be compared with.
const FEWEST_OTHERS: usize = 2;

/// The failures and ejections of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Record {
    failures: u32,
    times: u32,
    on_trial: bool,
    out_until: Option<Moment>,
}

impl Record {
    pub(super) fn answered(&mut self) {
        self.failures = 0;
        self.on_trial = false;
    }

    pub(super) fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    pub(super) fn is_out(&self, now: Moment) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// When it came back, if it was out and is not any more.
    pub(super) fn returned(&self, now: Moment) -> Option<Moment> {
        self.out_until.filter(|until| *until <= now)
    }

    fn eject(&mut self, now: Moment) {
        let long_ago = self
            .returned(now)
            .map(|until| until.after(MAX_EJECTION_TIME));
        if long_ago.is_some_and(|forgotten| forgotten <= now) {
            self.times = 0;
        }
        let doubled = MIN_EJECTION_TIME.0 << self.times.min(16);
        let time = Millis(doubled.min(MAX_EJECTION_TIME.0));
        self.out_until = Some(now.after(time));
        self.times = self.times.saturating_add(1);
        self.failures = 0;
        self.on_trial = true;
    }

    /// A target that comes back is on trial until it answers: one failure ejects it again.
    fn most_failures(&self) -> u32 {
        if self.on_trial {
            1
        } else {
            CONSECUTIVE_FAILURES
        }
    }

    fn fewest_samples(&self) -> u32 {
        if self.on_trial { 1 } else { FEWEST_SAMPLES }
    }
}

/// Ejects a target whose last attempt shows it to fail or to be slow, unless too many are out.
pub(super) fn review(now: Moment, known: &mut BTreeMap<Name, Target>, id: &Name) {
    let Some(target) = known.get(id) else {
        return;
    };
    let fails = target.record.failures >= target.record.most_failures();
    if target.is_ejected(now) || !(fails || is_slow(known, id, target)) {
        return;
    }
    let out = known
        .values()
        .filter(|target| target.is_ejected(now))
        .count();
    if out + 1 > known.len() / ONE_OUT_OF {
        return;
    }
    if let Some(target) = known.get_mut(id) {
        target.record.eject(now);
        target.latency = Ewma::default();
    }
}

fn is_slow(known: &BTreeMap<Name, Target>, id: &Name, target: &Target) -> bool {
    if target.latency.samples() < target.record.fewest_samples() {
        return false;
    }
    let mean = |target: &Target| target.latency.micros().map(|micros| micros as f64);
    let mut others: Vec<f64> = known
        .iter()
        .filter(|(other, target)| *other != id && target.latency.samples() >= FEWEST_SAMPLES)
        .filter_map(|(_, target)| mean(target))
        .collect();
    if others.len() < FEWEST_OTHERS {
        return false;
    }
    others.sort_by(f64::total_cmp);
    let median = others[(others.len() - 1) / 2];
    mean(target).is_some_and(|mean| mean > median * SLOW_TIMES + SLOW_BY_MICROS)
}
