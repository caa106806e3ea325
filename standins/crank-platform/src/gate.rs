//! What every request passes before it is served: delay, outage, rates; and counting.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::control::{Counts, Switches};
use crate::rate::Bucket;

/// What a request costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cost {
    Reads(u32),
    Writes(u32),
}

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stop {
    Down,
    Throttled,
}

#[derive(Debug)]
pub(crate) struct Gate {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    switches: Switches,
    counts: Counts,
    reads: Bucket,
    writes: Bucket,
}

impl Gate {
    pub(crate) fn new(switches: Switches) -> Self {
        let now = Instant::now();
        let inner = Inner {
            reads: Bucket::new(switches.reads_per_second, now),
            writes: Bucket::new(switches.writes_per_second, now),
            switches,
            counts: Counts::default(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    pub(crate) fn switches(&self) -> Switches {
        self.inner.lock().switches.clone()
    }

    pub(crate) fn set(&self, switches: Switches) {
        self.inner.lock().switches = switches;
    }

    pub(crate) fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }

    pub(crate) fn delay(&self, access_key: &str) -> Duration {
        let inner = self.inner.lock();
        let way = inner.switches.delays_ms.get(access_key).copied();
        Duration::from_millis(inner.switches.slow_ms + way.unwrap_or(0))
    }

    pub(crate) fn pass(&self, operation: &str, cost: Cost, now: Instant) -> Result<(), Stop> {
        let mut inner = self.inner.lock();
        let inner = &mut *inner;
        *inner
            .counts
            .operations
            .entry(operation.to_owned())
            .or_default() += 1;
        if inner.switches.down || inner.switches.down_operations.contains(operation) {
            inner.counts.refused += 1;
            return Err(Stop::Down);
        }
        let enough = match cost {
            Cost::Reads(units) => inner
                .reads
                .take(units, inner.switches.reads_per_second, now),
            Cost::Writes(units) => inner
                .writes
                .take(units, inner.switches.writes_per_second, now),
        };
        if !enough {
            inner.counts.throttled += 1;
            return Err(Stop::Throttled);
        }
        match cost {
            Cost::Reads(units) => inner.counts.reads += u64::from(units),
            Cost::Writes(units) => inner.counts.writes += u64::from(units),
        }
        Ok(())
    }

    /// Whether the answer of a write that took effect is to be lost.
    pub(crate) fn loses_answer(&self) -> bool {
        let mut inner = self.inner.lock();
        if inner.switches.lose_answers == 0 {
            return false;
        }
        inner.switches.lose_answers -= 1;
        inner.counts.answers_lost += 1;
        true
    }
}
