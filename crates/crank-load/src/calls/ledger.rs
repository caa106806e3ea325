//! What callers were told against what the backend servers counted.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::tally::{Done, Told};
use crate::Error;

/// The part of a backend server's ledger that is compared.
#[derive(Deserialize)]
struct Ledger {
    requests: BTreeMap<Arc<str>, u64>,
}

/// Requests whose callers were told what the ledgers deny.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Audit {
    /// Requests compared.
    pub requests: u64,
    /// Ledgers that could not be read; their runs are missing here.
    pub unread_ledgers: u64,
    /// Runs in all ledgers together.
    pub runs: u64,
    /// Requests that ran more than once.
    pub run_twice: u64,
    /// Callers were told that it was not run, and it ran.
    pub not_run_but_ran: u64,
    /// Callers got a whole answer, and no ledger knows of the run.
    pub whole_but_never_ran: u64,
}

impl Audit {
    /// Whether nothing was run twice and no refusal was untrue.
    ///
    /// ```
    /// assert!(crank_load::calls::Audit::default().is_clean());
    /// ```
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.run_twice == 0 && self.not_run_but_ran == 0
    }
}

/// Reads the ledgers of backend servers and compares them with what callers were told.
///
/// # Errors
/// [`Error::Http`] where the HTTP client cannot be made.
///
/// ```
/// # use std::sync::Arc;
/// # use crank_load::{Error, calls::{self, Tally}};
/// async fn is_clean(backends: &[Arc<str>], tally: &Tally) -> Result<bool, Error> {
///     Ok(calls::audit(backends, tally.done()).await?.is_clean())
/// }
/// ```
pub async fn audit(backends: &[Arc<str>], done: &[Done]) -> Result<Audit, Error> {
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.map_err(|source| Error::Http {
        what: Arc::from("the HTTP client"),
        source,
    })?;
    let mut audit = Audit::default();
    let mut runs: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    for backend in backends {
        match read(&client, backend).await {
            Ok(ledger) => {
                for (id, count) in ledger.requests {
                    *runs.entry(id).or_default() += count;
                }
            }
            Err(_) => audit.unread_ledgers += 1,
        }
    }
    compare(&mut audit, &runs, done);
    Ok(audit)
}

async fn read(client: &reqwest::Client, backend: &str) -> Result<Ledger, reqwest::Error> {
    let response = client.get(format!("{backend}/ledger")).send().await?;
    response.json().await
}

fn compare(audit: &mut Audit, runs: &BTreeMap<Arc<str>, u64>, done: &[Done]) {
    for request in done {
        let id = format!("{:032x}", request.id);
        let count = runs.get(id.as_str()).copied().unwrap_or(0);
        audit.requests += 1;
        audit.runs += count;
        audit.run_twice += u64::from(count > 1);
        audit.not_run_but_ran += u64::from(count > 0 && request.told == Told::NotRun);
        audit.whole_but_never_ran += u64::from(count == 0 && request.told == Told::Whole);
    }
}
