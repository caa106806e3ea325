//! Watches for pauses of the runtime: how late a timer fires.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crank_engine::stall::StallWatch;
use crank_protocol::Millis;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::gauge::ConstGauge;

use crate::clock::Clock;

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The longest pause of the runtime so far; clones share it.
#[derive(Debug, Clone, Default)]
pub struct LongestPause(Arc<AtomicU64>);

impl LongestPause {
    /// Starts to measure on the current runtime.
    ///
    /// ```
    /// use crank_node::{clock::Clock, watchdog::LongestPause};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// assert_eq!(LongestPause::start(Clock::new()).get().0, 0);
    /// # }
    /// ```
    #[must_use]
    pub fn start(clock: Clock) -> Self {
        let pause = Self::default();
        tokio::spawn(pause.clone().measure(clock));
        pause
    }

    /// Returns the pause.
    ///
    /// ```
    /// assert_eq!(crank_node::watchdog::LongestPause::default().get().0, 0);
    /// ```
    #[must_use]
    pub fn get(&self) -> Millis {
        Millis(self.0.load(Ordering::Relaxed))
    }

    /// Measures pauses for ever, and logs long ones.
    ///
    /// ```
    /// use crank_node::{clock::Clock, watchdog::LongestPause};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// tokio::spawn(LongestPause::default().measure(Clock::new()));
    /// # }
    /// ```
    pub async fn measure(self, clock: Clock) {
        let mut watch = StallWatch::new();
        loop {
            let due_at = clock.now().after(CHECK_INTERVAL.into());
            tokio::time::sleep(CHECK_INTERVAL).await;
            if let Some(pause) = watch.record(due_at, clock.now()) {
                log::warn!(took_ms = pause.0; "the runtime stood still");
            }
            self.0.store(watch.longest().0, Ordering::Relaxed);
        }
    }
}

/// Encodes the longest pause as a metric.
#[derive(Debug)]
pub(crate) struct PauseCollector(pub(crate) LongestPause);

impl Collector for PauseCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let seconds = self.0.get().0 as f64 / MILLIS_PER_SECOND;
        let help = "The longest time for which the runtime stood still";
        let metric_type = MetricType::Gauge;
        let family = encoder.encode_descriptor("longest_pause_seconds", help, None, metric_type)?;
        ConstGauge::new(seconds).encode(family)
    }
}
