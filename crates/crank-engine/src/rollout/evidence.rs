//! The counters of all nodes about one order.

use std::collections::BTreeMap;

use crank_protocol::Name;
use crank_protocol::rollout::{self, Phase, Subject, Tally};

/// The highest latency class; slower answers and timeouts are in it too.
pub const MAX_LATENCY_CLASS: usize = 31;
/// Two classes double the latency.
const CLASSES_PER_DOUBLING: f64 = 2.0;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Returns the class of a latency in microseconds; each class spans a factor of the square root of
/// two.
///
/// ```
/// use crank_engine::rollout::latency_class;
/// assert_eq!([latency_class(500), latency_class(4_000), latency_class(8_000)], [0, 4, 6]);
/// ```
#[must_use]
pub fn latency_class(micros: u64) -> usize {
    let millis = (micros as f64 / MICROS_PER_MILLI).max(1.0);
    let class = (millis.log2() * CLASSES_PER_DOUBLING) as usize;
    class.min(MAX_LATENCY_CLASS)
}

/// What one process of a node has told.
#[derive(Debug, Clone, Default)]
struct Teller {
    phase: Phase,
    in_flight: u32,
    tallies: BTreeMap<Subject, Tally>,
}

/// The counters of all nodes about one order, each process counted once.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    tellers: BTreeMap<Name, BTreeMap<u64, Teller>>,
}

impl Evidence {
    /// Merges the message of a node. Messages may be repeated or out of order.
    ///
    /// ```
    /// use crank_engine::rollout::Evidence;
    /// use crank_protocol::{Name, rollout};
    /// fn receive(evidence: &mut Evidence, from: &Name, message: rollout::Evidence) {
    ///     evidence.merge(from, message);
    /// }
    /// ```
    pub fn merge(&mut self, from: &Name, message: rollout::Evidence) {
        let processes = self.tellers.entry(from.clone()).or_default();
        let teller = processes.entry(message.process).or_default();
        if message.phase >= teller.phase {
            // After a verdict no requests are added, so that the lowest number is the latest.
            teller.in_flight = if message.phase == teller.phase && message.phase.is_final() {
                teller.in_flight.min(message.in_flight)
            } else {
                message.in_flight
            };
            teller.phase = message.phase;
        }
        for tally in message.tallies {
            match teller.tallies.get_mut(&tally.subject) {
                Some(known) => raise(known, &tally),
                None => {
                    teller.tallies.insert(tally.subject.clone(), tally);
                }
            }
        }
    }

    /// Returns the sums over all processes.
    ///
    /// ```
    /// assert!(crank_engine::rollout::Evidence::default().totals().is_empty());
    /// ```
    #[must_use]
    pub fn totals(&self) -> BTreeMap<Subject, Tally> {
        let mut totals: BTreeMap<Subject, Tally> = BTreeMap::new();
        let tellers = self.tellers.values().flat_map(BTreeMap::values);
        for tally in tellers.flat_map(|teller| teller.tallies.values()) {
            match totals.get_mut(&tally.subject) {
                Some(total) => add(total, tally),
                None => {
                    totals.insert(tally.subject.clone(), tally.clone());
                }
            }
        }
        totals
    }

    /// Returns whether a node has told that it acts on this phase and has no requests in flight at
    /// servers of other releases.
    ///
    /// ```
    /// use crank_protocol::{Name, rollout::Phase};
    /// let evidence = crank_engine::rollout::Evidence::default();
    /// assert!(!evidence.has_moved(&Name::new("n1").unwrap(), Phase::Completed));
    /// ```
    #[must_use]
    pub fn has_moved(&self, node: &Name, phase: Phase) -> bool {
        let processes = self.tellers.get(node);
        let mut processes = processes.into_iter().flat_map(BTreeMap::values);
        processes.any(|teller| teller.phase == phase && teller.in_flight == 0)
    }
}

fn raise(known: &mut Tally, told: &Tally) {
    known.answered = known.answered.max(told.answered);
    known.failed = known.failed.max(told.failed);
    combine(&mut known.latencies, &told.latencies, u32::max);
}

fn add(total: &mut Tally, tally: &Tally) {
    total.answered = total.answered.saturating_add(tally.answered);
    total.failed = total.failed.saturating_add(tally.failed);
    combine(&mut total.latencies, &tally.latencies, u32::saturating_add);
}

fn combine(known: &mut Vec<u32>, told: &[u32], combined: impl Fn(u32, u32) -> u32) {
    if known.len() < told.len() {
        known.resize(told.len(), 0);
    }
    for (known, told) in known.iter_mut().zip(told) {
        *known = combined(*known, *told);
    }
}
