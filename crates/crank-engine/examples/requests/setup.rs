//! The setup and the results of a simulation.

use crank_protocol::member::Place;
use crank_protocol::{Millis, Name, Permille};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// How an entry node chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetChoice {
    /// A random target, all with equal probability.
    Random,
    /// The target that the engine chooses.
    Engine,
    /// The target that the engine chooses if no target tells its slowdown: slots count the same on
    /// every server.
    EngineBySlots,
    /// Join-idle-queue: a server whose slot becomes free tells one random entry of its data centre,
    /// which uses that slot for its next request. Without such a slot, as `EngineBySlots`.
    JoinIdleQueue,
    /// Late binding: the request waits at two targets, and the first with a free slot runs it.
    LateBinding,
    /// The hot and cold rule of Prequal on the load that answers carry: of three targets, the one
    /// with the lowest latency among those with few requests, or else the least loaded.
    HotCold,
}

/// What a target node does with requests when all slots are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Queueing {
    /// It queues all requests in order of arrival, without a limit.
    Endless,
    /// It queues or refuses requests as the engine decides.
    Engine,
}

/// How the speed of servers differs and changes.
#[derive(Debug, Clone, PartialEq, Default)]
pub(crate) struct Unevenness {
    /// The speeds of the servers, repeated; empty if all are equal.
    pub(crate) speeds: Vec<f64>,
    /// The share of the time in which a server is slowed down by other work on its machine.
    pub(crate) noise_share: f64,
    /// How many times as long work takes then.
    pub(crate) noise_factor: f64,
    /// How far the load of a data centre swings around its mean over 15 s, as a share.
    pub(crate) swing: f64,
    /// How far apart in time the data centres' peaks lie, as a share of the period.
    pub(crate) phase_spread: f64,
}

/// A temporary fault of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// The server needs this many times the usual run time.
    Slow(f64),
    /// The server is down; attempts fail at once.
    Dead,
    /// The server accepts requests and never answers.
    Silent,
    /// The server joins at the start of the fault and needs this many times the usual run time,
    /// which falls to the usual run time until the end of the fault.
    Cold(f64),
}

/// A fault of one server during a time window, in seconds since the start of the simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultWindow {
    /// The index of the server.
    pub(crate) server: usize,
    /// The kind of the fault.
    pub(crate) fault: Fault,
    /// The start of the fault.
    pub(crate) from: f64,
    /// The end of the fault.
    pub(crate) until: f64,
}

/// More demand than usual at the start of a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Surge {
    /// The demand until the end of the surge, as a share of the usual.
    pub(crate) factor: f64,
    /// The end of the surge, in seconds since the start of the simulation.
    pub(crate) until: f64,
}

/// What callers do whose requests fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Returns {
    /// How often a caller sends a request again.
    pub(crate) most: u32,
    /// The time after which it does.
    pub(crate) pause: Millis,
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    /// The places of the entry nodes.
    pub(crate) entries: Vec<Place>,
    /// The places of the servers.
    pub(crate) servers: Vec<Place>,
    /// The number of slots of each server.
    pub(crate) slots: u32,
    /// The length of each server's queue.
    pub(crate) queue: u32,
    /// The mean of the exponentially distributed run time, in milliseconds.
    pub(crate) mean: f64,
    /// The time limit of a request.
    pub(crate) timeout: Millis,
    /// The request rate as a share of the capacity of all servers.
    pub(crate) load: f64,
    /// The duration in seconds; requests of the first quarter are not counted.
    pub(crate) seconds: f64,
    /// How entry nodes choose targets.
    pub(crate) target_choice: TargetChoice,
    /// How target nodes queue requests.
    pub(crate) queueing: Queueing,
    /// Whether failures and latencies are reported to the target pool, so that it ejects targets.
    pub(crate) ejection: bool,
    /// The share of requests that may be retried.
    pub(crate) retry_budget: Permille,
    /// The duration of a new target's slow start.
    pub(crate) warm_up: Millis,
    /// How servers and demand are uneven.
    pub(crate) unevenness: Unevenness,
    /// The time within which a request is served as callers expect it.
    pub(crate) objective: Millis,
    /// How many targets a request asks for a free slot before it queues at one.
    pub(crate) probes: usize,
    /// The surge that occurs, if any.
    pub(crate) surge: Option<Surge>,
    /// What callers do whose requests fail.
    pub(crate) returns: Returns,
    /// The faults that occur.
    pub(crate) fault_windows: Vec<FaultWindow>,
    /// The seed of the random number generator.
    pub(crate) seed: u64,
}

/// The results of a simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Results {
    /// The number of requests that were served within the objective.
    pub(crate) in_objective: u64,
    /// The time, in slot-microseconds, that slots were free while requests waited elsewhere.
    pub(crate) idle_while_queued: f64,
    /// The time, in microseconds, that requests waited in queues of servers.
    pub(crate) queued: f64,
    /// The messages between nodes.
    pub(crate) messages: u64,
    /// The number of requests that arrived.
    pub(crate) offered: u64,
    /// The sorted latencies in microseconds of the requests that were answered in time.
    pub(crate) latencies: Vec<u64>,
    /// The number of requests that were refused and not run.
    pub(crate) refused: u64,
    /// The number of requests with an unknown outcome.
    pub(crate) unknown: u64,
    /// The number of attempts.
    pub(crate) attempts: u64,
    /// The number of attempts at targets in another region.
    pub(crate) far: u64,
    /// The number of requests that all servers could run in the counted time.
    pub(crate) capacity: f64,
}

impl Results {
    /// Returns a quantile of the latencies in milliseconds.
    pub(crate) fn quantile(&self, share: f64) -> f64 {
        let index = (self.latencies.len() as f64 * share) as usize;
        let micros = self
            .latencies
            .get(index.min(self.latencies.len().saturating_sub(1)));
        micros.copied().unwrap_or(0) as f64 / MICROS_PER_MILLI
    }
}

/// Returns a valid name.
pub(crate) fn name(text: &str) -> Name {
    match Name::new(text) {
        Ok(name) => name,
        Err(error) => unreachable!("{error}"),
    }
}

/// Returns a place in one of several regions.
pub(crate) fn place(region: usize, data_centre: usize) -> Place {
    Place {
        region: name(&format!("region-{region}")),
        data_centre: name(&format!("centre-{region}-{data_centre}")),
    }
}

/// Returns three regions with two data centres each.
pub(crate) fn six_places() -> Vec<Place> {
    (0..6).map(|number| place(number / 2, number % 2)).collect()
}

/// Returns the base setup of one service: 6 servers with 6 slots each, and 18 entry nodes.
pub(crate) fn base_setup() -> Setup {
    let entries = six_places().into_iter().cycle().take(18).collect();
    Setup {
        entries,
        servers: six_places(),
        slots: 6,
        queue: 12,
        mean: 20.0,
        timeout: Millis(1_000),
        load: 0.7,
        seconds: 60.0,
        target_choice: TargetChoice::Engine,
        queueing: Queueing::Engine,
        ejection: true,
        retry_budget: Permille(200),
        warm_up: Millis(10_000),
        surge: None,
        returns: Returns {
            most: 0,
            pause: Millis(0),
        },
        fault_windows: Vec::new(),
        unevenness: Unevenness::default(),
        objective: Millis(1_000),
        probes: 0,
        seed: 1,
    }
}
