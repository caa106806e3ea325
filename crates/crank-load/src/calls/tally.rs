//! What callers were told, and how fast.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const LONGEST_MICROS: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// The outcome of one request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer to this request, with a good status.
    Whole,
    /// A whole answer with a bad status of the backend server's own.
    Failed,
    /// The answer to another request, or of another length than expected.
    Crossed,
    /// An answer that broke off.
    Cut,
    /// A refusal: not run.
    NotRun,
    /// A refusal: it is not known whether it ran.
    Unknown,
    /// A refusal: it ran.
    Ran,
    /// The connection failed before an answer began.
    Unanswered,
}

/// A finished request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedRequest {
    /// Its id, as the ledger has it.
    pub id: u128,
    /// What its caller was told.
    pub told: RequestOutcome,
}

/// Counts of finished requests.
#[derive(Debug)]
pub struct Tally {
    latency: Histogram<u64>,
    told: BTreeMap<RequestOutcome, u64>,
    refusals: BTreeMap<Arc<str>, u64>,
    done: Vec<CompletedRequest>,
}

/// The results of a load run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// Requests counted.
    pub requests: u64,
    /// By what their callers were told.
    pub told: BTreeMap<RequestOutcome, u64>,
    /// Refusals by their name.
    pub refusals: BTreeMap<Arc<str>, u64>,
    /// Median latency of whole answers from the time they were due, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the same latency, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile (999 in 1,000) of the same latency, in microseconds.
    pub p999_us: u64,
    /// Maximum of the same latency, in microseconds.
    pub max_us: u64,
}

impl Tally {
    /// A tally without requests.
    ///
    /// # Errors
    /// [`crate::Error::Histogram`], which its constants do not give.
    ///
    /// ```
    /// let tally = crank_load::calls::Tally::new()?;
    /// assert_eq!(tally.figures().requests, 0);
    /// # Ok::<(), crank_load::Error>(())
    /// ```
    pub fn new() -> Result<Self, crate::Error> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS)?,
            told: BTreeMap::new(),
            refusals: BTreeMap::new(),
            done: Vec::new(),
        })
    }

    pub(super) fn add(
        &mut self,
        id: u128,
        told: RequestOutcome,
        refusal: Option<Arc<str>>,
        took: Duration,
    ) {
        if told == RequestOutcome::Whole {
            let micros = u64::try_from(took.as_micros()).unwrap_or(LONGEST_MICROS);
            self.latency.saturating_record(micros.max(1));
        }
        if let Some(refusal) = refusal {
            *self.refusals.entry(refusal).or_default() += 1;
        }
        *self.told.entry(told.clone()).or_default() += 1;
        self.done.push(CompletedRequest { id, told });
    }

    /// Every finished request.
    #[must_use]
    pub fn done(&self) -> &[CompletedRequest] {
        &self.done
    }

    /// Returns the counts and latency percentiles.
    ///
    /// ```
    /// # fn example(tally: &crank_load::calls::Tally) {
    /// assert!(tally.figures().p50_us <= tally.figures().p99_us);
    /// # }
    /// ```
    #[must_use]
    pub fn figures(&self) -> Figures {
        Figures {
            requests: self.told.values().sum(),
            told: self.told.clone(),
            refusals: self.refusals.clone(),
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
            p999_us: self.latency.value_at_quantile(0.999),
            max_us: self.latency.max(),
        }
    }
}
