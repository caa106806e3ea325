//! The independent count of runs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How often each request ran; a run is counted when its work starts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Runs by `crank-request-id`.
    pub requests: BTreeMap<String, u64>,
    /// Runs by `idempotency-key`.
    pub keys: BTreeMap<String, u64>,
    /// Everything together.
    pub totals: Totals,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Totals {
    /// Work that was started.
    pub started: u64,
    /// Work that was finished.
    pub finished: u64,
    /// Work that was given up because its caller left.
    pub cancelled: u64,
    /// Requests refused for want of a slot or because it was not ready.
    pub shed: u64,
}

impl Ledger {
    /// Counts the start of work.
    ///
    /// ```
    /// let mut ledger = crank_backend::Ledger::default();
    /// ledger.start(Some("1f"), None);
    /// assert_eq!(ledger.requests["1f"], 1);
    /// ```
    pub fn start(&mut self, request: Option<&str>, key: Option<&str>) {
        self.totals.started += 1;
        if let Some(request) = request {
            *self.requests.entry(request.to_owned()).or_default() += 1;
        }
        if let Some(key) = key {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
    }
}
