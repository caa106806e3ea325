//! A node that has just started does not consider a server ready because of a delayed heartbeat,
//! which the server may have sent before it began to drain or deregistered.

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
            release: None,
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
fn a_health_check_of_the_same_server_makes_it_ready() {
    let tracker = HeartbeatTracker::new(Millis(60_000));
    tracker.record_heartbeat(report(Stage::Ready, 4));
    tracker.confirm_ready("another");
    assert_eq!(stage(&tracker), Some(Stage::Starting));
    tracker.confirm_ready("s1");
    assert_eq!(stage(&tracker), Some(Stage::Ready));
}

/// What a health check tells about the server: its id alone.
fn health_report() -> HeartbeatReport {
    HeartbeatReport {
        start: ProcessStart {
            server_id: Some("s1".into()),
            ..ProcessStart::default()
        },
        ..report(Stage::Ready, 0)
    }
}

fn departure(started_at_ms: Option<u64>) -> ProcessStart {
    ProcessStart {
        server_id: Some("s1".into()),
        started_at_ms,
        sequence: None,
        release: None,
    }
}

// Guards against orders that reach a server seconds after it has deregistered: the node knew it by
// a health check alone, and took the delayed heartbeat for that of a later process.
#[test]
fn a_delayed_heartbeat_does_not_bring_back_a_server_known_by_a_health_check_that_has_deregistered()
{
    for start in [Some(7), None] {
        let tracker = HeartbeatTracker::new(Millis(60_000));
        tracker.record_heartbeat(health_report());
        tracker.confirm_ready("s1");
        assert_eq!(stage(&tracker), Some(Stage::Ready));
        assert_eq!(tracker.record_departure(&departure(start)), Heard::New);
        tracker.record_heartbeat(report(Stage::Ready, 4));
        assert_eq!(stage(&tracker), Some(Stage::Gone), "start: {start:?}");
    }
}

// The same where no health check had succeeded: the departure was acknowledged and forgotten.
#[test]
fn delayed_heartbeats_do_not_bring_back_a_server_that_deregistered_before_the_first_of_them() {
    for start in [Some(7), None] {
        let tracker = HeartbeatTracker::new(Millis(60_000));
        tracker.record_departure(&departure(start));
        tracker.record_heartbeat(report(Stage::Ready, 4));
        tracker.record_heartbeat(report(Stage::Ready, 5));
        tracker.confirm_ready("s1");
        assert_ne!(stage(&tracker), Some(Stage::Ready), "start: {start:?}");
    }
}

// The same for the response of a health check that was sent before the server deregistered.
#[test]
fn a_health_check_from_before_the_departure_does_not_bring_the_server_back() {
    let tracker = HeartbeatTracker::new(Millis(60_000));
    tracker.record_departure(&departure(Some(7)));
    tracker.record_heartbeat(health_report());
    tracker.confirm_ready("s1");
    assert_ne!(stage(&tracker), Some(Stage::Ready));
}

// The same beside the next server, which the node knows by a health check alone.
#[test]
fn a_delayed_heartbeat_of_a_server_that_has_left_does_not_replace_its_successor() {
    let tracker = HeartbeatTracker::new(Millis(60_000));
    tracker.record_departure(&departure(Some(7)));
    let mut successor = health_report();
    successor.start.server_id = Some("s2".into());
    tracker.record_heartbeat(successor);
    tracker.confirm_ready("s2");
    assert_eq!(
        tracker.record_heartbeat(report(Stage::Ready, 4)),
        Heard::Late
    );
    let announced = tracker.watch().borrow().clone().unwrap();
    assert_eq!(announced.server_id.as_deref(), Some("s2"));
    assert_eq!(announced.endpoint.stage, Stage::Ready);
}

#[test]
fn a_later_process_under_the_same_id_becomes_ready() {
    let tracker = HeartbeatTracker::new(Millis(60_000));
    tracker.record_departure(&departure(Some(7)));
    let mut later = report(Stage::Ready, 1);
    later.start.started_at_ms = Some(8);
    assert_eq!(tracker.record_heartbeat(later), Heard::New);
    tracker.confirm_ready("s1");
    assert_eq!(stage(&tracker), Some(Stage::Ready));
}
