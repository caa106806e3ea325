//! The search over the specification of publishing.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

use crank_model::Invariant;
use crank_model::explore::{broken, count, stuck};
use crank_model::publish::{Guard, Publish};

/// The operator's three edits, two publishers, one late write of the head.
const STATES: usize = 629_636;

#[test]
fn no_reachable_state_of_publishing_breaks_an_invariant() {
    let spec = Publish::new(None);
    let (start, steps) = (spec.start(), |state: &_| spec.steps(state));
    assert_eq!(broken(&start, steps, |state| spec.broken(state)), None);
    assert_eq!(count(&start, steps), STATES);
}

#[test]
fn the_last_folder_can_be_accepted_from_every_state() {
    let spec = Publish::new(None);
    let trace = stuck(
        &spec.start(),
        |state| spec.steps(state),
        |state| spec.is_goal(state),
    );
    assert_eq!(trace, None);
}

#[test]
fn each_guard_of_publishing_is_needed() {
    let needed = [
        (Guard::HeadCondition, Invariant::OneDigest),
        (Guard::HeadBeforeFolder, Invariant::Reverted),
        (Guard::SecondListing, Invariant::NeverAFolder),
        (Guard::ReadBack, Invariant::NotAccepted),
        (Guard::ObjectFirst, Invariant::MissingObject),
        (Guard::Merge, Invariant::Dangling),
    ];
    for (guard, invariant) in needed {
        let spec = Publish::new(Some(guard));
        let trace = broken(
            &spec.start(),
            |state| spec.steps(state),
            |state| spec.broken(state),
        );
        let trace = trace.unwrap();
        assert_eq!(trace.broken, Some(invariant), "without {guard:?}\n{trace}");
        insta::assert_snapshot!(format!("publish_without_{guard:?}"), trace);
    }
}
