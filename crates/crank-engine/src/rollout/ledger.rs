//! Merges what nodes tell one another of orders and verdicts.

use std::collections::BTreeMap;

use crank_protocol::Name;
use crank_protocol::rollout::RolloutState;

use crate::Moment;

/// A roll-out as one node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRollout {
    /// The state; its age is that at the moment at which the node learned of it.
    pub state: RolloutState,
    /// When the first node learned of the order, on this node's clock.
    pub ordered_at: Moment,
}

/// The newest order of each service and how far it has come.
///
/// States merge in any order and any number of times to the same result: the later order wins,
/// and of one order the more advanced phase.
///
/// ```
/// use crank_engine::{Moment, rollout::Ledger};
/// use crank_protocol::rollout::{Phase, RolloutOrder, RolloutState};
/// use crank_protocol::{Millis, Name, config::Revision};
/// let service = Name::new("vat").unwrap();
/// let (target, duration, revision) = ("v2".into(), Millis(12_000), Revision(7));
/// let order = RolloutOrder { service, target, duration, revision };
/// let trial = RolloutState { order, phase: Phase::Trial, age: Millis(0) };
/// let verdict = RolloutState { phase: Phase::RolledBack, ..trial.clone() };
/// let mut ledger = Ledger::default();
/// assert!(ledger.merge(verdict, Moment(0)));
/// assert!(!ledger.merge(trial, Moment(1)), "a verdict stays");
/// ```
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    rollouts: BTreeMap<Name, KnownRollout>,
}

impl Ledger {
    /// Merges a state; returns whether it told anything that other nodes need to know.
    ///
    /// An order that repeats the unfinished one of the service keeps the time of the first.
    pub fn merge(&mut self, state: RolloutState, now: Moment) -> bool {
        let ordered_at = now.before(state.age);
        let service = state.order.service.clone();
        let Some(known) = self.rollouts.get_mut(&service) else {
            let known = KnownRollout { state, ordered_at };
            self.rollouts.insert(service, known);
            return true;
        };
        let (order, phase) = (&known.state.order, known.state.phase);
        if state.order.revision > order.revision {
            let repeats = order.target == state.order.target
                && order.duration == state.order.duration
                && !phase.is_final();
            let ordered_at = if repeats {
                ordered_at.min(known.ordered_at)
            } else {
                ordered_at
            };
            *known = KnownRollout { state, ordered_at };
            return true;
        }
        if state.order.revision < order.revision {
            return false;
        }
        known.ordered_at = known.ordered_at.min(ordered_at);
        if state.phase <= phase {
            return false;
        }
        known.state = state;
        true
    }

    /// Returns the newest roll-out of each service.
    ///
    /// ```
    /// assert_eq!(crank_engine::rollout::Ledger::default().rollouts().count(), 0);
    /// ```
    pub fn rollouts(&self) -> impl Iterator<Item = &KnownRollout> {
        self.rollouts.values()
    }

    /// Returns the states to tell another node, with their current ages.
    ///
    /// ```
    /// use crank_engine::{Moment, rollout::Ledger};
    /// assert!(Ledger::default().states(Moment(0)).is_empty());
    /// ```
    #[must_use]
    pub fn states(&self, now: Moment) -> Vec<RolloutState> {
        let state = |known: &KnownRollout| RolloutState {
            age: now.since(known.ordered_at),
            ..known.state.clone()
        };
        self.rollouts.values().map(state).collect()
    }
}
