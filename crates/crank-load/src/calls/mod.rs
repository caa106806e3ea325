//! Requests at a rate, whatever becomes of those before, and what callers were told.

mod ledger;
mod pace;
mod send;
mod tally;

use std::sync::Arc;
use std::time::Duration;

pub use ledger::{Audit, RunCounts};
pub use send::run;
pub use tally::{CompletedRequest, Figures, RequestOutcome, Tally};

/// What is sent where.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Base URLs, taken in turn.
    pub targets: Vec<Arc<str>>,
    /// Paths, taken in turn.
    pub paths: Vec<Arc<str>>,
    /// Requests a second, to all targets together.
    pub rate: f64,
    /// How long requests are sent.
    pub time: Duration,
    /// How long before that requests are sent and not counted.
    pub warm_up: Duration,
    /// The longest that a request may take.
    pub limit: Duration,
    /// The length of a request's body in bytes; zero sends GET.
    pub body_bytes: usize,
    /// Whether each request gets an idempotency key.
    pub keyed: bool,
    /// Fixes the arrival times.
    pub seed: u64,
}
