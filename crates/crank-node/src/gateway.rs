//! The gateway for callers: the entry, with every request counted in the metrics.

use std::sync::Arc;
use std::time::Instant;

use crank_caller::{AheadEvent, Gateway};
use crank_protocol::call::{Outcome, RefusedRequest, Request, Response};
use crank_protocol::config::Method;

use crate::entry::{EntryProxy, Transport};
use crate::metrics::{Metrics, RequestOutcome};

/// An entry that counts the outcome and duration of every request.
pub struct MeteredGateway<T> {
    entry: EntryProxy<T>,
    metrics: Arc<Metrics>,
}

impl<T> Clone for MeteredGateway<T> {
    fn clone(&self) -> Self {
        Self {
            entry: self.entry.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<T: Transport> MeteredGateway<T> {
    /// Creates a gateway that passes requests to an entry.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use crank_node::{entry::{EntryProxy, Transport}, gateway::MeteredGateway, metrics::Metrics};
    /// fn gateway<T: Transport>(entry: EntryProxy<T>) -> MeteredGateway<T> {
    ///     MeteredGateway::new(entry, Arc::new(Metrics::new()))
    /// }
    /// ```
    #[must_use]
    pub fn new(entry: EntryProxy<T>, metrics: Arc<Metrics>) -> Self {
        Self { entry, metrics }
    }
}

impl<T: Transport> Gateway for MeteredGateway<T> {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        let started_at = Instant::now();
        let result = self.entry.call(request).await;
        let outcome = match &result {
            Ok(_) => RequestOutcome::Answered,
            Err(refused) => match refused.outcome {
                Outcome::NotRun => RequestOutcome::NotRun,
                Outcome::Unknown => RequestOutcome::Unknown,
                Outcome::Ran => RequestOutcome::Ran,
            },
        };
        self.metrics.count_request(outcome);
        self.metrics.observe_duration(outcome, started_at.elapsed());
        if let Err(refused) = &result {
            self.metrics.count_refusal(&refused.refusal);
        }
        result
    }

    fn may_start_ahead(&self, method: Method, host: &str, path: &str) -> bool {
        Gateway::may_start_ahead(&self.entry, method, host, path)
    }

    fn count_ahead(&self, event: AheadEvent) {
        self.metrics.count_ahead(event);
    }
}
