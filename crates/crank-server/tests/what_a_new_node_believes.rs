//! A node that has just started takes no late heartbeat for a server that is ready.

#![allow(clippy::unwrap_used)]

use crank_protocol::member::Stage;
use crank_protocol::{Millis, Name};
use crank_server::{Heard, Report, Roster, Start};

fn report(stage: Stage, sequence: u64) -> Report {
    Report {
        service: Name::new("recipes").unwrap(),
        stage,
        slots: 6,
        address: ([127, 0, 0, 1], 8_080).into(),
        start: Start {
            server: Some("s1".into()),
            born: Some(7),
            sequence: Some(sequence),
        },
    }
}

fn stage(roster: &Roster) -> Option<Stage> {
    let watch = roster.watch();
    let believed = watch.borrow();
    believed.as_ref().map(|believed| believed.endpoint.stage)
}

#[test]
fn a_heartbeat_from_before_the_drain_gives_a_new_node_no_work_for_its_server() {
    let roster = Roster::new(Millis(60_000));
    assert_eq!(roster.hear(report(Stage::Ready, 4)), Heard::New);
    assert_eq!(stage(&roster), Some(Stage::Starting));
    assert_eq!(roster.hear(report(Stage::Draining, 6)), Heard::New);
    assert_eq!(roster.hear(report(Stage::Ready, 5)), Heard::Late);
    assert_eq!(stage(&roster), Some(Stage::Draining));
    roster.confirm("s1");
    assert_eq!(
        stage(&roster),
        Some(Stage::Draining),
        "health is not asked of one that leaves"
    );
}

#[test]
fn a_second_heartbeat_or_its_health_shows_that_a_server_is_ready() {
    let roster = Roster::new(Millis(60_000));
    roster.hear(report(Stage::Ready, 4));
    roster.hear(report(Stage::Ready, 5));
    assert_eq!(stage(&roster), Some(Stage::Ready));
    let roster = Roster::new(Millis(60_000));
    roster.hear(report(Stage::Ready, 4));
    roster.confirm("another");
    assert_eq!(stage(&roster), Some(Stage::Starting));
    roster.confirm("s1");
    assert_eq!(stage(&roster), Some(Stage::Ready));
}
