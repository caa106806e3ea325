//! One entry node with callers of two services, one of which is_hanging: the services share a
//! concurrency limit or have separate limits.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crank_engine::Moment;
use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
use crank_protocol::Millis;
use crank_protocol::config::Importance;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MICROS_PER_SECOND: u64 = 1_000_000;
const DURATION_SECONDS: u64 = 60;
const TIMEOUT: Millis = Millis(1_000);
const QUICK_MEAN_RUN_MICROS: f64 = 20_000.0;
const QUICK_REQUESTS_PER_SECOND: f64 = 100.0;
const HANGING_REQUESTS_PER_SECOND: f64 = 300.0;

/// Whether both services share a concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitScope {
    /// Both services share a limit of 256 requests.
    Shared,
    /// Each service has a limit of 108 requests, which is what its targets can run and queue.
    Apart,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrives { is_hanging: bool },
    RunEnds { id: u64 },
}

/// The results of the quick service.
#[derive(Debug, Default)]
pub(crate) struct QuickServiceResults {
    /// The number of requests that arrived.
    pub(crate) offered: u64,
    /// The number of requests that were answered in time.
    pub(crate) good: u64,
}

/// Simulates one minute.
pub(crate) fn run(scope: LimitScope, seed: u64) -> QuickServiceResults {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let capacity = |slots| Capacity { slots, queue: 12 };
    let mut limits = match scope {
        LimitScope::Shared => vec![ConcurrencyLimit::new(capacity(256))],
        LimitScope::Apart => vec![
            ConcurrencyLimit::new(capacity(108)),
            ConcurrencyLimit::new(capacity(108)),
        ],
    };
    let mut requests: Vec<(bool, u64)> = Vec::new();
    let mut events = BinaryHeap::new();
    let mut results = QuickServiceResults::default();
    for is_hanging in [false, true] {
        events.push(Reverse((0, Event::RequestArrives { is_hanging })));
    }
    while let Some(Reverse((now, event))) = events.pop() {
        if now > DURATION_SECONDS * MICROS_PER_SECOND {
            break;
        }
        let decisions = match event {
            Event::RequestArrives { is_hanging } => {
                let rate = if is_hanging {
                    HANGING_REQUESTS_PER_SECOND
                } else {
                    QUICK_REQUESTS_PER_SECOND
                };
                let gap = exponential(&mut rng, MICROS_PER_SECOND as f64 / rate);
                events.push(Reverse((now + gap, Event::RequestArrives { is_hanging })));
                let id = requests.len() as u64;
                requests.push((is_hanging, now));
                results.offered += u64::from(!is_hanging);
                let pending_request = PendingRequest {
                    id,
                    importance: Importance::Normal,
                    deadline: Moment(now).after(TIMEOUT),
                    depth: 0,
                    expected_run_time: None,
                    account: None,
                };
                limits[limit_index(scope, is_hanging)].admit(Moment(now), pending_request)
            }
            Event::RunEnds { id } => {
                let (is_hanging, _) = requests[id as usize];
                results.good += u64::from(!is_hanging);
                limits[limit_index(scope, is_hanging)].finish(Moment(now), id)
            }
        };
        for decision in decisions {
            if let Decision::Run { id } = decision {
                let (is_hanging, started) = requests[id as usize];
                let end = if is_hanging {
                    Moment(started).after(TIMEOUT).0
                } else {
                    now + exponential(&mut rng, QUICK_MEAN_RUN_MICROS)
                };
                events.push(Reverse((end.max(now), Event::RunEnds { id })));
            }
        }
    }
    results
}

fn limit_index(scope: LimitScope, is_hanging: bool) -> usize {
    match scope {
        LimitScope::Shared => 0,
        LimitScope::Apart => usize::from(is_hanging),
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    let draw: f64 = rng.random();
    (-(1.0 - draw).ln() * mean) as u64
}
