//! Merges what nodes tell one another of orders and verdicts.

use std::collections::BTreeMap;

use crank_protocol::rollout::RolloutState;
use crank_protocol::{Millis, Name};

use crate::Moment;

/// By how much an age must be greater than the known one to be news: ages that came over different
/// ways differ by the time on the way.
const AGE_TOLERANCE: Millis = Millis(500);

/// A roll-out as one node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRollout {
    /// The state; its age is that at `learned_at`.
    pub state: RolloutState,
    /// When this node learned of it. The order itself may be older than the process.
    pub learned_at: Moment,
}

impl KnownRollout {
    /// Returns the time since the first node learned of the order.
    ///
    /// ```
    /// # use crank_engine::{Moment, rollout::KnownRollout};
    /// # use crank_protocol::Millis;
    /// fn is_overdue(known: &KnownRollout, now: Moment) -> bool {
    ///     known.age(now) > known.state.order.duration
    /// }
    /// ```
    #[must_use]
    pub fn age(&self, now: Moment) -> Millis {
        let since = now.since(self.learned_at);
        Millis(self.state.age.0.saturating_add(since.0))
    }
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
    /// Merges a state; returns whether it told anything that other nodes need to know: a later
    /// order, a more advanced phase, or that the order is older than known.
    ///
    /// An order that repeats the unfinished one of the service keeps the time of the first.
    pub fn merge(&mut self, state: RolloutState, now: Moment) -> bool {
        let service = state.order.service.clone();
        let Some(known) = self.rollouts.get_mut(&service) else {
            let learned_at = now;
            self.rollouts
                .insert(service, KnownRollout { state, learned_at });
            return true;
        };
        let known_age = known.age(now);
        let (order, phase) = (&known.state.order, known.state.phase);
        if state.order.revision < order.revision {
            return false;
        }
        let is_later = state.order.revision > order.revision;
        let repeats = order.target == state.order.target
            && order.duration == state.order.duration
            && !phase.is_final();
        let age = if is_later && !repeats {
            state.age
        } else {
            state.age.max(known_age)
        };
        let advances = is_later || state.phase > phase;
        let is_older = age.0 > known_age.0.saturating_add(AGE_TOLERANCE.0);
        if advances {
            known.state = state;
        }
        known.state.age = age;
        known.learned_at = now;
        advances || is_older
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
            age: known.age(now),
            ..known.state.clone()
        };
        self.rollouts.values().map(state).collect()
    }
}
