//! What callers meet: the entry, with every answer counted.

use std::sync::Arc;
use std::time::Instant;

use crank_caller::Gateway;
use crank_protocol::call::{Outcome, RefusedRequest, Request, Response};

use crate::entry::{EntryProxy, Transport};
use crate::metrics::{Metrics, RequestOutcome};

/// The entry with a count of what callers were told.
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
    /// A front of an entry.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use crank_node::{entry::{EntryProxy, Transport}, gateway::MeteredGateway, metrics::Metrics};
    /// fn front<L: Transport>(entry: EntryProxy<L>) -> MeteredGateway<L> {
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
        let answered = match &result {
            Ok(_) => RequestOutcome::Answered,
            Err(refused) => match refused.outcome {
                Outcome::NotRun => RequestOutcome::NotRun,
                Outcome::Unknown => RequestOutcome::Unknown,
                Outcome::Ran => RequestOutcome::Ran,
            },
        };
        self.metrics.count_request(answered);
        self.metrics.observe_duration(answered, began.elapsed());
        if let Err(refused) = &result {
            self.metrics.count_refusal(&refused.refusal);
        }
        result
    }
}
