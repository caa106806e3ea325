//! A request that has been routed and admitted.

use std::sync::Arc;

use bytes::Bytes;
use crank_engine::client_retry::ClientRequest;
use crank_engine::route::ResolvedRoute;
use crank_engine::{Moment, retry};
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, RequestHead};
use crank_protocol::{Millis, Name};

use super::bulkhead::Bulkhead;
use super::caller::Caller;
use crate::quota::Token;

/// When a caller that still waits may retry a request that ran out of the route's time.
const LATE_RETRY_AFTER: Millis = Millis(100);

/// A request that has been routed and admitted, on its way to a target.
pub(super) struct RoutedRequest {
    pub(super) rule: Arc<ResolvedRoute>,
    pub(super) bulkhead: Arc<Bulkhead>,
    pub(super) caller: Caller,
    /// The account's token for this request, if it has an account.
    pub(super) token: Option<Token>,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) started_at: Moment,
    /// The moment at which the request times out.
    pub(super) deadline: Moment,
    /// The request as its client retries it, if it fails.
    pub(super) client: ClientRequest,
    /// When the client's first attempt arrived, from which the objective counts.
    pub(super) first_arrival: Moment,
    /// The request ID as the caller wrote it.
    pub(super) label: Arc<str>,
}

impl RoutedRequest {
    /// Records that the request is sent to a target.
    pub(super) fn spend_token(&self) {
        self.token.iter().for_each(Token::spend);
    }

    /// Gives the account's token back if the request has certainly not run.
    pub(super) fn return_token(&self, refused: &RefusedRequest) {
        if refused.outcome == Outcome::NotRun {
            self.token.iter().for_each(Token::return_unused);
        }
    }

    pub(super) fn retry_context(&self, tried: &[Name], reached: u32) -> retry::RetryContext {
        retry::RetryContext {
            idempotent: self.head.idempotent,
            depth: self.head.depth,
            attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            reached,
            max_reached: self.rule.route.attempts.unwrap_or(retry::MAX_ATTEMPTS),
            deadline: self.deadline,
        }
    }

    /// Returns how much of the objective's latency is left, if the route has an objective.
    pub(super) fn latency_left(&self, now: Moment) -> Option<Millis> {
        let latency = self.head.latency_target?;
        let spent = now.since(self.first_arrival);
        Some(Millis(latency.0.saturating_sub(spent.0)))
    }

    /// Returns whether the request can still meet its objective.
    ///
    /// One that can't waits for no slot: it would run in the place of one that can.
    pub(super) fn can_meet_objective(&self, now: Moment) -> bool {
        let run_time = self.bulkhead.expectation(&self.rule.name).run_time;
        self.latency_left(now)
            .is_none_or(|left| left > run_time.unwrap_or_default())
    }

    /// Builds the refusal for the caller. A request that did not run within the route's time
    /// becomes retryable if the caller still waits.
    pub(super) fn refused(
        &self,
        refusal: Refusal,
        outcome: Outcome,
        now: Moment,
        reached: bool,
    ) -> RefusedRequest {
        let refusal = match refusal {
            Refusal::TooLate if outcome == Outcome::NotRun && now < self.client.deadline => {
                Refusal::Overloaded {
                    retry_after: LATE_RETRY_AFTER,
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
