//! The search over the specification of claims.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

use crank_model::Invariant;
use crank_model::claim::{Claim, Guard};
use crank_model::explore::{broken, count};

/// Three targets, two claims each, one late write.
const STATES: usize = 1_017_310;

#[test]
fn no_reachable_state_of_claims_breaks_an_invariant() {
    let spec = Claim::new(None);
    let (start, steps) = (spec.start(), |state: &_| spec.steps(state));
    assert_eq!(broken(&start, steps, |state| spec.broken(state)), None);
    assert_eq!(count(&start, steps), STATES);
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
        let trace = broken(
            &spec.start(),
            |state| spec.steps(state),
            |state| spec.broken(state),
        );
        let trace = trace.unwrap();
        assert_eq!(trace.broken, Some(invariant), "without {guard:?}\n{trace}");
        insta::assert_snapshot!(format!("claim_without_{guard:?}"), trace);
    }
}
