//! Measurements of latencies, control traffic, processor time and memory.

use std::collections::BTreeMap;
use std::io::Write;
use std::time::{Duration, Instant};

use crank_mesh::{ByteCount, Direction, Reach, TrafficKind};
use hdrhistogram::Histogram;

/// The unit of the processor times in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// The unit of the sizes in `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

/// A histogram of latencies in microseconds.
pub(crate) struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        match Histogram::new(3) {
            Ok(histogram) => Self(histogram),
            Err(error) => unreachable!("{error}"),
        }
    }
}

impl Latencies {
    pub(crate) fn record(&mut self, since: Instant, at: Instant) {
        let micros = at.saturating_duration_since(since).as_micros();
        let recorded = self.0.record(u64::try_from(micros).unwrap_or(u64::MAX));
        debug_assert!(recorded.is_ok(), "the histogram resizes itself");
    }

    pub(crate) fn at(&self, quantile: f64) -> usize {
        usize::try_from(self.0.value_at_quantile(quantile)).unwrap_or(usize::MAX)
    }

    pub(crate) fn print(&self, out: &mut impl Write, label: &str) -> std::io::Result<()> {
        let [p50, p99, max] = [0.5, 0.99, 1.0].map(|at| crate::milliseconds(self, at));
        let samples = self.0.len();
        writeln!(
            out,
            "{label} samples={samples} p50_ms={p50:.1} p99_ms={p99:.1} max_ms={max:.1}"
        )
    }
}

/// The control bytes of a fleet by kind, reach and direction.
#[derive(Debug, Clone, Default)]
pub(crate) struct Bytes(BTreeMap<(TrafficKind, Reach, Direction), u64>);

impl Bytes {
    pub(crate) fn add(&mut self, count: ByteCount) {
        let key = (count.kind, count.reach, count.direction);
        *self.0.entry(key).or_default() += count.bytes;
    }

    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let difference = |(key, bytes): (&_, &u64)| {
            let before = earlier.0.get(key).copied().unwrap_or_default();
            (*key, bytes.saturating_sub(before))
        };
        Self(self.0.iter().map(difference).collect())
    }

    /// Returns the sum of the bytes that a filter selects.
    pub(crate) fn sum(&self, filter: impl Fn(TrafficKind, Reach, Direction) -> bool) -> f64 {
        let selected = self
            .0
            .iter()
            .filter(|((kind, reach, direction), _)| filter(*kind, *reach, *direction));
        let bytes: u64 = selected.map(|(_, bytes)| bytes).sum();
        crate::as_f64(usize::try_from(bytes).unwrap_or(usize::MAX))
    }

    /// Prints the bytes per node and second by kind, sent and received. Bytes between regions are
    /// counted only where they were sent.
    pub(crate) fn print(
        &self,
        out: &mut impl Write,
        label: &str,
        nodes: usize,
        duration: Duration,
    ) -> std::io::Result<()> {
        let per_node_second = |bytes: f64| bytes / crate::as_f64(nodes) / duration.as_secs_f64();
        let all = per_node_second(self.sum(|_, _, _| true));
        write!(out, "{label} bytes_per_node_second={all:.0}")?;
        let kinds = [
            TrafficKind::Probe,
            TrafficKind::News,
            TrafficKind::Members,
            TrafficKind::Delta,
            TrafficKind::Snapshot,
            TrafficKind::Other,
        ];
        for kind in kinds {
            let bytes = per_node_second(self.sum(|other, _, _| other == kind));
            write!(out, " {kind:?}={bytes:.0}")?;
        }
        let far =
            self.sum(|_, reach, direction| reach == Reach::Far && direction == Direction::Sent);
        writeln!(
            out,
            " far_bytes_per_second={:.0}",
            far / duration.as_secs_f64()
        )
    }
}

/// Returns the processor time that this process has used, in seconds.
pub(crate) fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

/// Returns the resident memory of this process in bytes.
pub(crate) fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
