//! A backend server that states how many requests a second it takes gets no more than that from all
//! nodes together, whatever arrives at the node beside it, and also if that node restarts.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::collections::BTreeMap;

use crank_engine::Moment;
use crank_engine::admission::Admission;
use crank_engine::limit::{Capacity, Decision, PendingRequest};
use crank_engine::registration::Registration;
use crank_protocol::call::Refusal;
use crank_protocol::heartbeat::{HeartbeatReport, ProcessStart, StatedLimit, Statement};
use crank_protocol::member::Stage;
use crank_protocol::{Millis, Name, RequestRate};
use proptest::prelude::*;

const TICK_MICROS: u64 = 5_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// The span in which requests are counted, in seconds.
const WINDOW: u64 = 4;
const CAPACITY: Capacity = Capacity {
    slots: 9,
    queue: 27,
};
/// How long the server that is simulated runs a request.
const RUN_MICROS: u64 = 120_000;
/// How long a node needs until it serves again after a restart.
const RESTART_MICROS: u64 = 1_000_000;

/// Returns how many requests a server with this limit may get within [`WINDOW`].
fn allowed(rate: RequestRate) -> usize {
    (rate.0 as f64 / 1_000.0 * WINDOW as f64 * 1.5 + 5.0) as usize
}

fn request(id: u64, deadline: Moment, depth: u32) -> PendingRequest {
    PendingRequest {
        id,
        importance: Default::default(),
        deadline,
        depth,
        expected_run_time: Some(Millis(RUN_MICROS / 1_000)),
        account: None,
    }
}

fn admission() -> Admission {
    let mut admission = Admission::new(CAPACITY);
    admission.set_stage(Moment(0), Stage::Ready, Millis(1));
    admission
}

/// A server beside its node, and when requests started there.
struct Server {
    admission: Admission,
    stated: Option<RequestRate>,
    running: BTreeMap<u64, u64>,
    starts: Vec<u64>,
    next_id: u64,
}

impl Server {
    fn new(stated: Option<RequestRate>) -> Self {
        Self {
            admission: admission(),
            stated,
            running: BTreeMap::new(),
            starts: Vec::new(),
            next_id: 0,
        }
    }

    fn apply(&mut self, now: u64, decisions: Vec<Decision>) {
        for decision in decisions {
            if let Decision::Run { id } = decision {
                self.starts.push(now);
                self.running.insert(id, now + RUN_MICROS);
            }
        }
    }

    fn arrive(&mut self, now: u64, may_wait: bool) {
        self.next_id += 1;
        let pending = request(
            self.next_id,
            Moment(now + MICROS_PER_SECOND),
            self.next_id as u32 % 2,
        );
        let decisions = if may_wait {
            self.admission.admit(Moment(now), pending)
        } else {
            self.admission.admit_without_wait(Moment(now), pending)
        };
        self.apply(now, decisions);
    }

    /// Ends the requests that are done; each answer states the limit.
    fn finish_done(&mut self, now: u64) {
        let done: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            self.running.remove(&id);
            let decisions = self.admission.set_rate(Moment(now), self.stated);
            self.apply(now, decisions);
            let decisions = self.admission.finish(Moment(now), id);
            self.apply(now, decisions);
        }
        let decisions = self.admission.start_due(Moment(now));
        self.apply(now, decisions);
    }

    /// The node starts anew and knows the limit only if its health check tells it.
    fn restart(&mut self, now: u64, health_check_states: bool) {
        self.admission = admission();
        self.running.clear();
        if health_check_states {
            self.admission.set_rate(Moment(now), self.stated);
        }
    }

    fn most_starts(&self, from: u64) -> usize {
        let since: Vec<u64> = self
            .starts
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let within = |start: &u64| {
            let end = start + WINDOW * MICROS_PER_SECOND;
            since
                .iter()
                .filter(|at| (*start..end).contains(*at))
                .count()
        };
        since.iter().map(within).max().unwrap_or(0)
    }
}

/// Plays 12 s of requests; returns the server.
fn play(server: Server, arrivals: &[u8], restart: Option<(u64, bool)>) -> Server {
    let mut server = server;
    let mut down_until = 0;
    for (tick, count) in arrivals.iter().enumerate() {
        let now = tick as u64 * TICK_MICROS;
        if let Some((at, health_check_states)) = restart
            && at == tick as u64
        {
            down_until = now + RESTART_MICROS;
            server.restart(down_until, health_check_states);
        }
        if now < down_until {
            continue;
        }
        server.finish_done(now);
        for number in 0..*count {
            server.arrive(now, number % 2 == 0);
        }
    }
    server
}

const TICKS: usize = 2_400;

// The load of the incident: 40 requests a second at a server that takes 13.6. The decision by slots
// alone lets them all pass.
#[test]
fn a_server_that_states_a_limit_gets_what_it_takes_and_no_more() {
    let rate = RequestRate(13_600);
    let arrivals: Vec<u8> = (0..TICKS).map(|tick| u8::from(tick % 5 == 0)).collect();
    let before = play(Server::new(None), &arrivals, None);
    assert!(before.most_starts(0) > 150, "{}", before.most_starts(0));
    let after = play(Server::new(Some(rate)), &arrivals, None);
    let most = after.most_starts(0);
    assert!(most <= allowed(rate), "{most} of {}", allowed(rate));
    let usable = 13.6 * 11.0;
    assert!(after.starts.len() as f64 > usable, "{}", after.starts.len());
}

proptest! {
    #[test]
    fn no_pattern_of_requests_exceeds_the_limit(
        arrivals in proptest::collection::vec(0_u8..4, TICKS),
        rate in 0_u64..60_000,
    ) {
        let rate = RequestRate(rate);
        let server = play(Server::new(Some(rate)), &arrivals, None);
        prop_assert!(server.most_starts(0) <= allowed(rate).max(CAPACITY.slots as usize));
        // The first requests run before any answer: the rule binds some time after the first one.
        prop_assert!(server.most_starts(3 * MICROS_PER_SECOND) <= allowed(rate));
    }

    #[test]
    fn a_restart_of_the_node_does_not_exceed_the_limit(
        arrivals in proptest::collection::vec(0_u8..4, TICKS),
        rate in 0_u64..60_000,
        restart in 1_000_u64..2_000,
    ) {
        let rate = RequestRate(rate);
        let server = play(Server::new(Some(rate)), &arrivals, Some((restart, true)));
        prop_assert!(server.most_starts(3 * MICROS_PER_SECOND) <= allowed(rate));
    }

    // Where health checks state no limit, the slots of the server may start before its first answer.
    #[test]
    fn a_restart_without_news_of_the_limit_adds_one_round_of_slots(
        arrivals in proptest::collection::vec(0_u8..4, TICKS),
        rate in 0_u64..60_000,
        restart in 1_000_u64..2_000,
    ) {
        let rate = RequestRate(rate);
        let server = play(Server::new(Some(rate)), &arrivals, Some((restart, false)));
        let slots = CAPACITY.slots as usize;
        prop_assert!(server.most_starts(3 * MICROS_PER_SECOND) <= allowed(rate) + slots);
        if rate >= RequestRate(4_000) {
            prop_assert!(server.most_starts(3 * MICROS_PER_SECOND) <= allowed(rate));
        }
    }
}

#[test]
fn a_request_waits_only_if_its_turn_comes_before_its_deadline() {
    let mut admission = admission();
    admission.set_rate(Moment(0), Some(RequestRate(1_000)));
    let run = vec![Decision::Run { id: 1 }];
    assert_eq!(
        admission.admit(Moment(0), request(1, Moment(9_000_000), 0)),
        run
    );
    assert_eq!(admission.finish(Moment(1_000), 1), []);
    let soon = admission.admit(Moment(1_000), request(2, Moment(300_000), 0));
    let [
        Decision::Refuse {
            id: 2,
            refusal: Refusal::Overloaded { retry_after },
        },
    ] = soon[..]
    else {
        panic!("{soon:?}");
    };
    assert!(retry_after >= Millis(700), "{retry_after:?}");
    assert_eq!(
        admission.admit(Moment(1_000), request(3, Moment(2_000_000), 1)),
        []
    );
    let due = admission.next_start(Moment(1_000)).unwrap();
    assert_eq!(due, Moment(750_000));
    assert_eq!(admission.start_due(due), [Decision::Run { id: 3 }]);
}

#[test]
fn a_target_without_allowance_reports_its_slots_as_taken() {
    let mut admission = admission();
    admission.set_rate(Moment(0), Some(RequestRate(1_000)));
    admission.admit(Moment(0), request(1, Moment(9_000_000), 0));
    admission.finish(Moment(1_000), 1);
    let load = admission.reported_load(Moment(1_000));
    assert_eq!((load.running, load.slots), (9, 9));
    admission.set_rate(Moment(1_000), None);
    assert_eq!(admission.reported_load(Moment(1_000)).running, 0);
}

fn heartbeat(stage: Stage, sequence: u64, started_at_ms: Option<u64>) -> HeartbeatReport {
    HeartbeatReport {
        service: Name::new("recipes").unwrap(),
        stage,
        slots: 6,
        address: ([127, 0, 0, 1], 8_080).into(),
        start: ProcessStart {
            server_id: Some("s1".into()),
            started_at_ms,
            sequence: Some(sequence),
            release: None,
        },
    }
}

fn registration() -> Registration {
    let mut registration = Registration::new(Millis(6_000), Moment(0));
    registration.record_heartbeat(heartbeat(Stage::Ready, 1, Some(7)), Moment(1));
    registration.confirm_ready("s1");
    registration
}

fn limited(rate: u64) -> Statement {
    Statement {
        limit: StatedLimit::Limited(RequestRate(rate)),
        is_leaving: false,
    }
}

const UNLIMITED: Statement = Statement {
    limit: StatedLimit::Unlimited,
    is_leaving: false,
};
const LEAVING: Statement = Statement {
    limit: StatedLimit::Unknown,
    is_leaving: true,
};

// An answer that was on its way before the limit was stated says nothing of now.
#[test]
fn an_answer_that_was_overtaken_does_not_end_the_limit() {
    let mut registration = registration();
    registration.record_statement(Moment(50), Moment(40), Some("s1"), limited(9), 9);
    registration.record_statement(Moment(60), Moment(45), Some("s1"), UNLIMITED, 9);
    assert_eq!(registration.stated_rate(), Some(RequestRate(9)));
    registration.record_statement(Moment(70), Moment(51), Some("s1"), UNLIMITED, 9);
    assert_eq!(registration.stated_rate(), None);
}

#[test]
fn an_answer_without_news_leaves_the_limit_as_it_is() {
    let mut registration = registration();
    registration.record_statement(Moment(50), Moment(40), Some("s1"), limited(9), 9);
    let unknown = Statement::default();
    registration.record_statement(Moment(70), Moment(60), Some("s1"), unknown, 9);
    assert_eq!(registration.stated_rate(), Some(RequestRate(9)));
}

#[test]
fn what_another_server_states_is_ignored() {
    let mut registration = registration();
    registration.record_statement(Moment(50), Moment(40), Some("s2"), limited(9), 9);
    registration.record_statement(Moment(50), Moment(40), Some("s2"), LEAVING, 9);
    assert_eq!(registration.stated_rate(), None);
    let stage = registration
        .announcement(Moment(60))
        .unwrap()
        .endpoint
        .stage;
    assert_eq!(stage, Stage::Ready);
}

// A late heartbeat must not bring a server back that has said in an answer that it leaves, even if
// the node knew the server by a health check alone.
#[test]
fn a_server_that_states_that_it_leaves_is_not_ready_again() {
    for started_at_ms in [Some(7), None] {
        let mut registration = Registration::new(Millis(6_000), Moment(0));
        registration.record_heartbeat(heartbeat(Stage::Ready, 1, started_at_ms), Moment(1));
        registration.confirm_ready("s1");
        registration.record_statement(Moment(50), Moment(40), Some("s1"), LEAVING, 9);
        for (sequence, start) in [(2, started_at_ms), (3, Some(7))] {
            registration.record_heartbeat(heartbeat(Stage::Ready, sequence, start), Moment(60));
            let stage = registration
                .announcement(Moment(60))
                .unwrap()
                .endpoint
                .stage;
            assert_eq!(stage, Stage::Draining, "{started_at_ms:?}");
        }
    }
}

#[test]
fn the_next_process_under_the_same_id_is_ready_again() {
    let mut registration = registration();
    registration.record_statement(Moment(50), Moment(40), Some("s1"), LEAVING, 9);
    registration.record_heartbeat(heartbeat(Stage::Ready, 1, Some(8)), Moment(60));
    registration.confirm_ready("s1");
    let stage = registration
        .announcement(Moment(60))
        .unwrap()
        .endpoint
        .stage;
    assert_eq!(stage, Stage::Ready);
}
