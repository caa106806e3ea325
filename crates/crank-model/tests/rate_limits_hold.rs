//! The search over the specification of rate limits.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod common;

use common::{assert_safe, counterexample};
use crank_model::Invariant;
use crank_model::quota::{Guard, Quota};

/// Two entries, two homes, three reports each, three tokens.
const STATES: usize = 145_593;

#[test]
fn no_reachable_state_of_rate_limits_exceeds_the_bound() {
    let spec = Quota::new(None);
    let (steps, broken) = (
        |state: &_| spec.steps(state),
        |state: &_| spec.broken(state),
    );
    assert_safe(&spec.start(), steps, broken, STATES);
}

#[test]
fn each_guard_of_rate_limits_is_needed() {
    for guard in [
        Guard::NewerReportCounts,
        Guard::BeginsEmpty,
        Guard::UnansweredIsBounded,
        Guard::NewerGrantsHold,
    ] {
        let spec = Quota::new(Some(guard));
        let (steps, broken) = (
            |state: &_| spec.steps(state),
            |state: &_| spec.broken(state),
        );
        let invariant = Invariant::OverLimit;
        let trace = counterexample(&spec.start(), steps, broken, guard, invariant);
        insta::assert_snapshot!(format!("rate_limit_without_{guard:?}"), trace);
    }
}
