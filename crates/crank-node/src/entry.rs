//! The entry node: route, choose, call, and try again where that is safe.

mod asked;
mod bulkhead;
mod conventions;
mod lines;
mod routed;
mod search;

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use crank_engine::balance::ChosenTarget;
use crank_engine::drain::{Drain, DrainProgress};
use crank_engine::limit::Capacity;
use crank_engine::route::{ResolvedRoute, RoutingTable};
use crank_engine::{Moment, burn, retry};
use crank_mesh::View;
use crank_protocol::call::{
    Body, Load, Outcome, Refusal, RefusedRequest, Request, RequestHead, Response,
};
use crank_protocol::config::{Snapshot, Version};
use crank_protocol::member::{Place, Stage};
use crank_protocol::{Millis, Name};
use futures::StreamExt;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::admission::{AdmissionController, AdmissionRequest, Permit};
use crate::clock::Clock;
use asked::Asked;
use bulkhead::Bulkhead;
use routed::Routed;
use search::{Next, Search};

pub use conventions::{Conventions, RepeatLimit};

/// The places for the requests of all services together.
pub const NODE_LIMIT: Capacity = Capacity {
    slots: 2_048,
    queue: 256,
};

/// The edge to the targets' nodes, this one included.
pub trait Transport: Send + Sync + 'static {
    /// Sends one attempt to a target's node; dropping the future cancels it.
    ///
    /// # Errors
    /// What the target's node refused with; [`Refusal::NotSent`] only when that node has certainly
    /// got nothing of it; otherwise [`Refusal::Lost`], [`Refusal::TimedOut`] or [`Refusal::Cut`].
    fn call(
        &self,
        target: &ChosenTarget,
        head: RequestHead,
        body: Bytes,
    ) -> impl Future<Output = Result<Response, RefusedRequest>> + Send;
}

/// What an entry is made of.
pub struct Dependencies<L> {
    /// The process's clock.
    pub clock: Clock,
    /// The node's name, from its settings.
    pub own: Name,
    /// Where the node stands, from its settings.
    pub place: Place,
    /// The configuration in force: `crank_mesh::Handle::config`.
    pub config: watch::Receiver<Option<Arc<Snapshot>>>,
    /// All members, this node included: `crank_mesh::Handle::view`.
    pub view: watch::Receiver<Arc<View>>,
    /// Whether the node holds the fleet's configuration: `crank_mesh::Handle::ready`. A leaving
    /// node stays ready in this sense.
    pub ready: watch::Receiver<bool>,
    /// The way to the targets' nodes: [`crate::transport::MeshTransport`].
    pub transport: L,
    /// Where every finished request is counted.
    pub burn: Arc<Mutex<burn::BurnCounter>>,
    /// What differs from one platform to another.
    pub conventions: Conventions,
}

/// Takes callers' requests; cloning shares it.
///
/// A request keeps the configuration that it began with. Its deadline covers everything, waiting
/// and retries included. Dropping the future of a request cancels what it has begun.
pub struct EntryProxy<L> {
    shared: Arc<Shared<L>>,
}

impl<L> Clone for EntryProxy<L> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

struct Shared<L> {
    dependencies: Dependencies<L>,
    places: AdmissionController,
    table: ArcSwapOption<RoutingTable>,
    bulkheads: Mutex<BTreeMap<Name, Arc<Bulkhead>>>,
    drain: Mutex<Drain>,
}

/// The places that a request holds.
struct Permits {
    _node: Permit,
    _service: Permit,
}

impl<L: Transport> crank_caller::Gateway for EntryProxy<L> {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        Self::call(self, request).await
    }
}

impl<L: Transport> EntryProxy<L> {
    /// An entry.
    ///
    /// ```
    /// use crank_node::entry::{EntryProxy, Transport, Dependencies};
    /// fn start<L: Transport>(dependencies: Dependencies<L>) -> EntryProxy<L> {
    ///     EntryProxy::new(dependencies)
    /// }
    /// ```
    #[must_use]
    pub fn new(dependencies: Dependencies<L>) -> Self {
        Self::with_node_limit(dependencies, NODE_LIMIT)
    }

    /// An entry with so many places for the requests of all services together.
    ///
    /// When they are full, the least important service's requests are given up first.
    ///
    /// ```
    /// use crank_engine::limit::Capacity;
    /// use crank_node::entry::{EntryProxy, Transport, Dependencies};
    /// fn small<L: Transport>(dependencies: Dependencies<L>) -> EntryProxy<L> {
    ///     EntryProxy::with_node_limit(dependencies, Capacity { slots: 64, queue: 16 })
    /// }
    /// ```
    #[must_use]
    pub fn with_node_limit(dependencies: Dependencies<L>, size: Capacity) -> Self {
        let places = AdmissionController::new(dependencies.clock, size);
        places.announce(Stage::Ready, Millis(0));
        let mut drain = Drain::new();
        drain.set_stage(dependencies.clock.now(), Stage::Ready, Millis(0));
        Self {
            shared: Arc::new(Shared {
                dependencies,
                places,
                table: ArcSwapOption::empty(),
                bulkheads: Mutex::new(BTreeMap::new()),
                drain: Mutex::new(drain),
            }),
        }
    }

    /// Brings a request to a backend server that can serve it, and its answer back.
    ///
    /// # Errors
    /// Why it got no answer, and what is certain about it over all attempts.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// # use crank_protocol::call::Request;
    /// async fn status<L: Transport>(entry: &EntryProxy<L>, request: Request) -> Option<u16> {
    ///     entry.call(request).await.ok().map(|answer| answer.head.status)
    /// }
    /// ```
    pub async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        let began = self.now();
        let label = lines::label(
            &request.headers,
            &self.shared.dependencies.conventions.dialect,
        );
        let prepared = self.prepare(request, began).await;
        let (routed, pass) = prepared.map_err(|refusal| {
            lines::not_routed(&label, &refusal);
            retry::refused(refusal, None)
        })?;
        let result = self.try_targets(&routed).await;
        match result {
            Ok(answer) => Ok(self.finish(routed, pass, answer)),
            Err(refused) => {
                self.count(&routed.rule, &refused, began);
                Err(refused)
            }
        }
    }

    async fn prepare(&self, request: Request, began: Moment) -> Result<(Routed, Permits), Refusal> {
        let table = self.table()?;
        let rule = table
            .find_for_host(&request.host, request.method, &request.path, rand::random())?
            .clone();
        let conventions = &self.shared.dependencies.conventions;
        let asked = Asked::read(&request, &rule, &conventions.dialect)?;
        if asked.depth == 0 {
            self.shared.drain.lock().admit(began, asked.depth)?;
        }
        let deadline = began.after(asked.timeout);
        let bulkhead = self.bulkhead(&rule);
        self.refresh(&bulkhead, table.version(), &rule);
        let turn = self.enter(&bulkhead, &rule, deadline, asked.depth).await;
        let pass = turn.inspect_err(|_| self.record(&rule, false, began))?;
        let routed = Routed {
            leaves_at: began.after(asked.patience),
            label: lines::label(&request.headers, &conventions.dialect),
            head: asked.head(&request, &rule, table.version(), conventions),
            body: request.body,
            rule,
            bulkhead,
            began,
            deadline,
        };
        Ok((routed, pass))
    }

    /// A place of the service first, so that no service waits for another's.
    async fn enter(
        &self,
        bulkhead: &Bulkhead,
        rule: &ResolvedRoute,
        deadline: Moment,
        depth: u32,
    ) -> Result<Permits, Refusal> {
        let bid = AdmissionRequest {
            importance: rule.importance(),
            deadline,
            depth,
            run: None,
        };
        let service = bulkhead.gate().enter(bid).await?;
        let places = &self.shared.places;
        Ok(Permits {
            _node: places.enter(bid).await?,
            _service: service,
        })
    }

    /// Tries one target after another, as long as that is safe and worth it.
    async fn try_targets(&self, routed: &Routed) -> Result<Response, RefusedRequest> {
        let mut search = Search::default();
        let mut reached = 0;
        let mut certain = Outcome::NotRun;
        let mut last = Refusal::NoServer;
        let mut failure = None;
        routed.bulkhead.earn();
        loop {
            self.refresh(&routed.bulkhead, routed.head.version, &routed.rule);
            let Some(next) = search.next(&routed.bulkhead, self.now(), routed.head.depth) else {
                break;
            };
            let result = self.attempt(routed, &next).await;
            if search.note(&next, result.as_ref().err()) {
                continue;
            }
            let tried = search.tried();
            reached += u32::from(result.as_ref().err().is_none_or(|refused| refused.reached));
            let attempt = routed.attempt(tried, reached);
            let now = self.now();
            match result {
                Ok(answer) if answer.head.status < FIRST_SERVER_FAULT => {
                    lines::answered(routed, tried, now);
                    return Ok(answer);
                }
                Ok(answer) => {
                    let again = routed.bulkhead.failed_again(now, attempt);
                    lines::failed(routed, tried, answer.head.status, again);
                    if !again {
                        return Ok(answer);
                    }
                    failure = Some(answer);
                }
                Err(refused) => {
                    certain = retry::combine_outcomes(certain, refused.outcome);
                    let again = routed.bulkhead.again(now, attempt, &refused);
                    lines::refused(routed, tried, &refused, again);
                    last = refused.refusal;
                    if !again {
                        break;
                    }
                }
            }
        }
        failure.ok_or_else(|| {
            let refused = routed.refused(last, certain, self.now(), reached > 0);
            lines::given_up(routed, &search, &refused, self.now());
            refused
        })
    }

    async fn attempt(&self, routed: &Routed, next: &Next) -> Result<Response, RefusedRequest> {
        let choice = &next.choice;
        let began = self.now();
        let mut head = routed.head.clone();
        head.may_queue = next.waits;
        head.expected_run_time = routed.bulkhead.run_of(&routed.rule.name);
        head.time_left = routed.deadline.since(began);
        let spent = began.since(routed.began);
        head.latency_target = head
            .latency_target
            .map(|goal| Millis(goal.0.saturating_sub(spent.0)));
        let flight = bulkhead::Flight::new(
            &routed.bulkhead,
            self.shared.dependencies.clock,
            choice,
            began,
        );
        let call = self
            .shared
            .dependencies
            .transport
            .call(choice, head, routed.body.clone());
        let end = self.shared.dependencies.clock.instant(routed.deadline);
        let result = tokio::time::timeout_at(end, call)
            .await
            .unwrap_or_else(|_| Err(retry::refused(Refusal::TimedOut, None)));
        let took = flight.land(&result);
        // Without a wait, nearly all of the time is the run.
        if let (Some(took), false) = (took, next.waits) {
            routed.bulkhead.note_run(&routed.rule.name, took);
        }
        result
    }

    /// Hands the answer over; the place is held and the request counted until its body has ended.
    fn finish(&self, routed: Routed, pass: Permits, mut answer: Response) -> Response {
        let arrival = Arrival {
            burn: self.shared.dependencies.burn.clone(),
            clock: self.shared.dependencies.clock,
            served: answer.head.status < FIRST_SERVER_FAULT,
            whole: false,
            rule: routed.rule,
            began: routed.began,
            _pass: pass,
        };
        let end = self.shared.dependencies.clock.instant(routed.deadline);
        let body = (answer.body, arrival);
        let held = futures::stream::unfold(Some(body), move |held| async move {
            let (mut body, mut arrival) = held?;
            match tokio::time::timeout_at(end, body.next()).await {
                Ok(Some(Ok(data))) => Some((Ok(data), Some((body, arrival)))),
                Ok(Some(Err(refusal))) => Some((Err(refusal), None)),
                Ok(None) => {
                    arrival.whole = true;
                    None
                }
                Err(_) => Some((Err(Refusal::Cut), None)),
            }
        });
        answer.body = Box::pin(held) as Body;
        answer
    }

    fn table(&self) -> Result<Arc<RoutingTable>, Refusal> {
        if !*self.shared.dependencies.ready.borrow() {
            return Err(Refusal::NotReady);
        }
        let snapshot = self.shared.dependencies.config.borrow().clone();
        let snapshot = snapshot.ok_or(Refusal::NotReady)?;
        let held = self.shared.table.load_full();
        match held {
            Some(table) if table.version() >= snapshot.stamp.version => Ok(table),
            Some(_) | None => {
                let table = Arc::new(RoutingTable::new(&snapshot));
                self.shared.table.store(Some(table.clone()));
                Ok(table)
            }
        }
    }

    fn bulkhead(&self, rule: &ResolvedRoute) -> Arc<Bulkhead> {
        let name = &rule.route.service;
        let mut bulkheads = self.shared.bulkheads.lock();
        if let Some(bulkhead) = bulkheads.get(name) {
            return bulkhead.clone();
        }
        let dependencies = &self.shared.dependencies;
        let bulkhead = Arc::new(Bulkhead::new(dependencies, rule));
        bulkheads.insert(name.clone(), bulkhead.clone());
        bulkhead
    }

    fn refresh(&self, bulkhead: &Bulkhead, version: Version, rule: &ResolvedRoute) {
        let view = self.shared.dependencies.view.borrow().clone();
        bulkhead.refresh(self.now(), version, rule, &view);
    }

    /// The node begins to leave: callers' new requests are refused, those under way are finished.
    ///
    /// What the backend server beside the node asks of other services is still taken, because its
    /// own work in flight may need it.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// # use crank_protocol::Millis;
    /// fn on_sigterm<L: Transport>(entry: &EntryProxy<L>) {
    ///     entry.drain(Millis(30_000));
    /// }
    /// ```
    pub fn drain(&self, grace: Millis) {
        self.shared.drain.lock().start(self.now(), grace);
    }

    /// How far the leaving has come.
    ///
    /// ```
    /// # use crank_engine::drain::{Drain, DrainProgress};
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// fn may_go<L: Transport>(entry: &EntryProxy<L>) -> bool {
    ///     entry.progress() == DrainProgress::Drained
    /// }
    /// ```
    #[must_use]
    pub fn progress(&self) -> DrainProgress {
        let in_flight = self.load().values().map(under_way).sum();
        self.shared.drain.lock().progress(self.now(), in_flight)
    }

    /// The requests under way, service by service.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// fn is_idle<L: Transport>(entry: &EntryProxy<L>) -> bool {
    ///     entry.load().values().all(|load| load.running == 0)
    /// }
    /// ```
    #[must_use]
    pub fn load(&self) -> BTreeMap<Name, Load> {
        let bulkheads = self.shared.bulkheads.lock();
        bulkheads
            .iter()
            .map(|(name, bulkhead)| (name.clone(), bulkhead.gate().load()))
            .collect()
    }

    /// The requests that wait for one of the node's places.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// fn is_full<L: Transport>(entry: &EntryProxy<L>) -> bool {
    ///     entry.waiting() > 0
    /// }
    /// ```
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.shared.places.load().waiting
    }

    /// What is the caller's own doing says nothing of the service.
    fn count(&self, rule: &ResolvedRoute, refused: &RefusedRequest, began: Moment) {
        match refused.refusal {
            Refusal::Cancelled | Refusal::KeyMismatch | Refusal::BadRequest { .. } => {}
            _ => self.record(rule, false, began),
        }
    }

    fn record(&self, rule: &ResolvedRoute, answered: bool, began: Moment) {
        record(
            &self.shared.dependencies.burn,
            rule,
            answered,
            began,
            self.now(),
        );
    }

    fn now(&self) -> Moment {
        self.shared.dependencies.clock.now()
    }
}

fn under_way(load: &Load) -> u32 {
    load.running.saturating_add(load.waiting)
}

/// The first HTTP status by which a backend server says that the fault is its own.
const FIRST_SERVER_FAULT: u16 = 500;

/// An answer that is being handed over.
struct Arrival {
    burn: Arc<Mutex<burn::BurnCounter>>,
    clock: Clock,
    rule: Arc<ResolvedRoute>,
    began: Moment,
    served: bool,
    whole: bool,
    _pass: Permits,
}

impl Drop for Arrival {
    fn drop(&mut self) {
        let answered = self.served && self.whole;
        let now = self.clock.now();
        record(&self.burn, &self.rule, answered, self.began, now);
    }
}

fn record(
    burn: &Mutex<burn::BurnCounter>,
    rule: &ResolvedRoute,
    answered: bool,
    began: Moment,
    now: Moment,
) {
    let objective = rule.objective();
    let good = burn::meets_objective(objective.as_ref(), answered, now.since(began));
    burn.lock().record(&rule.route.service, good, now);
}
