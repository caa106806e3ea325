use std::collections::BTreeMap;

use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use super::target::Target;
use crate::Moment;
use crate::ewma::Ewma;

/// The number of consecutive failures after which a target is ejected.
pub const CONSECUTIVE_FAILURES: u32 = 5;
/// The time of a target's first ejection; each further ejection doubles it.
pub const MIN_EJECTION_TIME: Millis = Millis(2_000);
/// The maximum time of one ejection.
///
/// A target that was not ejected again for this time after an ejection ended starts again from
/// [`MIN_EJECTION_TIME`].
pub const MAX_EJECTION_TIME: Millis = Millis(60_000);

/// At most one target in this many is ejected at the same time.
const EJECTION_DIVISOR: usize = 2;
/// A target is slow if its mean latency exceeds this many times the median of the others plus
/// [`MIN_EXCESS_LATENCY_MICROS`].
const SLOW_LATENCY_FACTOR: f64 = 5.0;
/// The latency in microseconds that a slow target must have on top of the multiplied median, so
/// that network distance alone does not make a target slow.
const MIN_EXCESS_LATENCY_MICROS: f64 = 50_000.0;
/// The number of latency samples that a target must have before it is compared with others.
const MIN_SAMPLES: u32 = 3;
/// The number of other targets that a target must be compared with before it counts as slow.
const MIN_COMPARED_TARGETS: usize = 2;

/// The recent failures and ejections of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HealthRecord {
    failures: u32,
    #[serde(rename = "times")]
    ejections: u32,
    #[serde(rename = "on_trial")]
    on_probation: bool,
    #[serde(rename = "out_until")]
    ejected_until: Option<Moment>,
}

impl HealthRecord {
    pub(super) fn record_answer(&mut self) {
        self.failures = 0;
        self.on_probation = false;
    }

    pub(super) fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    pub(super) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns when the last ejection ended, if the target was ejected before and is not now.
    pub(super) fn reinstated_at(&self, now: Moment) -> Option<Moment> {
        self.ejected_until.filter(|until| *until <= now)
    }

    fn eject(&mut self, now: Moment) {
        let reset_at = self
            .reinstated_at(now)
            .map(|until| until.after(MAX_EJECTION_TIME));
        if reset_at.is_some_and(|expiry| expiry <= now) {
            self.ejections = 0;
        }
        let doubled = MIN_EJECTION_TIME.0 << self.ejections.min(16);
        let ejection_time = Millis(doubled.min(MAX_EJECTION_TIME.0));
        self.ejected_until = Some(now.after(ejection_time));
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.on_probation = true;
    }

    /// Returns the number of consecutive failures that eject the target.
    ///
    /// After an ejection the target is on probation until it answers: a single failure ejects it
    /// again.
    fn max_failures(&self) -> u32 {
        if self.on_probation {
            1
        } else {
            CONSECUTIVE_FAILURES
        }
    }

    /// Returns the number of latency samples after which the target is compared with others; one
    /// is enough on probation.
    fn min_samples(&self) -> u32 {
        if self.on_probation { 1 } else { MIN_SAMPLES }
    }
}

/// Ejects a target if it fails or is slow, unless too many targets are ejected already.
pub(super) fn eject_if_unhealthy(now: Moment, targets: &mut BTreeMap<Name, Target>, id: &Name) {
    let Some(target) = targets.get(id) else {
        return;
    };
    let is_failing = target.record.failures >= target.record.max_failures();
    if target.is_ejected(now) || !(is_failing || is_slow(targets, id, target)) {
        return;
    }
    let ejected = targets
        .values()
        .filter(|target| target.is_ejected(now))
        .count();
    if ejected + 1 > targets.len() / EJECTION_DIVISOR {
        return;
    }
    if let Some(target) = targets.get_mut(id) {
        target.record.eject(now);
        target.latency = Ewma::default();
    }
}

fn is_slow(targets: &BTreeMap<Name, Target>, id: &Name, target: &Target) -> bool {
    if target.latency.samples() < target.record.min_samples() {
        return false;
    }
    let mean = |target: &Target| target.latency.mean().map(|micros| micros as f64);
    let mut others: Vec<f64> = targets
        .iter()
        .filter(|(other, target)| *other != id && target.latency.samples() >= MIN_SAMPLES)
        .filter_map(|(_, target)| mean(target))
        .collect();
    if others.len() < MIN_COMPARED_TARGETS {
        return false;
    }
    others.sort_by(f64::total_cmp);
    let median = others[(others.len() - 1) / 2];
    mean(target).is_some_and(|mean| mean > median * SLOW_LATENCY_FACTOR + MIN_EXCESS_LATENCY_MICROS)
}
