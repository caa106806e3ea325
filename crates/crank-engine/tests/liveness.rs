//! When a connection counts as suspect, and when it is given up.

use std::time::Duration;

use crank_engine::Moment;
use crank_engine::liveness::{Liveness, MAX_SILENCE, Step};
use crank_protocol::Millis;
use proptest::prelude::*;

const ROUND_TRIP: Duration = Duration::from_millis(20);

fn at(millis: u64) -> Moment {
    Moment(0).after(Millis(millis))
}

fn connection() -> Liveness {
    let mut liveness = Liveness::new(Moment(0));
    liveness.add_round_trip(ROUND_TRIP);
    liveness
}

#[test]
fn a_slow_request_alone_never_makes_a_connection_suspect() {
    let mut liveness = connection();
    let mut now = 0;
    while now < 30_000 {
        match liveness.next_step(at(now), true) {
            Step::Ping => {
                liveness.record_ping(at(now));
                liveness.record_pong(at(now + 20));
            }
            Step::Wait { .. } => {}
            step @ (Step::Suspect { .. } | Step::Close) => unreachable!("{step:?} at {now} ms"),
        }
        now += 50;
    }
}

#[test]
fn a_silent_connection_is_suspect_soon_and_given_up_only_after_another_has_answered() {
    let mut liveness = connection();
    liveness.record_ping(at(250));
    assert!(!liveness.is_suspect(at(540)));
    assert!(liveness.is_suspect(at(560)));
    let late = at(250 + 5_000);
    assert!(matches!(
        liveness.next_step(late, true),
        Step::Suspect { .. }
    ));
    liveness.record_replacement(late);
    let closed_at = late.after(Millis(301));
    assert_eq!(liveness.next_step(closed_at, true), Step::Close);
}

#[test]
fn a_node_that_was_only_paused_is_not_given_up() {
    let mut liveness = connection();
    liveness.record_ping(at(250));
    liveness.record_replacement(at(1_000));
    liveness.record_pong(at(1_200));
    assert!(!liveness.is_suspect(at(1_200)));
    assert!(matches!(
        liveness.next_step(at(1_300), true),
        Step::Wait { .. }
    ));
}

proptest! {
    #[test]
    fn whatever_arrives_silence_ends_a_connection_in_bounded_time(
        arrivals in proptest::collection::vec(0..4_000_u64, 0..20),
    ) {
        let mut liveness = connection();
        let mut arrivals = arrivals;
        arrivals.sort_unstable();
        for arrival in &arrivals {
            liveness.record_message(at(*arrival));
        }
        let last = arrivals.last().copied().unwrap_or(0);
        let mut now = last;
        loop {
            match liveness.next_step(at(now), true) {
                Step::Close => break,
                Step::Ping => liveness.record_ping(at(now)),
                Step::Wait { .. } | Step::Suspect { .. } => {}
            }
            now += 10;
            prop_assert!(now < last + 1_000 + MAX_SILENCE.as_millis() as u64);
        }
    }
}
