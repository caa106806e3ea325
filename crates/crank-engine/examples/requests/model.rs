//! The parts of the simulation: events, requests, attempts, servers and entry nodes.

use crank_engine::admission::Admission;
use crank_engine::balance::TargetPool;
use crank_engine::retry::RetryBudget;
use crank_protocol::call::Refusal;
use crank_protocol::config::{Importance, Service};
use crank_protocol::member::{Endpoint, Member, Place, Stage, State};
use crank_protocol::{Millis, Name};

use crate::setup::Setup;

const SECOND: u64 = 1_000_000;

/// An event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    RequestArrives {
        entry: usize,
    },
    AttemptArrives {
        attempt: usize,
    },
    RunEnds {
        attempt: usize,
    },
    Response {
        attempt: usize,
        reply: Reply,
        load: Option<ReportedLoad>,
    },
    DeadlinePasses {
        request: usize,
    },
    MembersChange,
}

/// The reply to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reply {
    Answered,
    Full,
    TooLate,
    Unreachable,
}

/// The load that a server reports with a reply; unlike the protocol's `Load` it has an order, which
/// events need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReportedLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
}

pub(crate) struct Request {
    pub(crate) entry: usize,
    pub(crate) started: u64,
    pub(crate) deadline: u64,
    pub(crate) tried: Vec<Name>,
    pub(crate) is_finished: bool,
    pub(crate) open_attempt: Option<usize>,
}

pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) server: usize,
    pub(crate) started: u64,
    pub(crate) is_running: bool,
}

pub(crate) struct Server {
    pub(crate) id: Name,
    pub(crate) place: Place,
    pub(crate) admission: Admission,
}

pub(crate) struct Entry {
    pub(crate) place: Place,
    pub(crate) pool: TargetPool,
    pub(crate) budget: RetryBudget,
}

pub(crate) fn overload_refusal() -> Refusal {
    Refusal::Overloaded {
        retry_after: Millis(10),
    }
}

pub(crate) fn micros(seconds: f64) -> u64 {
    (seconds * SECOND as f64) as u64
}

pub(crate) fn numbered_name(kind: &str, number: usize) -> Name {
    crate::name(&format!("{kind}-{number}"))
}

pub(crate) fn member(server: &Server, slots: u32) -> Member {
    Member {
        id: server.id.clone(),
        place: server.place.clone(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        link: 0,
        state: State::Alive,
        endpoint: Some(Endpoint {
            service: crate::name("service"),
            stage: Stage::Ready,
            slots,
            release: None,
        }),
    }
}

pub(crate) fn service(setup: &Setup) -> Service {
    Service {
        slots: setup.slots,
        connections: 110,
        queue: setup.queue,
        timeout: setup.timeout,
        retry_budget: setup.retry_budget,
        importance: Importance::Normal,
        warm_up: setup.warm_up,
        drain_grace: Millis(10_000),
        objective: None,
        health: None,
    }
}
