//! A node that has just started does not consider a server ready because of a delayed heartbeat,
//! which the server may have sent before it began to drain.

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

fn stage(tracker: &HeartbeatTracker) -> Option<Stage> {
    let watch = tracker.watch();
    let announcement = watch.borrow();
    announcement
        .as_ref()
        .map(|announcement| announcement.endpoint.stage)
}

#[test]
fn a_delayed_heartbeat_from_before_the_drain_does_not_make_the_server_ready() {
    let tracker = HeartbeatTracker::new(Millis(60_000));
    assert_eq!(
        tracker.record_heartbeat(report(Stage::Ready, 4)),
        Heard::New
    );
    assert_eq!(stage(&tracker), Some(Stage::Starting));
    assert_eq!(
        tracker.record_heartbeat(report(Stage::Draining, 6)),
        Heard::New
    );
    assert_eq!(
        tracker.record_heartbeat(report(Stage::Ready, 5)),
        Heard::Late
    );
    assert_eq!(stage(&tracker), Some(Stage::Draining));
    tracker.confirm_ready("s1");
    assert_eq!(
        stage(&tracker),
        Some(Stage::Draining),
        "a health check does not make a draining server ready again"
    );
}

#[test]
fn a_second_heartbeat_or_a_health_check_makes_the_server_ready() {
    let tracker = HeartbeatTracker::new(Millis(60_000));
    tracker.record_heartbeat(report(Stage::Ready, 4));
    tracker.record_heartbeat(report(Stage::Ready, 5));
    assert_eq!(stage(&tracker), Some(Stage::Ready));
    let tracker = HeartbeatTracker::new(Millis(60_000));
    tracker.record_heartbeat(report(Stage::Ready, 4));
    tracker.confirm_ready("another");
    assert_eq!(stage(&tracker), Some(Stage::Starting));
    tracker.confirm_ready("s1");
    assert_eq!(stage(&tracker), Some(Stage::Ready));
}
