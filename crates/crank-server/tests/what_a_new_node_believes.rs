//! A node that has just started takes no late heartbeat for a server that is ready.

#![allow(clippy::unwrap_used)]

use crank_protocol::member::Stage;
use crank_protocol::{Millis, Name};
use crank_server::{Heard, HeartbeatReport, HeartbeatTracker, ProcessStart};

fn report(stage: Stage, sequence: u64) -> HeartbeatReport {
    HeartbeatReport {
        service: Name::new("recipes").unwrap(),
        stage,
        slots: 6,
        address: ([127, 0, 0, 1], 8_080).into(),
        start: ProcessStart {
            server_id: Some("s1".into()),
            started_at_ms: Some(7),
            sequence: Some(sequence),
        },
    }
}

fn stage(roster: &HeartbeatTracker) -> Option<Stage> {
    let watch = roster.watch();
    let believed = watch.borrow();
    believed.as_ref().map(|believed| believed.endpoint.stage)
}

#[test]
fn a_heartbeat_from_before_the_drain_gives_a_new_node_no_work_for_its_server() {
    let roster = HeartbeatTracker::new(Millis(60_000));
    assert_eq!(roster.record_heartbeat(report(Stage::Ready, 4)), Heard::New);
    assert_eq!(stage(&roster), Some(Stage::Starting));
    assert_eq!(
        roster.record_heartbeat(report(Stage::Draining, 6)),
        Heard::New
    );
    assert_eq!(
        roster.record_heartbeat(report(Stage::Ready, 5)),
        Heard::Late
    );
    assert_eq!(stage(&roster), Some(Stage::Draining));
    roster.confirm_ready("s1");
    assert_eq!(
        stage(&roster),
        Some(Stage::Draining),
        "health is not asked of one that leaves"
    );
}

#[test]
fn a_second_heartbeat_or_its_health_shows_that_a_server_is_ready() {
    let roster = HeartbeatTracker::new(Millis(60_000));
    roster.record_heartbeat(report(Stage::Ready, 4));
    roster.record_heartbeat(report(Stage::Ready, 5));
    assert_eq!(stage(&roster), Some(Stage::Ready));
    let roster = HeartbeatTracker::new(Millis(60_000));
    roster.record_heartbeat(report(Stage::Ready, 4));
    roster.confirm_ready("another");
    assert_eq!(stage(&roster), Some(Stage::Starting));
    roster.confirm_ready("s1");
    assert_eq!(stage(&roster), Some(Stage::Ready));
}
