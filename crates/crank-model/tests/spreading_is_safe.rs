//! The search over the specification of spreading and restarts.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod common;

use common::{assert_live, assert_safe, counterexample};
use crank_model::Invariant;
use crank_model::explore::broken;
use crank_model::spread::{Guard, Spread};

/// Three versions, three proxies.
const STATES: usize = 8_316;

#[test]
fn no_reachable_state_of_spreading_breaks_an_invariant() {
    let spec = Spread::new(None);
    let (steps, broken) = (
        |state: &_| spec.steps(state),
        |state: &_| spec.broken(state),
    );
    assert_safe(&spec.start(), steps, broken, STATES);
}

#[test]
fn the_last_version_can_reach_every_proxy_from_every_state() {
    let spec = Spread::new(None);
    let (steps, goal) = (
        |state: &_| spec.steps(state),
        |state: &_| spec.is_goal(state),
    );
    assert_live(&spec.start(), steps, goal);
}

#[test]
fn each_guard_of_spreading_is_needed() {
    let needed = [
        (Guard::LaterOnly, Invariant::MovedBack),
        (Guard::ExactBase, Invariant::Dangling),
        (Guard::ResultDigest, Invariant::InPart),
        (Guard::StartEvidence, Invariant::MovedBack),
    ];
    for (guard, invariant) in needed {
        let spec = Spread::new(Some(guard));
        let (steps, broken) = (
            |state: &_| spec.steps(state),
            |state: &_| spec.broken(state),
        );
        let trace = counterexample(&spec.start(), steps, broken, guard, invariant);
        insta::assert_snapshot!(format!("spread_without_{guard:?}"), trace);
    }
}

#[test]
fn a_restart_during_an_outage_may_serve_less_than_was_served_before() {
    let spec = Spread::with_full_promise();
    let trace = broken(
        &spec.start(),
        |state| spec.steps(state),
        |state| spec.broken(state),
    );
    insta::assert_snapshot!("spread_limit_of_an_outage", trace.unwrap());
}
