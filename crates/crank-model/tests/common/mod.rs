//! What the searches over the three specifications share.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::fmt::Debug;
use std::hash::Hash;

use crank_model::Invariant;
use crank_model::explore::{Step, Trace, broken, count, stuck};

/// No state that can be reached breaks an invariant, and there are exactly so many of them.
pub fn assert_safe<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Step<S>>,
    invariant: impl Fn(&S) -> Option<Invariant>,
    states: usize,
) {
    assert_eq!(broken(start, &steps, invariant), None);
    assert_eq!(count(start, &steps), states);
}

/// From every state that can be reached a goal can be.
pub fn assert_live<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Step<S>>,
    goal: impl Fn(&S) -> bool,
) {
    assert_eq!(stuck(start, steps, goal), None);
}

/// The shortest way to a broken invariant without a guard, which must break this one.
pub fn counterexample<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Step<S>>,
    invariant: impl Fn(&S) -> Option<Invariant>,
    without: impl Debug,
    expected: Invariant,
) -> Trace {
    let trace = broken(start, steps, invariant).unwrap();
    assert_eq!(trace.broken, Some(expected), "without {without:?}\n{trace}");
    trace
}
