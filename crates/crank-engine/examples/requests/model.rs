//! The parts of the simulation: events, requests, attempts, servers and entry nodes.

use crank_engine::admission::Admission;
use crank_engine::balance::TargetPool;
use crank_engine::ewma::SteadyMean;
use crank_engine::retry::RetryBudget;
use crank_engine::slowdown::Slowdown;
use crank_protocol::call::{Load, Refusal};
use crank_protocol::config::{Importance, Service};
use crank_protocol::member::{Endpoint, Member, Place, Stage, State};
use crank_protocol::{Millis, Name, Permille};

use crate::placement::Notes;
use crate::setup::Setup;

const SECOND: u64 = 1_000_000;

/// An event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    RequestArrives {
        entry: usize,
    },
    RequestReturns {
        request: usize,
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
    pub(crate) slowdown: Option<Permille>,
}

impl ReportedLoad {
    pub(crate) fn new(load: Load) -> Self {
        let Load {
            running,
            waiting,
            slots,
            slowdown,
        } = load;
        Self {
            running,
            waiting,
            slots,
            slowdown,
        }
    }

    pub(crate) fn into_load(self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting,
            slots: self.slots,
            slowdown: self.slowdown,
        }
    }
}

pub(crate) struct Request {
    pub(crate) entry: usize,
    pub(crate) started: u64,
    /// When the caller sent it for the first time.
    pub(crate) first_started: u64,
    /// How often the caller sent it again.
    pub(crate) returns: u32,
    pub(crate) deadline: u64,
    pub(crate) tried: Vec<Name>,
    /// The targets that were asked for a free slot and had none.
    pub(crate) full: Vec<Name>,
    /// Whether a server has started to run it.
    pub(crate) has_started: bool,
    pub(crate) is_finished: bool,
    pub(crate) open_attempt: Option<usize>,
}

pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) server: usize,
    pub(crate) started: u64,
    pub(crate) run_started: u64,
    pub(crate) expected_run_time: Option<Millis>,
    pub(crate) may_queue: bool,
    pub(crate) is_running: bool,
}

pub(crate) struct Server {
    pub(crate) id: Name,
    pub(crate) place: Place,
    pub(crate) admission: Admission,
    pub(crate) slowdown: Slowdown,
}

pub(crate) struct Entry {
    pub(crate) place: Place,
    pub(crate) pool: TargetPool,
    pub(crate) budget: RetryBudget,
    pub(crate) run_time: SteadyMean,
    pub(crate) notes: Notes,
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
    crate::setup::name(&format!("{kind}-{number}"))
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
            service: crate::setup::name("service"),
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
