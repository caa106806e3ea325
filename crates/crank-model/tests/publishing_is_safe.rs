//! The search over the specification of publishing.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod common;

use common::{assert_live, assert_safe, counterexample};
use crank_model::Invariant;
use crank_model::publish::{Guard, Publish};

/// The operator's three edits, two publishers, one late write of the head.
const STATES: usize = 629_636;

#[test]
fn no_reachable_state_of_publishing_breaks_an_invariant() {
    let spec = Publish::new(None);
    let (steps, broken) = (
        |state: &_| spec.steps(state),
        |state: &_| spec.broken(state),
    );
    assert_safe(&spec.start(), steps, broken, STATES);
}

#[test]
fn the_last_folder_can_be_accepted_from_every_state() {
    let spec = Publish::new(None);
    let (steps, goal) = (
        |state: &_| spec.steps(state),
        |state: &_| spec.is_goal(state),
    );
    assert_live(&spec.start(), steps, goal);
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
        let (steps, broken) = (
            |state: &_| spec.steps(state),
            |state: &_| spec.broken(state),
        );
        let trace = counterexample(&spec.start(), steps, broken, guard, invariant);
        insta::assert_snapshot!(format!("publish_without_{guard:?}"), trace);
    }
}
