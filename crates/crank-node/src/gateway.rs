//! The gateway for callers: the entry, with every request counted in the metrics.

use std::sync::Arc;
use std::time::Instant;

use crank_caller::Gateway;
use crank_protocol::call::{Outcome, RefusedRequest, Request, Response};

use crate::entry::{EntryProxy, Transport};
use crate::metrics::{Metrics, RequestOutcome};

/// An entry that counts the outcome and duration of every request.
pub struct MeteredGateway<L> {
    entry: EntryProxy<L>,
    metrics: Arc<Metrics>,
}

impl<L> Clone for MeteredGateway<L> {
    fn clone(&self) -> Self {
        Self {
            entry: self.entry.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<L: Transport> MeteredGateway<L> {
    /// Creates a gateway that passes requests to an entry.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use crank_node::{entry::{EntryProxy, Transport}, gateway::MeteredGateway, metrics::Metrics};
    /// fn gateway<L: Transport>(entry: EntryProxy<L>) -> MeteredGateway<L> {
    ///     MeteredGateway::new(entry, Arc::new(Metrics::new()))
    /// }
    /// ```
    #[must_use]
    pub fn new(entry: EntryProxy<L>, metrics: Arc<Metrics>) -> Self {
        Self { entry, metrics }
    }
}

impl<L: Transport> Gateway for MeteredGateway<L> {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        let began = Instant::now();
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
        self.metrics.observe_duration(outcome, began.elapsed());
        if let Err(refused) = &result {
            self.metrics.count_refusal(&refused.refusal);
        }
        result
    }
}
