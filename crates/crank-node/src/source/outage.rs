//! Outages of the store.

use std::time::Duration;

use crank_engine::backoff;
use crank_protocol::Millis;
use tokio::time::Instant;

use super::SourceError;

/// Tracks an outage of the store, to log one line at its start and one at its end.
#[derive(Debug, Default)]
pub(super) struct Outage {
    started: Option<Instant>,
    failures: u32,
}

impl Outage {
    pub(super) fn begin(&mut self, error: &SourceError) {
        if self.started.is_none() {
            self.started = Some(Instant::now());
            log::warn!(reason:% = error; "store lost");
        }
        self.failures = self.failures.saturating_add(1);
    }

    pub(super) fn end(&mut self) {
        if let Some(started) = self.started.take() {
            let duration = Millis::from(started.elapsed());
            log::info!(away_ms = duration.0, failures = self.failures; "store regained");
        }
        self.failures = 0;
    }

    pub(super) fn retry_pause(&self, longest: Duration) -> Duration {
        let wait = Duration::from(backoff::delay(self.failures, &mut rand::rng()));
        wait.min(longest)
    }
}
