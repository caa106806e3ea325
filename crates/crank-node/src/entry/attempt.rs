//! The attempts of a request: one target after another, while a retry is safe and within the budget.

use crank_engine::retry;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, Response};

use super::routed::RoutedRequest;
use super::search::{Candidate, TargetSearch};
use super::{EntryProxy, MIN_SERVER_ERROR_STATUS, Transport, bulkhead, lines};

impl<T: Transport> EntryProxy<T> {
    /// Tries one target after another while a retry is safe and within the budget.
    pub(super) async fn try_targets(
        &self,
        routed: &RoutedRequest,
    ) -> Result<Response, RefusedRequest> {
        let mut search = TargetSearch::default();
        let mut reached_count = 0;
        let mut outcome = Outcome::NotRun;
        let mut last_refusal = Refusal::NoServer;
        let mut failed_response = None;
        routed.bulkhead.record_request();
        loop {
            self.refresh(&routed.bulkhead, routed.head.version, &routed.rule);
            let view = self.shared.dependencies.view.borrow().clone();
            let barred = self
                .shared
                .rollouts
                .barred(&routed.rule.route.service, &view);
            let (now, depth) = (self.now(), routed.head.depth);
            let may_queue = routed.can_meet_objective(now);
            let candidate = barred
                .iter()
                .find_map(|barred| search.next(&routed.bulkhead, now, depth, may_queue, barred));
            let Some(candidate) = candidate else {
                if !may_queue && last_refusal == Refusal::NoServer {
                    last_refusal = routed.bulkhead.refusal_without_free_slot();
                }
                break;
            };
            if let Err(refusal) = self.check_caller(routed) {
                if outcome == Outcome::NotRun {
                    last_refusal = refusal;
                }
                break;
            }
            let result = self.attempt(routed, &candidate).await;
            let result = self.buffer(routed, result).await;
            if search.record(&candidate, result.as_ref().err()) {
                continue;
            }
            let tried = search.tried();
            reached_count += u32::from(result.as_ref().err().is_none_or(|refused| refused.reached));
            let context = routed.retry_context(tried, reached_count);
            let now = self.now();
            match result {
                Ok(response) if response.head.status < MIN_SERVER_ERROR_STATUS => {
                    lines::answered(routed, tried, now);
                    return Ok(response);
                }
                Ok(response) => {
                    let retry = routed.bulkhead.retry_after_failure(now, context);
                    lines::failed(routed, tried, response.head.status, retry);
                    if !retry {
                        return Ok(response);
                    }
                    failed_response = Some(response);
                }
                Err(refused) => {
                    outcome = retry::combine_outcomes(outcome, refused.outcome);
                    let retry = routed.bulkhead.should_retry(now, context, &refused);
                    lines::refused(routed, tried, &refused, retry);
                    // That a key was taken back is no answer for a request that may have run.
                    if outcome == Outcome::NotRun || refused.refusal != Refusal::Unauthorized {
                        last_refusal = refused.refusal;
                    }
                    if !retry {
                        break;
                    }
                }
            }
        }
        failed_response.ok_or_else(|| {
            let refused = routed.refused(last_refusal, outcome, self.now(), reached_count > 0);
            lines::given_up(routed, &search, &refused, self.now());
            refused
        })
    }

    async fn attempt(
        &self,
        routed: &RoutedRequest,
        candidate: &Candidate,
    ) -> Result<Response, RefusedRequest> {
        let choice = &candidate.choice;
        let started_at = self.now();
        let mut head = routed.head.clone();
        head.may_queue = candidate.may_queue;
        let expectation = routed.bulkhead.expectation(&routed.rule.name);
        head.expected_run_time = expectation.run_time;
        head.expected_response_bytes = expectation.response_bytes;
        head.time_left = routed.deadline.since(started_at);
        // A request that is too late for its objective may run until its deadline.
        head.latency_target = routed
            .latency_left(started_at)
            .filter(|_| routed.can_meet_objective(started_at));
        routed.spend_token();
        let attempt = bulkhead::InFlightAttempt::new(
            &routed.bulkhead,
            self.shared.dependencies.clock,
            choice,
            started_at,
        );
        let counted = self.shared.rollouts.start_attempt(
            &routed.rule.route.service,
            &routed.rule.name,
            &choice.id,
        );
        let call = self
            .shared
            .dependencies
            .transport
            .call(choice, head, routed.body.clone());
        let end = self.shared.dependencies.clock.to_instant(routed.deadline);
        let result = tokio::select! {
            result = tokio::time::timeout_at(end, call) => result.ok(),
            () = self.shared.ending.cancelled() => None,
        };
        let result = result.unwrap_or_else(|| Err(retry::refused(Refusal::TimedOut, None)));
        counted.finish(&result);
        let took = attempt.finish(&result);
        // An attempt that could not queue spent nearly all of its time running.
        if let (Some(took), false) = (took, candidate.may_queue) {
            routed.bulkhead.record_run_time(&routed.rule.name, took);
        }
        if let Some(bytes) = result.as_ref().ok().and_then(successful_length) {
            routed
                .bulkhead
                .record_response_bytes(&routed.rule.name, bytes);
        }
        result
    }

    /// Buffers the response, so that one that breaks off early counts as a refused attempt.
    async fn buffer(
        &self,
        routed: &RoutedRequest,
        result: Result<Response, RefusedRequest>,
    ) -> Result<Response, RefusedRequest> {
        let filling = self.shared.buffers.fill(result?, routed.deadline);
        tokio::select! {
            result = filling => result,
            () = self.shared.ending.cancelled() => Err(retry::refused(Refusal::TimedOut, None)),
        }
    }
}

/// Returns the length of the body of a successful response, if the server states it.
fn successful_length(response: &Response) -> Option<u64> {
    let succeeded = response.head.status < MIN_SERVER_ERROR_STATUS;
    response.head.length.filter(|_| succeeded)
}
