//! Replays demand of 1.2 times what the servers can run, which falls back to 0.8 times, with several
//! entries and with callers that send failed requests again: through queues without a limit, and
//! through the engine's admission.

#![allow(clippy::unwrap_used, dead_code)]

#[path = "../examples/requests/model.rs"]
mod model;
#[path = "../examples/requests/placement.rs"]
mod placement;
#[path = "../examples/requests/setup.rs"]
mod setup;
#[path = "../examples/requests/simulation.rs"]
mod simulation;
#[path = "../examples/requests/surge.rs"]
mod surge;
#[path = "../examples/requests/uneven.rs"]
mod uneven;

use crank_protocol::{Millis, Permille};
use setup::{Queueing, Returns, Setup, Surge, six_places};
use simulation::Simulation;

const USUAL_LOAD: f64 = 0.8;
const OVERLOAD: f64 = 1.2;
/// In seconds. Requests count from a quarter of the simulation on, 3 s after the end of the surge.
const SURGE_END: f64 = 4.0;
const SIMULATION: f64 = 28.0;
/// Callers that were told to wait come back after this time.
const PATIENT: Returns = Returns {
    most: 1,
    pause: Millis(50),
};
/// Others come back at once, and more often.
const IMPATIENT: Returns = Returns {
    most: 3,
    pause: Millis(1),
};

fn usual(returns: Returns) -> Setup {
    let places = |count| six_places().into_iter().cycle().take(count).collect();
    Setup {
        entries: places(24),
        servers: places(12),
        queue: 24,
        mean: 98.0,
        timeout: Millis(800),
        objective: Millis(250),
        load: USUAL_LOAD,
        seconds: SIMULATION,
        probes: 3,
        retry_budget: Permille(1_000),
        returns,
        ..setup::base_setup()
    }
}

fn with_surge(setup: Setup) -> Setup {
    let surge = Surge {
        factor: OVERLOAD / USUAL_LOAD,
        until: SURGE_END,
    };
    Setup {
        surge: Some(surge),
        ..setup
    }
}

/// Returns the share of requests that are served within the objective, from their first attempt on.
fn served(setup: Setup) -> f64 {
    let results = Simulation::new(setup).run();
    results.in_objective as f64 / results.offered as f64
}

#[test]
fn queues_without_a_limit_keep_the_overload_after_its_cause_has_gone() {
    let endless = Setup {
        queueing: Queueing::Endless,
        ..usual(IMPATIENT)
    };
    let without = served(endless.clone());
    let after = served(with_surge(endless));
    assert!(
        without > 0.8 && after < 0.5,
        "{after} after the overload, {without} without one"
    );
}

#[test]
fn three_seconds_after_an_overload_requests_are_served_as_without_it() {
    for returns in [PATIENT, IMPATIENT] {
        let without = served(usual(returns));
        let after = served(with_surge(usual(returns)));
        assert!(
            after > without - 0.01,
            "{after} after the overload, {without} without one"
        );
    }
}
