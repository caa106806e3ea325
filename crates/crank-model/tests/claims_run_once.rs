//! The search over the specification of claims.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod common;

use common::{assert_safe, counterexample};
use crank_model::Invariant;
use crank_model::claim::{Claim, Guard};

/// Three targets, two claims each, one late write.
const STATES: usize = 1_017_310;

#[test]
fn no_reachable_state_of_claims_breaks_an_invariant() {
    let spec = Claim::new(None);
    let (steps, broken) = (
        |state: &_| spec.steps(state),
        |state: &_| spec.broken(state),
    );
    assert_safe(&spec.start(), steps, broken, STATES);
}

#[test]
fn each_guard_of_claims_is_needed() {
    let needed = [
        (Guard::PutIfAbsent, Invariant::RanTwice),
        (Guard::OverThatRelease, Invariant::RanTwice),
        (Guard::ReadBack, Invariant::RanTwice),
        (Guard::RefuseOnFailure, Invariant::RanTwice),
        (Guard::RefusalIsFinal, Invariant::RanAfterRefusal),
        (Guard::ReleaseUnrunOnly, Invariant::RanTwice),
        (Guard::SettleOwnOnly, Invariant::RanTwice),
    ];
    for (guard, invariant) in needed {
        let spec = Claim::new(Some(guard));
        let (steps, broken) = (
            |state: &_| spec.steps(state),
            |state: &_| spec.broken(state),
        );
        let trace = counterexample(&spec.start(), steps, broken, guard, invariant);
        insta::assert_snapshot!(format!("claim_without_{guard:?}"), trace);
    }
}
