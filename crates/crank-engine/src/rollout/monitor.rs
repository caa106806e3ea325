//! The sequential test of the new release against the old one.
//!
//! Per route, failures and slow answers are tested apart, each as a cumulative sum (Page's CUSUM)
//! of the log likelihood ratio of two Bernoulli distributions: the rate of the old release with a
//! margin, and that rate plus a step. The sum starts again from zero where the evidence is in
//! favour of the release, so that a release that turns bad late is found as soon as one that is bad
//! at once. A single server adds only a part of the threshold: servers that fail for reasons of
//! their own are outweighed by the others, while a bad release shows on each of them.
//!
//! Few answers that add no evidence against a release are none for it: a route with few of them
//! counts only after the sequential test of its rate has accepted the release (Wald's lower bound).

use std::collections::BTreeMap;

use crank_protocol::rollout::{Subject, Tally};
use crank_protocol::{Millis, Name};

use super::evidence::MAX_LATENCY_CLASS;
use crate::Moment;

/// The natural logarithm of the inverse of the accepted rate of false alarms, one in 10,000.
const THRESHOLD: f64 = 9.2;
/// From this part of the threshold on, a release is not trusted yet.
const SUSPICION: f64 = THRESHOLD / 3.0;
/// From this part of the threshold on, a release is more likely bad than good.
const LIKELIHOOD: f64 = THRESHOLD * 0.75;
/// How many servers must add evidence against the release, if it has that many: four in a row that
/// are ill for reasons of their own are not enough.
const MIN_SERVERS: f64 = 4.5;
/// The time in which a server may again add its part of the threshold.
const ALLOWANCE_TIME: Millis = Millis(5_000);
/// The time in which an answer of the old release loses half of its weight.
const HALF_LIFE: Millis = Millis(2_000);
/// The margin on the old release's rate: a factor, and what is added.
const MARGIN_FACTOR: f64 = 1.25;
const MARGIN: f64 = 0.02;
/// The difference between the rates of a good and a bad release that the test is made for: a bad
/// one gives a third of bad answers.
const STEP: f64 = 0.3;
const MAX_RATE: f64 = 0.95;
/// How many answers without failure the old release is credited with before there are any.
const PRIOR_ANSWERS: f64 = 20.0;
/// An answer is slow from this many latency classes above the old release's median, about three
/// times the latency.
const SLOW_CLASSES: usize = 3;
/// How many answers of the old release there must be to judge slowness.
const MIN_COMPARED: f64 = 10.0;
/// The natural logarithm of the inverse of the accepted rate of bad releases that pass, one in 100.
const PROOF: f64 = 4.6;
/// From so many answers of a route on, the sums alone find what is bad.
const MANY_COMPARED: f64 = 60.0;
/// A route with a smaller part of the old release's answers is not waited for.
const MIN_ROUTE_PERCENT: u64 = 20;
const PERCENT: u64 = 100;
/// With fewer answers than this a bad release may not have reached [`LIKELIHOOD`].
const MANY_ANSWERS: u32 = 130;

/// What the evidence shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// There are too few answers for trust.
    Unknown,
    /// Nothing speaks against the release.
    Clear,
    /// Something speaks against the release, but too little for a verdict.
    Suspect,
    /// The release is more likely bad than good.
    Likely,
    /// The release is bad.
    Bad,
}

/// Tests the new release against the old one.
///
/// ```
/// use crank_engine::{Moment, rollout::{Finding, Monitor}};
/// let mut monitor = Monitor::default();
/// monitor.update(Moment(0), 3, &Default::default());
/// assert_eq!(monitor.finding(), Finding::Unknown);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Monitor {
    routes: BTreeMap<Name, Route>,
    previous: BTreeMap<Subject, Tally>,
    updated_at: Moment,
    answers: u32,
}

#[derive(Debug, Clone, Default)]
struct Route {
    old: OldAnswers,
    /// The answers of the old release since the order.
    old_answers: u64,
    failures: Cusum,
    slowness: Cusum,
}

/// The recent answers of the old release.
#[derive(Debug, Clone, Default)]
struct OldAnswers {
    answered: f64,
    failed: f64,
    latencies: Vec<f64>,
}

/// The evidence against the release.
#[derive(Debug, Clone, Default)]
struct Cusum {
    score: f64,
    /// The lowest log likelihood ratio of all answers so far, and the current one.
    lowest_ratio: f64,
    ratio: f64,
    answers: f64,
    allowances: BTreeMap<Name, Allowance>,
}

/// What a server may still add, as a part of the threshold.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    part: f64,
    at: Moment,
}

/// Counts of good and bad answers.
#[derive(Debug, Clone, Copy)]
struct Counts {
    good: f64,
    bad: f64,
}

impl Counts {
    /// Returns the log likelihood ratio of these counts at the two rates of bad ones.
    fn ratio(&self, good_rate: f64, bad_rate: f64) -> f64 {
        self.bad * (bad_rate / good_rate).ln()
            + self.good * ((1.0 - bad_rate) / (1.0 - good_rate)).ln()
    }
}

impl Monitor {
    /// Takes in what was counted since the last update.
    ///
    /// `servers` is the number of servers of the new release.
    pub fn update(&mut self, now: Moment, servers: usize, totals: &BTreeMap<Subject, Tally>) {
        let fade = fade(now.since(self.updated_at));
        self.updated_at = now;
        for route in self.routes.values_mut() {
            route.old.fade(fade);
        }
        let parts = (servers as f64).clamp(1.0, MIN_SERVERS);
        // The old release's answers first, so that the new one is compared with the latest.
        let (old, new): (Vec<_>, Vec<_>) = totals
            .iter()
            .partition(|(subject, _)| subject.server.is_none());
        for (subject, tally) in old.into_iter().chain(new) {
            let growth = growth(tally, self.previous.get(subject));
            let route = self.routes.entry(subject.route.clone()).or_default();
            match &subject.server {
                None => {
                    route.old_answers += u64::from(growth.answered) + u64::from(growth.failed);
                    route.old.add(&growth);
                }
                Some(server) => {
                    self.answers += growth.answered + growth.failed;
                    route.judge(now, server, &growth, THRESHOLD / parts);
                }
            }
        }
        self.previous.clone_from(totals);
    }

    /// Returns what the evidence shows so far.
    #[must_use]
    pub fn finding(&self) -> Finding {
        let score = self.worst().map_or(0.0, |(_, score)| score);
        if score >= THRESHOLD {
            Finding::Bad
        } else if score >= LIKELIHOOD || (score >= SUSPICION && self.answers < MANY_ANSWERS) {
            Finding::Likely
        } else if score >= SUSPICION {
            Finding::Suspect
        } else if self.is_proved() {
            Finding::Clear
        } else {
            Finding::Unknown
        }
    }

    /// Returns whether each route in use has shown that the release is not bad on it.
    fn is_proved(&self) -> bool {
        let total: u64 = self.routes.values().map(|route| route.old_answers).sum();
        let is_used = |route: &&Route| route.old_answers * PERCENT >= total * MIN_ROUTE_PERCENT;
        let mut used = self.routes.values().filter(is_used).peekable();
        used.peek().is_some() && used.all(Route::is_proved)
    }

    /// Returns the route with the most evidence against the release, and its score as a part of
    /// the threshold in thousandths.
    ///
    /// ```
    /// assert!(crank_engine::rollout::Monitor::default().worst_route().is_none());
    /// ```
    #[must_use]
    pub fn worst_route(&self) -> Option<WorstRoute> {
        let (route, score) = self.worst()?;
        Some(WorstRoute {
            route: route.clone(),
            score_permille: (score / THRESHOLD * 1_000.0) as u32,
        })
    }

    fn worst(&self) -> Option<(&Name, f64)> {
        let score = |route: &Route| route.failures.score.max(route.slowness.score);
        let scores = self.routes.iter().map(|(name, route)| (name, score(route)));
        scores.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns how many answers of the new release were counted.
    ///
    /// ```
    /// assert_eq!(crank_engine::rollout::Monitor::default().answers(), 0);
    /// ```
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.answers
    }
}

/// The route with the most evidence against a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorstRoute {
    /// The name of the route.
    pub route: Name,
    /// The evidence in thousandths of what a verdict needs.
    pub score_permille: u32,
}

impl Route {
    /// Returns whether the release is not bad on this route, as far as it can be compared.
    fn is_proved(&self) -> bool {
        let can_compare = self.old.slow_from().is_some();
        self.failures.is_proved() && (self.slowness.is_proved() || !can_compare)
    }

    fn judge(&mut self, now: Moment, server: &Name, growth: &Tally, part: f64) {
        let failures = Counts {
            good: f64::from(growth.answered),
            bad: f64::from(growth.failed),
        };
        self.failures
            .add(now, server, failures, self.old.failure_rate(), part);
        if let Some(slow_from) = self.old.slow_from() {
            let latencies = growth.latencies.iter().map(|count| f64::from(*count));
            let slowness = split(latencies, slow_from);
            self.slowness
                .add(now, server, slowness, self.old.slow_rate(slow_from), part);
        }
    }
}

impl OldAnswers {
    fn fade(&mut self, fade: f64) {
        self.answered *= fade;
        self.failed *= fade;
        for count in &mut self.latencies {
            *count *= fade;
        }
    }

    fn add(&mut self, growth: &Tally) {
        self.answered += f64::from(growth.answered);
        self.failed += f64::from(growth.failed);
        self.latencies.resize(MAX_LATENCY_CLASS + 1, 0.0);
        for (count, added) in self.latencies.iter_mut().zip(&growth.latencies) {
            *count += f64::from(*added);
        }
    }

    fn failure_rate(&self) -> f64 {
        self.failed / (self.answered + self.failed + PRIOR_ANSWERS)
    }

    /// Returns the latency class from which an answer is slow, if there is enough to compare with.
    fn slow_from(&self) -> Option<usize> {
        let total: f64 = self.latencies.iter().sum();
        if total < MIN_COMPARED {
            return None;
        }
        let mut below = 0.0;
        let median = self.latencies.iter().position(|count| {
            below += count;
            below >= total / 2.0
        });
        median.map(|class| class + SLOW_CLASSES)
    }

    fn slow_rate(&self, slow_from: usize) -> f64 {
        let counts = split(self.latencies.iter().copied(), slow_from);
        counts.bad / (counts.good + counts.bad).max(1.0)
    }
}

impl Cusum {
    /// Returns whether there are enough answers, or they speak clearly for the release.
    fn is_proved(&self) -> bool {
        self.answers >= MANY_COMPARED || self.lowest_ratio <= -PROOF
    }

    /// Adds the answers of a server, which may add at most `part` to the score.
    fn add(&mut self, now: Moment, server: &Name, counts: Counts, old_rate: f64, part: f64) {
        let good_rate = (old_rate * MARGIN_FACTOR + MARGIN).min(MAX_RATE - STEP);
        self.answers += counts.good + counts.bad;
        let ratio = counts.ratio(good_rate, good_rate + STEP);
        self.ratio += ratio;
        self.lowest_ratio = self.lowest_ratio.min(self.ratio);
        let full = Allowance { part, at: now };
        let allowance = self.allowances.entry(server.clone()).or_insert(full);
        let refilled = now.since(allowance.at).0 as f64 / ALLOWANCE_TIME.0 as f64 * part;
        let left = (allowance.part + refilled).min(part);
        // Good answers take from the score, and may be made up for by the same server.
        let added = ratio.min(left);
        *allowance = Allowance {
            part: (left - added).min(part),
            at: now,
        };
        self.score = (self.score + added).max(0.0);
    }
}

/// Returns the weight that is left of earlier answers after this time.
fn fade(elapsed: Millis) -> f64 {
    0.5_f64.powf(elapsed.0 as f64 / HALF_LIFE.0 as f64)
}

fn split(latencies: impl Iterator<Item = f64>, slow_from: usize) -> Counts {
    let mut counts = Counts {
        good: 0.0,
        bad: 0.0,
    };
    for (class, count) in latencies.enumerate() {
        if class < slow_from {
            counts.good += count;
        } else {
            counts.bad += count;
        }
    }
    counts
}

/// Returns what was counted since an earlier tally.
fn growth(tally: &Tally, earlier: Option<&Tally>) -> Tally {
    let Some(earlier) = earlier else {
        return tally.clone();
    };
    let counted = |index: usize| earlier.latencies.get(index).copied().unwrap_or(0);
    let latencies = tally.latencies.iter().enumerate();
    Tally {
        subject: tally.subject.clone(),
        answered: tally.answered.saturating_sub(earlier.answered),
        failed: tally.failed.saturating_sub(earlier.failed),
        latencies: latencies
            .map(|(index, count)| count.saturating_sub(counted(index)))
            .collect(),
    }
}
