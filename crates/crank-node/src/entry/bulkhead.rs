use std::collections::BTreeMap;
use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::balance::{AttemptResult, ChosenTarget, TargetPool};
use crank_engine::ewma::Ewma;
use crank_engine::limit::Capacity;
use crank_engine::retry::{self, RetryBudget};
use crank_engine::route::ResolvedRoute;
use crank_mesh::View;
use crank_protocol::call::{Refusal, RefusedRequest, Response};
use crank_protocol::config::{Service, Version};
use crank_protocol::member::{self, Member, Stage};
use crank_protocol::{Millis, Name};
use parking_lot::Mutex;

use super::{Dependencies, FIRST_SERVER_FAULT, RepeatLimit};
use crate::admission::AdmissionController;
use crate::clock::Clock;

/// Requests of one service that a node has under way at most.
const MOST_UNDER_WAY: u32 = 1_024;
const MICROS_PER_MILLI: u64 = 1_000;

/// What the entry holds for one service, apart from all others: places, targets, retry budget.
#[derive(Debug)]
pub(super) struct Bulkhead {
    gate: AdmissionController,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    pool: TargetPool,
    budget: RetryBudget,
    version: Version,
    view: Option<Arc<View>>,
    repeat_limit: Option<RepeatLimit>,
    /// How long the requests of each route run.
    runs: BTreeMap<Name, Ewma>,
}

impl Bulkhead {
    pub(super) fn new<L>(dependencies: &Dependencies<L>, rule: &ResolvedRoute) -> Self {
        let clock = dependencies.clock;
        let gate = AdmissionController::new(clock, size(&rule.service, 0));
        gate.announce(Stage::Ready, Millis(0));
        let state = State {
            pool: TargetPool::new(dependencies.own.clone(), dependencies.place.clone()),
            budget: RetryBudget::new(rule.service.retry_budget),
            version: Version::default(),
            view: None,
            repeat_limit: dependencies.conventions.repeat_limit,
            runs: BTreeMap::new(),
        };
        Self {
            gate,
            state: Mutex::new(state),
        }
    }

    pub(super) fn gate(&self) -> &AdmissionController {
        &self.gate
    }

    /// Takes a newer policy and another view; older ones are passed over.
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
            .is_some_and(|held| Arc::ptr_eq(held, view));
        if version < state.version || (version == state.version && same_view) {
            return;
        }
        state.version = version;
        state.view = Some(view.clone());
        state.budget.set_share(rule.service.retry_budget);
        let name = &rule.route.service;
        if let Some(repeat_limit) = state.repeat_limit {
            let slack = repeat_limit.slack_per_node(nodes(view));
            state.budget.limit_repeats(repeat_limit.share, slack);
        }
        let reached = view.members().filter(|member| view.is_reachable(member));
        state.pool.update(now, name, &rule.service, reached);
        self.gate.resize(size(&rule.service, state.pool.slots()));
    }

    pub(super) fn earn(&self) {
        self.state.lock().budget.record_request();
    }

    pub(super) fn choose(&self, now: Moment, tried: &[Name]) -> Option<ChosenTarget> {
        let mut state = self.state.lock();
        state.pool.choose(now, tried, &mut rand::rng())
    }

    /// A target that seems to have a slot free.
    pub(super) fn choose_with_free_slot(
        &self,
        now: Moment,
        asked: &[Name],
    ) -> Option<ChosenTarget> {
        let mut state = self.state.lock();
        state
            .pool
            .choose_with_free_slot(now, asked, &mut rand::rng())
    }

    /// How long a request of a route is expected to run.
    pub(super) fn run_of(&self, route: &Name) -> Option<Millis> {
        let state = self.state.lock();
        let micros = state.runs.get(route)?.micros()?;
        Some(Millis(micros / MICROS_PER_MILLI))
    }

    pub(super) fn note_run(&self, route: &Name, micros: u64) {
        let mut state = self.state.lock();
        state.runs.entry(route.clone()).or_default().add(micros);
    }

    /// Whether a request that its server answered with a failure is tried at another.
    pub(super) fn failed_again(&self, now: Moment, attempt: retry::RetryContext) -> bool {
        let mut state = self.state.lock();
        retry::approve_retry_after_failure(now, attempt, &mut state.budget)
    }

    pub(super) fn again(
        &self,
        now: Moment,
        attempt: retry::RetryContext,
        refused: &RefusedRequest,
    ) -> bool {
        let mut state = self.state.lock();
        retry::approve_retry(now, attempt, refused, &mut state.budget)
    }
}

/// The nodes that may be alive.
fn nodes(view: &View) -> u64 {
    let left = |member: &&Member| member.state != member::State::Left;
    view.members().filter(left).count() as u64
}

/// Room for all that the targets can run and let wait.
fn size(service: &Service, slots: u32) -> Capacity {
    let targets = slots.div_ceil(service.slots.max(1)).max(1);
    let useful = targets.saturating_mul(service.slots.saturating_add(service.queue));
    Capacity {
        slots: useful.min(MOST_UNDER_WAY),
        queue: service.queue,
    }
}

/// One attempt, in flight at its target until it lands or is dropped.
pub(super) struct Flight<'a> {
    bulkhead: &'a Bulkhead,
    clock: Clock,
    target: &'a Name,
    began: Moment,
    landed: bool,
}

impl<'a> Flight<'a> {
    pub(super) fn new(
        bulkhead: &'a Bulkhead,
        clock: Clock,
        choice: &'a ChosenTarget,
        began: Moment,
    ) -> Self {
        Self {
            bulkhead,
            clock,
            target: &choice.id,
            began,
            landed: false,
        }
    }

    /// Notes how the attempt ended; how long it took in microseconds, where it was answered.
    pub(super) fn land(mut self, result: &Result<Response, RefusedRequest>) -> Option<u64> {
        self.landed = true;
        let now = self.clock.now();
        let micros = now.0.saturating_sub(self.began.0);
        let (end, load) = match result {
            Ok(answer) if answer.head.status < FIRST_SERVER_FAULT => {
                (AttemptResult::Answered { micros }, Some(answer.head.load))
            }
            Ok(answer) => (AttemptResult::Failed, Some(answer.head.load)),
            Err(refused) => (end(&refused.refusal, micros), refused.load),
        };
        let mut state = self.bulkhead.state.lock();
        state.pool.finish(now, self.target, end, load);
        match end {
            AttemptResult::Answered { micros } => Some(micros),
            AttemptResult::Full
            | AttemptResult::Leaving
            | AttemptResult::Slow { .. }
            | AttemptResult::Failed
            | AttemptResult::Unrelated => None,
        }
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if !self.landed {
            let now = self.clock.now();
            let mut state = self.bulkhead.state.lock();
            state
                .pool
                .finish(now, self.target, AttemptResult::Unrelated, None);
        }
    }
}

fn end(refusal: &Refusal, micros: u64) -> AttemptResult {
    match refusal {
        Refusal::Overloaded { .. } => AttemptResult::Full,
        Refusal::Leaving | Refusal::NotReady | Refusal::NoServer => AttemptResult::Leaving,
        Refusal::NotSent | Refusal::Lost | Refusal::Cut => AttemptResult::Failed,
        Refusal::TimedOut => AttemptResult::Slow { micros },
        Refusal::NoRoute
        | Refusal::BadRequest { .. }
        | Refusal::TooLate
        | Refusal::StoreDown
        | Refusal::KeyInUse
        | Refusal::KeyMismatch
        | Refusal::Cancelled => AttemptResult::Unrelated,
    }
}
