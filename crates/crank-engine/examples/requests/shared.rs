//! One entry with callers of two services, one of which hangs: places shared or kept apart.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crank_engine::Moment;
use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
use crank_protocol::Millis;
use crank_protocol::config::Importance;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: u64 = 1_000_000;
const SECONDS: u64 = 60;
const TIMEOUT: Millis = Millis(1_000);
const QUICK_MEAN_MICROS: f64 = 20_000.0;
const QUICK_RATE: f64 = 100.0;
const HANGING_RATE: f64 = 300.0;

/// Whose places the requests of both services take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Places {
    /// 256 for both.
    Shared,
    /// 108 for each: what its targets can run and let wait.
    Apart,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { hangs: bool },
    End { id: u64 },
}

/// What the quick service's callers saw.
#[derive(Debug, Default)]
pub(crate) struct Quick {
    pub(crate) offered: u64,
    pub(crate) good: u64,
}

/// Simulates a minute.
pub(crate) fn run(places: Places, seed: u64) -> Quick {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = |slots| Capacity { slots, queue: 12 };
    let mut limits = match places {
        Places::Shared => vec![ConcurrencyLimit::new(size(256))],
        Places::Apart => vec![
            ConcurrencyLimit::new(size(108)),
            ConcurrencyLimit::new(size(108)),
        ],
    };
    let mut requests: Vec<(bool, u64)> = Vec::new();
    let mut events = BinaryHeap::new();
    let mut quick = Quick::default();
    for hangs in [false, true] {
        events.push(Reverse((0, Event::Arrive { hangs })));
    }
    while let Some(Reverse((now, event))) = events.pop() {
        if now > SECONDS * SECOND {
            break;
        }
        let steps = match event {
            Event::Arrive { hangs } => {
                let rate = if hangs { HANGING_RATE } else { QUICK_RATE };
                let gap = exponential(&mut rng, SECOND as f64 / rate);
                events.push(Reverse((now + gap, Event::Arrive { hangs })));
                let id = requests.len() as u64;
                requests.push((hangs, now));
                quick.offered += u64::from(!hangs);
                let ticket = PendingRequest {
                    id,
                    importance: Importance::Normal,
                    deadline: Moment(now).after(TIMEOUT),
                    depth: 0,
                    expected_run_time: None,
                };
                limits[index(places, hangs)].admit(Moment(now), ticket)
            }
            Event::End { id } => {
                let (hangs, _) = requests[id as usize];
                quick.good += u64::from(!hangs);
                limits[index(places, hangs)].finish(Moment(now), id)
            }
        };
        for step in steps {
            if let Decision::Run { id } = step {
                let (hangs, began) = requests[id as usize];
                let end = if hangs {
                    Moment(began).after(TIMEOUT).0
                } else {
                    now + exponential(&mut rng, QUICK_MEAN_MICROS)
                };
                events.push(Reverse((end.max(now), Event::End { id })));
            }
        }
    }
    quick
}

fn index(places: Places, hangs: bool) -> usize {
    match places {
        Places::Shared => 0,
        Places::Apart => usize::from(hangs),
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    let draw: f64 = rng.random();
    (-(1.0 - draw).ln() * mean) as u64
}
