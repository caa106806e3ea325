//! Responses on their way to the caller.

use std::sync::Arc;

use crank_engine::route::ResolvedRoute;
use crank_engine::{Moment, burn};
use crank_protocol::call::{Body, Refusal, Response};
use futures::StreamExt;
use parking_lot::Mutex;

use super::RequestPermits;
use crate::clock::Clock;

/// A response whose body is being passed on; counts the request when it is dropped.
pub(super) struct ResponseTransfer {
    pub(super) burn: Arc<Mutex<burn::BurnCounter>>,
    pub(super) clock: Clock,
    pub(super) rule: Arc<ResolvedRoute>,
    pub(super) started_at: Moment,
    pub(super) succeeded: bool,
    pub(super) complete: bool,
    pub(super) _permits: RequestPermits,
}

impl ResponseTransfer {
    /// Passes the body on until it ends or the deadline passes.
    pub(super) fn pass_on(self, mut response: Response, deadline: Moment) -> Response {
        let end = self.clock.to_instant(deadline);
        let body = (response.body, self);
        let stream = futures::stream::unfold(Some(body), move |state| async move {
            let (mut body, mut transfer) = state?;
            match tokio::time::timeout_at(end, body.next()).await {
                Ok(Some(Ok(data))) => Some((Ok(data), Some((body, transfer)))),
                Ok(Some(Err(refusal))) => Some((Err(refusal), None)),
                Ok(None) => {
                    transfer.complete = true;
                    None
                }
                Err(_) => Some((Err(Refusal::Cut), None)),
            }
        });
        response.body = Box::pin(stream) as Body;
        response
    }
}

impl Drop for ResponseTransfer {
    fn drop(&mut self) {
        let answered = self.succeeded && self.complete;
        let now = self.clock.now();
        record(&self.burn, &self.rule, answered, self.started_at, now);
    }
}

pub(super) fn record(
    burn: &Mutex<burn::BurnCounter>,
    rule: &ResolvedRoute,
    answered: bool,
    started_at: Moment,
    now: Moment,
) {
    let objective = rule.objective();
    let good = burn::meets_objective(objective.as_ref(), answered, now.since(started_at));
    burn.lock().record(&rule.route.service, good, now);
}
