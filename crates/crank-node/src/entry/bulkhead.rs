//! The bulkhead of one service at the entry: its limits, targets and retry budget.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::balance::{AttemptResult, ChosenTarget, TargetPool};
use crank_engine::ewma::{Ewma, SteadyMean};
use crank_engine::limit::Capacity;
use crank_engine::retry::{self, RetryBudget};
use crank_engine::route::ResolvedRoute;
use crank_mesh::View;
use crank_protocol::call::{Refusal, RefusedRequest, Response};
use crank_protocol::config::{Service, Version};
use crank_protocol::member::{self, Member, Stage};
use crank_protocol::{Millis, Name};
use parking_lot::Mutex;

use super::{Dependencies, MIN_SERVER_ERROR_STATUS, RepeatLimit};
use crate::admission::AdmissionController;
use crate::clock::Clock;

/// The highest number of requests of one service that run at once through a node.
const MAX_IN_FLIGHT: u32 = 1_024;
const MICROS_PER_MILLI: u64 = 1_000;

/// The state of one service at the entry, isolated from all others: its slots, targets and retry
/// budget.
#[derive(Debug)]
pub(super) struct Bulkhead {
    admission: AdmissionController,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    pool: TargetPool,
    budget: RetryBudget,
    version: Version,
    view: Option<Arc<View>>,
    repeat_limit: Option<RepeatLimit>,
    routes: BTreeMap<Name, RouteProfile>,
}

/// What the requests of a route were like so far.
#[derive(Debug, Default)]
struct RouteProfile {
    /// The mean run time in microseconds.
    run_time: SteadyMean,
    /// The mean size of a response body in bytes.
    response_bytes: Ewma,
}

/// What a request of a route is expected to be like, if others were seen.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Expectation {
    pub(super) run_time: Option<Millis>,
    pub(super) response_bytes: Option<u64>,
}

impl Bulkhead {
    pub(super) fn new<T>(dependencies: &Dependencies<T>, rule: &ResolvedRoute) -> Self {
        let clock = dependencies.clock;
        let admission = AdmissionController::new(clock, service_capacity(&rule.service, 0));
        admission.set_stage(Stage::Ready, Millis(0));
        let state = State {
            pool: TargetPool::new(dependencies.node.clone(), dependencies.place.clone()),
            budget: RetryBudget::new(rule.service.retry_budget),
            version: Version::default(),
            view: None,
            repeat_limit: dependencies.conventions.repeat_limit,
            routes: BTreeMap::new(),
        };
        Self {
            admission,
            state: Mutex::new(state),
        }
    }

    pub(super) fn admission(&self) -> &AdmissionController {
        &self.admission
    }

    /// Applies a newer configuration or another view; an older configuration is ignored.
    pub(super) fn refresh(
        &self,
        now: Moment,
        version: Version,
        rule: &ResolvedRoute,
        view: &Arc<View>,
    ) {
        let mut state = self.state.lock();
        let same_view = state
            .view
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, view));
        if version < state.version || (version == state.version && same_view) {
            return;
        }
        state.version = version;
        state.view = Some(view.clone());
        state.budget.set_share(rule.service.retry_budget);
        let name = &rule.route.service;
        if let Some(repeat_limit) = state.repeat_limit {
            let slack = repeat_limit.slack_per_node(count_remaining_nodes(view));
            state.budget.limit_repeats(repeat_limit.share, slack);
        }
        let reachable = view.members().filter(|member| view.is_reachable(member));
        state.pool.update(now, name, &rule.service, reachable);
        self.admission
            .resize(service_capacity(&rule.service, state.pool.slots()));
    }

    pub(super) fn record_request(&self) {
        self.state.lock().budget.record_request();
    }

    pub(super) fn choose(&self, now: Moment, excluded: &[Name]) -> Option<ChosenTarget> {
        let mut state = self.state.lock();
        state.pool.choose(now, excluded, &mut rand::rng())
    }

    /// Chooses a target that appears to have a free slot.
    pub(super) fn choose_with_free_slot(
        &self,
        now: Moment,
        excluded: &[Name],
    ) -> Option<ChosenTarget> {
        let mut state = self.state.lock();
        state
            .pool
            .choose_with_free_slot(now, excluded, &mut rand::rng())
    }

    /// Returns the refusal of a request that waits for no slot, if none appears to be free.
    pub(super) fn refusal_without_free_slot(&self) -> Refusal {
        if self.state.lock().pool.slots() == 0 {
            return Refusal::NoServer;
        }
        self.admission.overload_refusal()
    }

    /// Returns what a request of a route is expected to be like.
    pub(super) fn expectation(&self, route: &Name) -> Expectation {
        let state = self.state.lock();
        let Some(profile) = state.routes.get(route) else {
            return Expectation::default();
        };
        let run_micros = profile.run_time.mean();
        Expectation {
            run_time: run_micros.map(|micros| Millis(micros / MICROS_PER_MILLI)),
            response_bytes: profile.response_bytes.mean(),
        }
    }

    pub(super) fn record_run_time(&self, route: &Name, micros: u64) {
        let mut state = self.state.lock();
        let profile = state.routes.entry(route.clone()).or_default();
        profile.run_time.add(micros);
    }

    pub(super) fn record_response_bytes(&self, route: &Name, bytes: u64) {
        let mut state = self.state.lock();
        let profile = state.routes.entry(route.clone()).or_default();
        profile.response_bytes.add(bytes);
    }

    /// Decides whether a request that its server answered with a failure is retried on another.
    pub(super) fn retry_after_failure(&self, now: Moment, context: retry::RetryContext) -> bool {
        let mut state = self.state.lock();
        retry::approve_retry_after_failure(now, context, &mut state.budget)
    }

    pub(super) fn should_retry(
        &self,
        now: Moment,
        context: retry::RetryContext,
        refused: &RefusedRequest,
    ) -> bool {
        let mut state = self.state.lock();
        retry::approve_retry(now, context, refused, &mut state.budget)
    }
}

/// Counts the nodes that have not left the mesh.
fn count_remaining_nodes(view: &View) -> u64 {
    let remains = |member: &&Member| member.state != member::State::Left;
    view.members().filter(remains).count() as u64
}

/// Computes a capacity for everything that the targets can run and queue.
fn service_capacity(service: &Service, slots: u32) -> Capacity {
    let targets = slots.div_ceil(service.slots.max(1)).max(1);
    let total = targets.saturating_mul(service.slots.saturating_add(service.queue));
    Capacity {
        slots: total.min(MAX_IN_FLIGHT),
        queue: service.queue,
    }
}

/// One attempt in flight at its target, until it finishes or is dropped.
pub(super) struct InFlightAttempt<'a> {
    bulkhead: &'a Bulkhead,
    clock: Clock,
    target: &'a Name,
    started_at: Moment,
    finished: bool,
}

impl<'a> InFlightAttempt<'a> {
    pub(super) fn new(
        bulkhead: &'a Bulkhead,
        clock: Clock,
        choice: &'a ChosenTarget,
        started_at: Moment,
    ) -> Self {
        Self {
            bulkhead,
            clock,
            target: &choice.id,
            started_at,
            finished: false,
        }
    }

    /// Records the result of the attempt; returns its duration in microseconds if it was answered.
    pub(super) fn finish(mut self, result: &Result<Response, RefusedRequest>) -> Option<u64> {
        self.finished = true;
        let now = self.clock.now();
        let micros = now.0.saturating_sub(self.started_at.0);
        let (attempt_result, load) = match result {
            Ok(response) if response.head.status < MIN_SERVER_ERROR_STATUS => {
                (AttemptResult::Answered { micros }, Some(response.head.load))
            }
            Ok(response) => (AttemptResult::Failed, Some(response.head.load)),
            Err(refused) => (result_of_refusal(&refused.refusal, micros), refused.load),
        };
        let mut state = self.bulkhead.state.lock();
        state.pool.finish(now, self.target, attempt_result, load);
        match attempt_result {
            AttemptResult::Answered { micros } => Some(micros),
            AttemptResult::Full
            | AttemptResult::Leaving
            | AttemptResult::Slow { .. }
            | AttemptResult::Failed
            | AttemptResult::Unrelated => None,
        }
    }
}

impl Drop for InFlightAttempt<'_> {
    fn drop(&mut self) {
        if !self.finished {
            let now = self.clock.now();
            let mut state = self.bulkhead.state.lock();
            state
                .pool
                .finish(now, self.target, AttemptResult::Unrelated, None);
        }
    }
}

fn result_of_refusal(refusal: &Refusal, micros: u64) -> AttemptResult {
    match refusal {
        Refusal::Overloaded { .. } => AttemptResult::Full,
        Refusal::Leaving | Refusal::NotReady | Refusal::NoServer => AttemptResult::Leaving,
        Refusal::NotSent | Refusal::Lost | Refusal::Cut => AttemptResult::Failed,
        Refusal::TimedOut => AttemptResult::Slow { micros },
        Refusal::NoRoute
        | Refusal::Unauthorized
        | Refusal::OverRate { .. }
        | Refusal::BadRequest { .. }
        | Refusal::ConnectionLost
        | Refusal::TooLate
        | Refusal::StoreDown
        | Refusal::KeyInUse
        | Refusal::KeyMismatch
        | Refusal::Cancelled => AttemptResult::Unrelated,
    }
}
