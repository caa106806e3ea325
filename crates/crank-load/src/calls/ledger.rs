//! What callers were told against what the backend servers counted.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::tally::{CompletedRequest, RequestOutcome};
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

/// The runs that backend servers counted, by request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunCounts {
    runs: BTreeMap<Arc<str>, u64>,
    unread: u64,
}

impl RunCounts {
    /// Reads the ledgers of backend servers that still run.
    ///
    /// # Errors
    /// [`Error::Http`] where the HTTP client cannot be made.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use crank_load::{Error, calls::{RunCounts, Tally}};
    /// async fn is_clean(backends: &[Arc<str>], tally: &Tally) -> Result<bool, Error> {
    ///     Ok(RunCounts::read(backends).await?.audit(tally.done()).is_clean())
    /// }
    /// ```
    pub async fn read(backends: &[Arc<str>]) -> Result<Self, Error> {
        let client = reqwest::Client::builder().no_proxy().build();
        let client = client.map_err(|source| Error::Http {
            what: Arc::from("the HTTP client"),
            source,
        })?;
        let mut runs = Self::default();
        for backend in backends {
            runs.add(read(&client, backend).await.ok());
        }
        Ok(runs)
    }

    /// Adds the ledger in the last line of a backend server that has left.
    ///
    /// ```
    /// use crank_load::calls::RunCounts;
    /// let mut runs = RunCounts::default();
    /// runs.add_line(r#"ledger {"requests":{"1f":1}}"#);
    /// runs.add_line("");
    /// assert_eq!(runs.audit(&[]).unread_ledgers, 1);
    /// ```
    pub fn add_line(&mut self, line: &str) {
        let ledger = line.strip_prefix("ledger ");
        self.add(ledger.and_then(|ledger| serde_json::from_str(ledger).ok()));
    }

    fn add(&mut self, ledger: Option<Ledger>) {
        match ledger {
            Some(ledger) => {
                for (id, count) in ledger.requests {
                    *self.runs.entry(id).or_default() += count;
                }
            }
            None => self.unread += 1,
        }
    }

    /// Compares the runs with what callers were told.
    ///
    /// ```
    /// # use crank_load::calls::RunCounts;
    /// assert!(RunCounts::default().audit(&[]).is_clean());
    /// ```
    #[must_use]
    pub fn audit(&self, done: &[CompletedRequest]) -> Audit {
        let mut audit = Audit {
            unread_ledgers: self.unread,
            ..Audit::default()
        };
        compare(&mut audit, &self.runs, done);
        audit
    }
}

async fn read(client: &reqwest::Client, backend: &str) -> Result<Ledger, reqwest::Error> {
    let response = client.get(format!("{backend}/ledger")).send().await?;
    response.json().await
}

fn compare(audit: &mut Audit, runs: &BTreeMap<Arc<str>, u64>, done: &[CompletedRequest]) {
    for request in done {
        let id = format!("{:032x}", request.id);
        let count = runs.get(id.as_str()).copied().unwrap_or(0);
        audit.requests += 1;
        audit.runs += count;
        audit.run_twice += u64::from(count > 1);
        audit.not_run_but_ran += u64::from(count > 0 && request.told == RequestOutcome::NotRun);
        audit.whole_but_never_ran += u64::from(count == 0 && request.told == RequestOutcome::Whole);
    }
}
