//! What is simulated, and what came of it.

use crank_protocol::member::Place;
use crank_protocol::{Millis, Permille};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Chooser {
    /// Any, with equal chance.
    Random,
    /// As the engine does.
    Engine,
}

/// What a target's node does with more than its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Queueing {
    /// Queues everything, in order of arrival.
    Endless,
    /// As the engine does.
    Engine,
}

/// What is wrong with a server for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// It takes this many times as long.
    Slow(f64),
    /// It is not there; attempts fail at once.
    Dead,
    /// It takes requests and never answers.
    Silent,
    /// It joins at the start, takes this many times as long, and gets better until the end.
    Cold(f64),
}

/// A fault of one server from a time until another, in seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trouble {
    /// The server's number.
    pub(crate) server: usize,
    /// What is wrong.
    pub(crate) fault: Fault,
    /// Since when.
    pub(crate) from: f64,
    /// Until when.
    pub(crate) until: f64,
}

/// What is simulated.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    /// Where the entry nodes stand.
    pub(crate) entries: Vec<Place>,
    /// Where the servers stand.
    pub(crate) servers: Vec<Place>,
    /// Slots of a server.
    pub(crate) slots: u32,
    /// Queue of a server.
    pub(crate) queue: u32,
    /// Mean service time in milliseconds (exponential).
    pub(crate) mean: f64,
    /// Time limit of a request.
    pub(crate) timeout: Millis,
    /// Arrivals as a share of the capacity of all servers.
    pub(crate) load: f64,
    /// Length in seconds; the first quarter is not counted.
    pub(crate) seconds: f64,
    /// The choice of a target.
    pub(crate) chooser: Chooser,
    /// The queue at the target.
    pub(crate) queueing: Queueing,
    /// Whether failures and latencies are told to the pool.
    pub(crate) ejection: bool,
    /// The share of retries.
    pub(crate) retry_budget: Permille,
    /// Gentle start.
    pub(crate) warm_up: Millis,
    /// Faults.
    pub(crate) troubles: Vec<Trouble>,
    /// The seed.
    pub(crate) seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Figures {
    /// Requests that came in.
    pub(crate) offered: u64,
    /// Latencies of those answered in time, in microseconds, sorted.
    pub(crate) latencies: Vec<u64>,
    /// Requests refused as not run.
    pub(crate) refused: u64,
    /// Requests whose fate is unknown.
    pub(crate) unknown: u64,
    /// Attempts.
    pub(crate) attempts: u64,
    /// Attempts at targets in another region.
    pub(crate) far: u64,
    /// The capacity of all servers over the counted time, in requests.
    pub(crate) capacity: f64,
}

impl Figures {
    /// A quantile of the latencies in milliseconds.
    pub(crate) fn quantile(&self, share: f64) -> f64 {
        let index = (self.latencies.len() as f64 * share) as usize;
        let micros = self
            .latencies
            .get(index.min(self.latencies.len().saturating_sub(1)));
        micros.copied().unwrap_or(0) as f64 / MICROS_PER_MILLI
    }
}
