//! Roll-outs: two deciders, an operator who replaces the order, and the store.
//!
//! Each decider may reach either verdict at any time, as the evidence that it holds may differ. It
//! may be killed at any step; an answer of the store may be lost, and a write may take effect late.

use crank_protocol::rollout::Phase;

use crate::Invariant;
use crate::explore::Step;

const DECIDERS: usize = 2;
const DECISIONS_PER_DECIDER: u8 = 3;
const ORDERS: usize = 2;
const VERDICTS: [Phase; 2] = [Phase::Completed, Phase::RolledBack];

/// What keeps a verdict from being changed; a search takes out one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// The row is written only while it is the one that was read.
    RowCondition,
    /// A verdict on the same order that is in the row is adopted.
    AdoptRecorded,
    /// The verdict on a later order is not written over.
    LaterOrderStays,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Rollout {
    without: Option<Guard>,
}

/// A verdict and the number of its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Verdict {
    order: usize,
    phase: Phase,
}

/// The row, and how often it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Row {
    verdict: Option<Verdict>,
    writes: u8,
}

/// A write of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Write {
    verdict: Verdict,
    after: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Decider {
    /// What it wants to record, and the row that it has read.
    wanted: Option<(Verdict, Row)>,
    decisions: u8,
}

/// Everything that the deciders, the other nodes and the store remember.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    order: usize,
    row: Row,
    late: Option<Write>,
    deciders: [Decider; DECIDERS],
    /// What the nodes were told of each order.
    told: [Option<Phase>; ORDERS],
    broken: Option<Invariant>,
}

impl Rollout {
    /// The specification, whole or without one guard.
    ///
    /// ```
    /// use crank_model::rollout::Rollout;
    /// let spec = Rollout::new(None);
    /// assert!(!spec.steps(&spec.start()).is_empty());
    /// ```
    #[must_use]
    pub fn new(without: Option<Guard>) -> Self {
        Self { without }
    }

    /// There is an order and no verdict.
    ///
    /// ```
    /// # use crank_model::rollout::Rollout;
    /// let spec = Rollout::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn start(&self) -> State {
        let idle = Decider {
            wanted: None,
            decisions: 0,
        };
        State {
            order: 0,
            row: Row::default(),
            late: None,
            deciders: [idle; DECIDERS],
            told: [None; ORDERS],
            broken: None,
        }
    }

    /// The invariant that a state breaks.
    ///
    /// ```
    /// # use crank_model::rollout::Rollout;
    /// # let spec = Rollout::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn broken(&self, state: &State) -> Option<Invariant> {
        state.broken
    }

    /// Everything that may happen next.
    ///
    /// ```
    /// # use crank_model::rollout::Rollout;
    /// # let spec = Rollout::new(None);
    /// assert_eq!(spec.steps(&spec.start())[0].label, "the operator replaces the order");
    /// ```
    #[must_use]
    pub fn steps(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        if state.broken.is_some() {
            return steps;
        }
        if state.order + 1 < ORDERS {
            let mut next = state.clone();
            next.order += 1;
            push(
                &mut steps,
                "the operator replaces the order".to_owned(),
                next,
            );
        }
        for decider in 0..DECIDERS {
            match state.deciders[decider].wanted {
                None => read_steps(state, decider, &mut steps),
                Some((verdict, read)) => {
                    self.record_steps(state, decider, verdict, read, &mut steps);
                }
            }
        }
        if let Some(write) = state.late {
            let mut next = state.clone();
            next.late = None;
            self.apply(&mut next, write);
            push(&mut steps, "the late write arrives".to_owned(), next);
        }
        steps
    }

    /// What may become of a verdict after the row was read.
    fn record_steps(
        &self,
        state: &State,
        decider: usize,
        verdict: Verdict,
        read: Row,
        steps: &mut Vec<Step<State>>,
    ) {
        let number = decider + 1;
        let mut idle = state.clone();
        idle.deciders[decider].wanted = None;
        push(steps, format!("decider {number} is killed"), idle.clone());
        let held = read.verdict;
        let same = held.filter(|held| held.order == verdict.order);
        if let Some(held) = same.filter(|_| self.has(Guard::AdoptRecorded)) {
            let label = format!("decider {number} tells the recorded {:?}", held.phase);
            tell(&mut idle, held);
            return push(steps, label, idle);
        }
        let is_later = held.is_some_and(|held| held.order > verdict.order);
        if is_later && self.has(Guard::LaterOrderStays) {
            return push(steps, format!("decider {number} finds a later order"), idle);
        }
        let write = Write {
            verdict,
            after: read.writes,
        };
        let mut done = idle.clone();
        if self.apply(&mut done, write) {
            let label = format!("the answer to decider {number} is lost");
            push(steps, label, done.clone());
            let label = format!("decider {number} records and tells {:?}", verdict.phase);
            tell(&mut done, verdict);
            push(steps, label, done);
        }
        if state.late.is_none() {
            idle.late = Some(write);
            push(
                steps,
                format!("the write of decider {number} is late"),
                idle,
            );
        }
    }

    /// Lets a write take effect, if its condition holds.
    fn apply(&self, state: &mut State, write: Write) -> bool {
        let holds = state.row.writes == write.after || !self.has(Guard::RowCondition);
        if holds {
            state.row = Row {
                verdict: Some(write.verdict),
                writes: state.row.writes + 1,
            };
        }
        holds
    }

    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }
}

/// A decider reaches either verdict and reads the row.
fn read_steps(state: &State, decider: usize, steps: &mut Vec<Step<State>>) {
    if state.deciders[decider].decisions == DECISIONS_PER_DECIDER {
        return;
    }
    // It may not have heard of the latest order yet.
    for order in 0..=state.order {
        for phase in VERDICTS {
            let mut next = state.clone();
            next.deciders[decider].decisions += 1;
            next.deciders[decider].wanted = Some((Verdict { order, phase }, state.row));
            let (number, order) = (decider + 1, order + 1);
            let label = format!("decider {number} wants {phase:?} for order {order}, and reads");
            push(steps, label, next);
        }
    }
}

fn tell(state: &mut State, verdict: Verdict) {
    let told = &mut state.told[verdict.order];
    if told.is_some_and(|told| told != verdict.phase) {
        state.broken = Some(Invariant::VerdictChanged);
    }
    *told = Some(verdict.phase);
}

fn push(steps: &mut Vec<Step<State>>, label: String, next: State) {
    steps.push(Step { label, next });
}
