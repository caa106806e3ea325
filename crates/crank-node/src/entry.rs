//! The entry of the mesh: routes callers' requests, chooses targets and retries where that is safe.

mod attempt;
mod buffer;
mod bulkhead;
mod caller;
mod conventions;
mod drain;
mod lines;
mod options;
mod prepare;
mod routed;
mod search;
mod transfer;

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use crank_engine::balance::ChosenTarget;
use crank_engine::client_retry::ClientRetries;
use crank_engine::drain::Drain;
use crank_engine::limit::Capacity;
use crank_engine::route::{ResolvedRoute, RoutingTable};
use crank_engine::{Moment, burn, retry};
use crank_mesh::View;
use crank_protocol::call::{Refusal, RefusedRequest, Request, RequestHead, Response};
use crank_protocol::config::{Method, Snapshot, Version};
use crank_protocol::member::{Place, Stage};
use crank_protocol::{Millis, Name};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::admission::AdmissionController;
use crate::clock::Clock;
use crate::quota::RateLimiter;
use crate::rollout::Rollouts;
use buffer::ResponseBuffers;
use bulkhead::Bulkhead;
use prepare::RequestPermits;
use routed::RoutedRequest;
use transfer::{ResponseTransfer, record};

pub use conventions::{Conventions, RepeatLimit};

/// The default limit on the requests of all services together at one node.
pub const NODE_LIMIT: Capacity = Capacity {
    slots: 2_048,
    queue: 256,
};

/// Sends requests to the nodes of their targets, this node included.
pub trait Transport: Send + Sync + 'static {
    /// Sends one attempt to a target's node; dropping the future cancels it.
    ///
    /// # Errors
    /// Returns the refusal of the target's node; [`Refusal::NotSent`] only if that node has
    /// certainly received nothing of the attempt; otherwise [`Refusal::Lost`],
    /// [`Refusal::TimedOut`] or [`Refusal::Cut`].
    fn call(
        &self,
        target: &ChosenTarget,
        head: RequestHead,
        body: Bytes,
    ) -> impl Future<Output = Result<Response, RefusedRequest>> + Send;
}

/// The dependencies of an [`EntryProxy`].
pub struct Dependencies<T> {
    /// The clock of the process.
    pub clock: Clock,
    /// The node's name, from its settings.
    pub node: Name,
    /// The node's region and data centre, from its settings.
    pub place: Place,
    /// The configuration in force: `crank_mesh::Handle::config`.
    pub config: watch::Receiver<Option<Arc<Snapshot>>>,
    /// All members, this node included: `crank_mesh::Handle::view`.
    pub view: watch::Receiver<Arc<View>>,
    /// Whether the node holds the current configuration: `crank_mesh::Handle::ready`. A leaving
    /// node stays ready in this sense.
    pub ready: watch::Receiver<bool>,
    /// Sends attempts to the targets' nodes: [`crate::transport::MeshTransport`].
    pub transport: T,
    /// Counts every finished request as good or bad for its objective.
    pub burn: Arc<Mutex<burn::BurnCounter>>,
    /// The conventions of the platform.
    pub conventions: Conventions,
}

/// Routes callers' requests to targets and retries them; clones share their state.
///
/// A request keeps the configuration that it started with. Its deadline covers everything,
/// including waits and retries. Dropping the future of a request cancels its attempts.
pub struct EntryProxy<T> {
    shared: Arc<Shared<T>>,
}

impl<T> Clone for EntryProxy<T> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

struct Shared<T> {
    dependencies: Dependencies<T>,
    node_limit: AdmissionController,
    table: ArcSwapOption<RoutingTable>,
    bulkheads: Mutex<BTreeMap<Name, Arc<Bulkhead>>>,
    drain: Mutex<Drain>,
    rollouts: Rollouts,
    rate_limiter: RateLimiter,
    buffers: ResponseBuffers,
    client_retries: Mutex<ClientRetries>,
    /// Cancelled when all attempts must end, because the node does.
    ending: CancellationToken,
}

impl<T: Transport> crank_caller::Gateway for EntryProxy<T> {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        Self::call(self, request).await
    }

    fn may_start_ahead(&self, method: Method, host: &str, path: &str) -> bool {
        // The services that a route is split to share its `idempotent`: any draw will do.
        let is_idempotent = |table: Arc<RoutingTable>| {
            let route = table.find_for_host(host, method, path, 0);
            route.is_ok_and(|route| route.route.idempotent)
        };
        self.table().is_ok_and(is_idempotent)
    }
}

impl<T: Transport> EntryProxy<T> {
    /// Creates an entry with the default limit, [`NODE_LIMIT`].
    ///
    /// ```
    /// use crank_node::entry::{EntryProxy, Transport, Dependencies};
    /// fn start<T: Transport>(dependencies: Dependencies<T>) -> EntryProxy<T> {
    ///     EntryProxy::new(dependencies)
    /// }
    /// ```
    #[must_use]
    pub fn new(dependencies: Dependencies<T>) -> Self {
        Self::with_node_limit(dependencies, NODE_LIMIT)
    }

    /// Creates an entry with its own limit on the requests of all services together.
    ///
    /// When the limit is reached, requests of the least important service are refused first.
    ///
    /// ```
    /// use crank_engine::limit::Capacity;
    /// use crank_node::entry::{EntryProxy, Transport, Dependencies};
    /// fn small<T: Transport>(dependencies: Dependencies<T>) -> EntryProxy<T> {
    ///     EntryProxy::with_node_limit(dependencies, Capacity { slots: 64, queue: 16 })
    /// }
    /// ```
    #[must_use]
    pub fn with_node_limit(dependencies: Dependencies<T>, capacity: Capacity) -> Self {
        let node_limit = AdmissionController::new(dependencies.clock, capacity);
        node_limit.set_stage(Stage::Ready, Millis(0));
        let limit = dependencies.conventions.exposure;
        let rollouts = Rollouts::new(dependencies.clock, limit);
        let mut drain = Drain::new();
        drain.set_stage(dependencies.clock.now(), Stage::Ready, Millis(0));
        Self {
            shared: Arc::new(Shared {
                rate_limiter: RateLimiter::new(dependencies.clock),
                buffers: ResponseBuffers::new(dependencies.clock),
                dependencies,
                node_limit,
                table: ArcSwapOption::empty(),
                bulkheads: Mutex::new(BTreeMap::new()),
                drain: Mutex::new(drain),
                rollouts,
                client_retries: Mutex::default(),
                ending: CancellationToken::new(),
            }),
        }
    }

    /// Returns the roll-outs that decide which servers of a service get requests.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// fn has_evidence<T: Transport>(entry: &EntryProxy<T>) -> bool {
    ///     !entry.rollouts().evidence().is_empty()
    /// }
    /// ```
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.shared.rollouts
    }

    /// Sends a request to a backend server that can serve it, and returns the response.
    ///
    /// # Errors
    /// Returns why there is no response, and what is certain about the request over all attempts.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// # use crank_protocol::call::Request;
    /// async fn status<T: Transport>(entry: &EntryProxy<T>, request: Request) -> Option<u16> {
    ///     entry.call(request).await.ok().map(|response| response.head.status)
    /// }
    /// ```
    pub async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        let started_at = self.now();
        let label = lines::request_label(
            &request.headers,
            &self.shared.dependencies.conventions.dialect,
        );
        let prepared = self.prepare(request, started_at).await;
        let (routed, permits) = prepared.map_err(|rejected| {
            lines::not_routed(&label, &rejected);
            retry::refused(rejected.refusal, None)
        })?;
        let result = self.try_targets(&routed).await;
        match result {
            Ok(response) => {
                if response.head.status >= MIN_SERVER_ERROR_STATUS {
                    self.record_failure(&routed.client, routed.first_arrival);
                }
                Ok(self.finish(routed, permits, response))
            }
            Err(refused) => {
                routed.return_token(&refused);
                self.record_failure(&routed.client, routed.first_arrival);
                self.count_refusal(&routed.rule, &refused, started_at);
                Err(refused)
            }
        }
    }

    /// Passes the response on. Its permits are held, and the request is counted, until the body
    /// ends.
    fn finish(
        &self,
        routed: RoutedRequest,
        permits: RequestPermits,
        response: Response,
    ) -> Response {
        let transfer = ResponseTransfer {
            burn: self.shared.dependencies.burn.clone(),
            clock: self.shared.dependencies.clock,
            succeeded: response.head.status < MIN_SERVER_ERROR_STATUS,
            complete: false,
            rule: routed.rule,
            started_at: routed.started_at,
            _permits: permits,
        };
        transfer.pass_on(response, routed.deadline)
    }

    fn table(&self) -> Result<Arc<RoutingTable>, Refusal> {
        if !*self.shared.dependencies.ready.borrow() {
            return Err(Refusal::NotReady);
        }
        self.latest_table()
    }

    /// Checks the key of a request against the configuration in force, which may be newer than the
    /// one that routed the request.
    fn check_caller(&self, routed: &RoutedRequest) -> Result<(), Refusal> {
        routed.caller.check(&routed.rule, &*self.latest_table()?)
    }

    fn latest_table(&self) -> Result<Arc<RoutingTable>, Refusal> {
        let snapshot = self.shared.dependencies.config.borrow().clone();
        let snapshot = snapshot.ok_or(Refusal::NotReady)?;
        let current = self.shared.table.load_full();
        match current {
            Some(table) if table.version() >= snapshot.stamp.version => Ok(table),
            Some(_) | None => {
                let table = Arc::new(RoutingTable::new(&snapshot));
                self.shared.rate_limiter.apply(&snapshot);
                self.shared.table.store(Some(table.clone()));
                Ok(table)
            }
        }
    }

    /// Returns the limiter of the client accounts' requests.
    pub(crate) fn rate_limiter(&self) -> RateLimiter {
        self.shared.rate_limiter.clone()
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

    /// Counts a refused request against the objective, unless the caller caused the refusal.
    fn count_refusal(&self, rule: &ResolvedRoute, refused: &RefusedRequest, started_at: Moment) {
        match refused.refusal {
            Refusal::Cancelled | Refusal::KeyMismatch | Refusal::BadRequest { .. } => {}
            _ => self.record(rule, false, started_at),
        }
    }

    fn record(&self, rule: &ResolvedRoute, answered: bool, started_at: Moment) {
        record(
            &self.shared.dependencies.burn,
            rule,
            answered,
            started_at,
            self.now(),
        );
    }

    fn now(&self) -> Moment {
        self.shared.dependencies.clock.now()
    }
}

/// The lowest HTTP status that reports a failure of the backend server.
pub(crate) const MIN_SERVER_ERROR_STATUS: u16 = 500;
