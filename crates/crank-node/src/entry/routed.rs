//! A request on its way from the entry to a target.

use std::sync::Arc;

use bytes::Bytes;
use crank_engine::route::ResolvedRoute;
use crank_engine::{Moment, retry};
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, RequestHead};
use crank_protocol::{Millis, Name};

use super::bulkhead::Bulkhead;

/// When to ask again for what was too late within the route's time.
const LATE_WAIT: Millis = Millis(100);

/// A request on its way.
pub(super) struct Routed {
    pub(super) rule: Arc<ResolvedRoute>,
    pub(super) bulkhead: Arc<Bulkhead>,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) began: Moment,
    /// When its time is over.
    pub(super) deadline: Moment,
    /// When the caller gives it up.
    pub(super) leaves_at: Moment,
    /// Its id as the caller wrote it.
    pub(super) label: Arc<str>,
}

impl Routed {
    pub(super) fn attempt(&self, tried: &[Name], reached: u32) -> retry::RetryContext {
        retry::RetryContext {
            idempotent: self.head.idempotent,
            depth: self.head.depth,
            attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            reached,
            max_reached: self.rule.route.attempts.unwrap_or(retry::MAX_ATTEMPTS),
            deadline: self.deadline,
        }
    }

    /// What was not run within the route's time may be asked again by a caller who still waits.
    pub(super) fn refused(
        &self,
        refusal: Refusal,
        outcome: Outcome,
        now: Moment,
        reached: bool,
    ) -> RefusedRequest {
        let refusal = match refusal {
            Refusal::TooLate if outcome == Outcome::NotRun && now < self.leaves_at => {
                Refusal::Overloaded {
                    retry_after: LATE_WAIT,
                }
            }
            refusal => refusal,
        };
        RefusedRequest {
            refusal,
            outcome,
            load: None,
            reached,
        }
    }
}
