//! What callers meet: the entry, with every answer counted.

use std::sync::Arc;
use std::time::Instant;

use crank_caller::Gateway;
use crank_protocol::call::{Outcome, RefusedRequest, Request, Response};

use crate::entry::{Entry, Links};
use crate::metrics::{Answered, Metrics};

/// The entry with a count of what callers were told.
pub struct Front<L> {
    entry: Entry<L>,
    metrics: Arc<Metrics>,
}

impl<L> Clone for Front<L> {
    fn clone(&self) -> Self {
        Self {
            entry: self.entry.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

impl<L: Links> Front<L> {
    /// A front of an entry.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use crank_node::{entry::{Entry, Links}, front::Front, metrics::Metrics};
    /// fn front<L: Links>(entry: Entry<L>) -> Front<L> {
    ///     Front::new(entry, Arc::new(Metrics::new()))
    /// }
    /// ```
    #[must_use]
    pub fn new(entry: Entry<L>, metrics: Arc<Metrics>) -> Self {
        Self { entry, metrics }
    }
}

impl<L: Links> Gateway for Front<L> {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        let began = Instant::now();
        let result = self.entry.call(request).await;
        let answered = match &result {
            Ok(_) => Answered::Whole,
            Err(refused) => match refused.outcome {
                Outcome::NotRun => Answered::NotRun,
                Outcome::Unknown => Answered::Unknown,
                Outcome::Ran => Answered::Ran,
            },
        };
        self.metrics.count(answered);
        self.metrics.took(answered, began.elapsed());
        if let Err(refused) = &result {
            self.metrics.refuse(&refused.refusal);
        }
        result
    }
}
