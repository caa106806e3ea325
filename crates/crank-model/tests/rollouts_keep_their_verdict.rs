//! The search over the specification of roll-outs.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod common;

use common::{assert_safe, counterexample};
use crank_model::Invariant;
use crank_model::rollout::{Guard, Rollout};

/// Two deciders, three decisions each, two orders, one late write.
const STATES: usize = 61_686;

#[test]
fn no_reachable_state_of_rollouts_breaks_an_invariant() {
    let spec = Rollout::new(None);
    let (steps, broken) = (
        |state: &_| spec.steps(state),
        |state: &_| spec.broken(state),
    );
    assert_safe(&spec.start(), steps, broken, STATES);
}

#[test]
fn each_guard_of_rollouts_is_needed() {
    for guard in [
        Guard::RowCondition,
        Guard::AdoptRecorded,
        Guard::LaterOrderStays,
    ] {
        let spec = Rollout::new(Some(guard));
        let (steps, broken) = (
            |state: &_| spec.steps(state),
            |state: &_| spec.broken(state),
        );
        let invariant = Invariant::VerdictChanged;
        let trace = counterexample(&spec.start(), steps, broken, guard, invariant);
        insta::assert_snapshot!(format!("rollout_without_{guard:?}"), trace);
    }
}
