//! Once a node has acknowledged that a server leaves, neither it nor the node process that follows
//! it considers the server ready, in whatever order and however late its messages arrive.

#![allow(clippy::unwrap_used)]

use crank_engine::Moment;
use crank_engine::registration::{Heard, MAX_HEARTBEAT_DELAY, Registration};
use crank_protocol::heartbeat::{HeartbeatReport, ProcessStart};
use crank_protocol::member::Stage;
use crank_protocol::{Millis, Name};
use proptest::prelude::*;

const MICROS_PER_MILLI: u64 = 1_000;
const INTERVAL_MS: u64 = 1_500;
const HEARTBEAT_TIMEOUT: Millis = Millis(4 * INTERVAL_MS);
const STARTED_AT_MS: u64 = 1_796_000_000_000;

fn at(millis: u64) -> Moment {
    Moment(millis * MICROS_PER_MILLI)
}

fn start(sequence: Option<u64>) -> ProcessStart {
    ProcessStart {
        server_id: Some("s1".into()),
        started_at_ms: Some(STARTED_AT_MS),
        sequence,
        release: None,
    }
}

fn report(stage: Stage, sequence: u64) -> HeartbeatReport {
    HeartbeatReport {
        service: Name::new("recipes").unwrap(),
        stage,
        slots: 6,
        address: ([127, 0, 0, 1], 8_080).into(),
        start: start(Some(sequence)),
    }
}

fn stage(registration: &Registration, now: Moment) -> Option<Stage> {
    let announcement = registration.announcement(now);
    announcement.map(|announcement| announcement.endpoint.stage)
}

#[test]
fn a_second_heartbeat_makes_the_server_ready_once_it_cannot_be_older_than_the_node() {
    let mut registration = Registration::new(HEARTBEAT_TIMEOUT, at(0));
    let last_doubtful = at(MAX_HEARTBEAT_DELAY.0);
    registration.record_heartbeat(report(Stage::Ready, 4), at(100));
    registration.record_heartbeat(report(Stage::Ready, 5), last_doubtful);
    assert_eq!(stage(&registration, last_doubtful), Some(Stage::Starting));
    let first_certain = at(MAX_HEARTBEAT_DELAY.0 + 1);
    registration.record_heartbeat(report(Stage::Ready, 6), first_certain);
    assert_eq!(stage(&registration, first_certain), Some(Stage::Ready));
}

#[test]
fn the_first_heartbeat_alone_never_makes_the_server_ready() {
    let mut registration = Registration::new(HEARTBEAT_TIMEOUT, at(0));
    let late = at(10 * MAX_HEARTBEAT_DELAY.0);
    assert_eq!(
        registration.record_heartbeat(report(Stage::Ready, 4), late),
        Heard::New
    );
    assert_eq!(stage(&registration, late), Some(Stage::Starting));
}

// Guards against two delayed heartbeats after a restart that confirm each other, though the server
// had told the node process before that it leaves.
#[test]
fn two_delayed_heartbeats_do_not_confirm_each_other_after_a_restart() {
    let mut registration = Registration::new(HEARTBEAT_TIMEOUT, at(0));
    registration.record_heartbeat(report(Stage::Ready, 4), at(1_000));
    registration.record_heartbeat(report(Stage::Ready, 5), at(2_500));
    assert_eq!(stage(&registration, at(2_500)), Some(Stage::Starting));
}

#[test]
fn a_departure_without_a_start_covers_the_processes_started_until_then() {
    let mut registration = Registration::new(HEARTBEAT_TIMEOUT, at(0));
    let unnamed = ProcessStart {
        started_at_ms: None,
        ..start(None)
    };
    registration.record_departure(&unnamed, STARTED_AT_MS + 1);
    let mut later = report(Stage::Ready, 1);
    assert_eq!(
        registration.record_heartbeat(later.clone(), at(1)),
        Heard::Late
    );
    later.start.started_at_ms = Some(STARTED_AT_MS + 2);
    assert_eq!(registration.record_heartbeat(later, at(2)), Heard::New);
}

#[test]
fn the_departure_of_an_earlier_process_does_not_end_a_later_one() {
    let mut registration = Registration::new(HEARTBEAT_TIMEOUT, at(0));
    registration.record_heartbeat(report(Stage::Ready, 1), at(1));
    registration.confirm_ready("s1");
    let earlier = ProcessStart {
        started_at_ms: Some(STARTED_AT_MS - 1),
        ..start(None)
    };
    registration.record_departure(&earlier, STARTED_AT_MS + 9);
    assert_eq!(stage(&registration, at(2)), Some(Stage::Ready));
}

/// What a server says, and when it arrives at its node.
#[derive(Debug, Clone, Copy)]
enum Message {
    Heartbeat(Stage, u64),
    Departure,
}

/// How a server leaves: it says that it drains, and goes on with heartbeats, or deregisters at once.
#[derive(Debug, Clone, Copy)]
enum Leave {
    Drain,
    Deregister,
}

#[derive(Debug, Clone)]
struct Plan {
    leave: Leave,
    /// The heartbeat after which the server leaves.
    last_ready: u64,
    /// How long each message is on its way, in milliseconds.
    delays: Vec<u64>,
    /// When the node is restarted, in milliseconds.
    restart: u64,
    /// How long the server takes to answer the health check of the new node process.
    health_check: u64,
}

impl Plan {
    /// Returns the messages in the order of their arrival.
    fn arrivals(&self) -> Vec<(u64, Message)> {
        let ready = 1..=self.last_ready;
        let mut sent: Vec<_> = ready
            .map(|sequence| Message::Heartbeat(Stage::Ready, sequence))
            .collect();
        match self.leave {
            Leave::Drain => sent.extend(
                (self.last_ready + 1..self.last_ready + 4)
                    .map(|sequence| Message::Heartbeat(Stage::Draining, sequence)),
            ),
            Leave::Deregister => sent.push(Message::Departure),
        }
        let mut arrivals: Vec<_> = sent
            .into_iter()
            .zip(&self.delays)
            .enumerate()
            .map(|(number, (message, delay))| (number as u64 * INTERVAL_MS + delay, message))
            .collect();
        arrivals.sort_by_key(|(arrival, _)| *arrival);
        arrivals
    }

    fn leaves_at(&self) -> u64 {
        self.last_ready * INTERVAL_MS
    }
}

fn plans() -> impl Strategy<Value = Plan> {
    let leave = prop_oneof![Just(Leave::Drain), Just(Leave::Deregister)];
    let delay = prop_oneof![Just(0), 0..MAX_HEARTBEAT_DELAY.0];
    (
        leave,
        2..6_u64,
        prop::collection::vec(delay, 9),
        0..12_000_u64,
        0..500_u64,
    )
        .prop_map(|(leave, last_ready, delays, restart, health_check)| Plan {
            leave,
            last_ready,
            delays,
            restart,
            health_check,
        })
}

fn hear(registration: &mut Registration, message: Message, now: u64) -> bool {
    match message {
        Message::Heartbeat(stage, sequence) => {
            registration.record_heartbeat(report(stage, sequence), at(now));
            stage == Stage::Draining
        }
        Message::Departure => {
            registration.record_departure(&start(None), STARTED_AT_MS + now);
            true
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_late_messages_makes_a_server_ready_after_its_leaving_was_acknowledged(
        plan in plans(),
    ) {
        let mut registration = Registration::new(HEARTBEAT_TIMEOUT, at(0));
        let mut is_acknowledged = false;
        let mut has_restarted = false;
        for (now, message) in plan.arrivals() {
            if !has_restarted && now >= plan.restart {
                registration = Registration::new(HEARTBEAT_TIMEOUT, at(plan.restart));
                has_restarted = true;
                // A server that leaves fails the health check.
                if plan.restart + plan.health_check < plan.leaves_at() {
                    let found = HeartbeatReport {
                        start: ProcessStart { started_at_ms: None, ..start(None) },
                        ..report(Stage::Ready, 0)
                    };
                    registration.record_heartbeat(found, at(plan.restart));
                    registration.confirm_ready("s1");
                }
            }
            is_acknowledged |= hear(&mut registration, message, now);
            if is_acknowledged {
                prop_assert_ne!(stage(&registration, at(now)), Some(Stage::Ready));
            }
        }
    }
}
