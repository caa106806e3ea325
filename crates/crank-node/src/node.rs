//! A running node: the mesh, the target, the entry and the listener for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::burn::BurnCounter;
use crank_engine::caller_budget::{Bounds, MachineLimits};
use crank_engine::drain::DrainProgress;
use crank_mesh::Handle;
use crank_mesh::call::{Inbound, Pool, SharedUplink};
use crank_platform_client::Rows;
use crank_protocol::member::{Member, Place, State};
use crank_protocol::wire::{Hello, PROTOCOL_VERSION};
use crank_protocol::{Millis, Name};
use crank_server::{Announcement, HeartbeatTracker};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use warp::Filter;

use crate::clock::Clock;
use crate::entry::{self, Conventions, EntryProxy};
use crate::gateway::MeteredGateway;
use crate::metrics::Metrics;
use crate::quota::RateLimiter;
use crate::source::RefusedConfig;
use crate::target::{self, Target};
use crate::transport::MeshTransport;
use crate::watchdog::LongestPause;
use crate::{Error, follow, handover, rollout};

const CALL_SOCKET_QUEUE: usize = 64;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

type NodeTarget<P> = Target<P, crank_server::Forwarder>;
type NodeEntry<P> = EntryProxy<MeshTransport<NodeTarget<P>>>;

/// The options and dependencies of a node, which differ between platforms.
pub struct NodeOptions<P> {
    /// The name of the owner of the deployment.
    pub account: Name,
    /// The node's name.
    pub name: Name,
    /// The node's region and data centre.
    pub place: Place,
    /// The address on which the node listens for other nodes.
    pub mesh_address: SocketAddr,
    /// The bandwidth of the node's network link in Mbit/s; 0 if unknown.
    pub link_mbits: u32,
    /// What the process may use of its machine.
    pub machine: MachineLimits,
    /// Addresses of nodes through which to join the mesh.
    pub seeds: Vec<SocketAddr>,
    /// How long a leaving node may take to finish the requests in flight.
    pub grace: Millis,
    /// How long a leaving node still accepts new requests, until callers know that it leaves.
    pub linger: Millis,
    /// The client of the platform's table service.
    pub platform: P,
    /// The state of the backend server beside the node.
    pub server: HeartbeatTracker,
    /// The listener for callers.
    pub caller_listener: crank_caller::Edge,
    /// The conventions of the platform at the entry.
    pub conventions: Conventions,
}

/// A running node.
pub struct Node<P: Rows> {
    name: Name,
    grace: Millis,
    linger: Millis,
    mesh: Handle,
    entry: NodeEntry<P>,
    target: NodeTarget<P>,
    ready: Arc<watch::Sender<bool>>,
    burn: Arc<Mutex<BurnCounter>>,
    metrics: Arc<Metrics>,
    refused_config: RefusedConfig,
    clock: Clock,
    announced: watch::Receiver<Option<Announcement>>,
    draining: CancellationToken,
    closing: CancellationToken,
    caller_task: tokio::task::JoinHandle<()>,
    call_connections: TaskTracker,
}

impl<P: Rows> Node<P> {
    /// Starts a node, which accepts requests once it holds the current configuration.
    ///
    /// # Errors
    /// Returns [`Error::Mesh`] if the mesh cannot listen on its address.
    ///
    /// ```no_run
    /// # use crank_node::{Error, node::{Node, NodeOptions}};
    /// # use crank_platform_client::Rows;
    /// async fn example<P: Rows>(options: NodeOptions<P>) -> Result<(), Error> {
    ///     let node = Node::start(options).await?;
    ///     node.leave().await;
    ///     Ok(())
    /// }
    /// ```
    pub async fn start(options: NodeOptions<P>) -> Result<Self, Error> {
        let clock = Clock::new();
        let closing = CancellationToken::new();
        let (sockets, accepted) = mpsc::channel(CALL_SOCKET_QUEUE);
        let mesh = crank_mesh::start(mesh_settings(&options), sockets).await?;
        let hello = build_hello(&options, &mesh);
        let announced = handover::drain_before_notice_end(options.server.watch(), mesh.config());
        let dialect = options.conventions.dialect.clone();
        let forwarder = crank_server::Forwarder::new().with_dialect(dialect.clone());
        let target = Target::new(target::Dependencies {
            clock,
            config: mesh.config(),
            announcement: announced.clone(),
            stated_rate: options.server.watch_rate(),
            account: options.account,
            platform: options.platform,
            dialect: dialect.clone(),
            forwarder: forwarder.with_tracker(options.server),
        });
        tokio::spawn(target.clone().track_changes());
        let burn = Arc::new(Mutex::new(BurnCounter::new(clock.now())));
        let transport = MeshTransport::new(
            options.name.clone(),
            target.clone(),
            Pool::new(hello.clone()),
        );
        let entry = EntryProxy::new(entry::Dependencies {
            clock,
            node: options.name.clone(),
            place: options.place,
            config: mesh.config(),
            view: mesh.view(),
            ready: mesh.ready(),
            transport,
            burn: burn.clone(),
            conventions: options.conventions,
        });
        tokio::spawn(rollout::report(entry.rollouts().clone(), mesh.clone()));
        tokio::spawn(entry.rate_limiter().run(mesh.clone()));
        let uplink = SharedUplink::new(options.link_mbits);
        let call_connections = TaskTracker::new();
        let call_server = CallServer {
            hello: Arc::new(hello),
            target: target.clone(),
            uplink,
            closing: closing.clone(),
            connections: call_connections.clone(),
        };
        tokio::spawn(call_server.run(accepted));
        let refused_config = RefusedConfig::default();
        let metrics = Arc::new(register_metrics(&mesh, &target, &entry, &refused_config));
        metrics.add_longest_pause(LongestPause::start(clock));
        let gateway = MeteredGateway::new(entry.clone(), metrics.clone());
        let edge = options
            .caller_listener
            .with_dialect(dialect)
            .with_config(mesh.config())
            .with_close_delay(MIN_CLOSE_DELAY.max(options.linger.into()));
        let caller_task = tokio::spawn(edge.run(gateway, closing.clone()));
        Ok(Self {
            name: options.name,
            grace: options.grace,
            linger: options.linger,
            mesh,
            entry,
            target,
            ready: Arc::new(watch::Sender::new(false)),
            burn,
            metrics,
            refused_config,
            clock,
            announced,
            draining: CancellationToken::new(),
            closing,
            caller_task,
            call_connections,
        })
    }

    /// Starts to announce this node and its backend server to the other nodes.
    ///
    /// `operators` is the address for operators' queries, if the node has one.
    ///
    /// ```
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// fn example<P: Rows>(node: &Node<P>) {
    ///     node.start_announcing(None);
    /// }
    /// ```
    pub fn start_announcing(&self, operators: Option<SocketAddr>) {
        let draining = self.draining.clone();
        let announce = follow::announce(self.announced.clone(), draining, self.mesh.clone());
        tokio::spawn(announce);
        let (mesh, ready) = (self.mesh.clone(), self.ready.clone());
        let (target, draining) = (self.target.clone(), self.draining.clone());
        let status = follow::publish_local_status(mesh, ready, target, draining, operators);
        tokio::spawn(status);
    }

    /// Returns the handle of the node's mesh.
    ///
    /// ```
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// fn address<P: Rows>(node: &Node<P>) -> std::net::SocketAddr {
    ///     node.mesh().address()
    /// }
    /// ```
    #[must_use]
    pub fn mesh(&self) -> &Handle {
        &self.mesh
    }

    /// Returns whether the node accepts callers' requests: it holds the configuration and is not
    /// leaving.
    ///
    /// ```
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// fn is_ready<P: Rows>(node: &Node<P>) -> bool {
    ///     *node.ready().borrow()
    /// }
    /// ```
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Returns a token that is cancelled when the node starts to leave.
    ///
    /// ```
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// fn is_leaving<P: Rows>(node: &Node<P>) -> bool {
    ///     node.draining().is_cancelled()
    /// }
    /// ```
    #[must_use]
    pub fn draining(&self) -> CancellationToken {
        self.draining.clone()
    }

    /// Returns the record of configurations that the node cannot use, for [`crate::source::follow`].
    ///
    /// ```
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// fn is_up_to_date<P: Rows>(node: &Node<P>) -> bool {
    ///     node.refused_config().fault().is_none()
    /// }
    /// ```
    #[must_use]
    pub fn refused_config(&self) -> RefusedConfig {
        self.refused_config.clone()
    }

    /// Starts to take part in the decisions about roll-outs.
    ///
    /// ```
    /// # use crank_node::node::Node;
    /// # use crank_node::rollout::RolloutBoard;
    /// # use crank_platform_client::Rows;
    /// fn example<P: Rows, B: RolloutBoard>(node: &Node<P>, platform: P, board: B) {
    ///     node.start_deciding(crank_protocol::Name::new("sutkent").unwrap(), platform, board);
    /// }
    /// ```
    pub fn start_deciding<B: rollout::RolloutBoard>(&self, account: Name, platform: P, board: B) {
        let deciding = rollout::DecidingNode {
            account,
            node: self.name.clone(),
            clock: self.clock,
            platform,
            board,
            mesh: self.mesh.clone(),
        };
        tokio::spawn(rollout::decide(deciding));
    }

    /// Returns a token that is cancelled when the node closes its connections.
    pub(crate) fn closing(&self) -> CancellationToken {
        self.closing.clone()
    }

    /// Returns what operators query: the clock, the burn counters of the objectives and the
    /// metrics.
    pub(crate) fn observability(&self) -> (Clock, Arc<Mutex<BurnCounter>>, Arc<Metrics>) {
        (self.clock, self.burn.clone(), self.metrics.clone())
    }

    /// Returns the limiter of the client accounts' requests.
    pub(crate) fn rate_limiter(&self) -> RateLimiter {
        self.entry.rate_limiter()
    }

    /// Serves the metrics as text, at any path of the listener.
    ///
    /// ```no_run
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// # use crank_engine::caller_budget::Bounds;
    /// async fn example<P: Rows>(node: &Node<P>, listener: tokio::net::TcpListener, bounds: Bounds) {
    ///     node.serve_metrics(listener, bounds);
    /// }
    /// ```
    pub fn serve_metrics(&self, listener: TcpListener, bounds: Bounds) {
        let metrics = self.metrics.clone();
        let text = warp::any().map(move || metrics.encode());
        tokio::spawn(crank_stream::serve(listener, warp::service(text), bounds));
    }

    /// Shuts the node down: keeps accepting requests for the linger period, then refuses new ones,
    /// finishes those in flight and leaves the mesh.
    ///
    /// ```no_run
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// async fn on_sigterm<P: Rows>(node: Node<P>) {
    ///     node.leave().await;
    /// }
    /// ```
    pub async fn leave(self) {
        log::info!(node:% = self.name; "leaving");
        self.ready.send_replace(false);
        self.draining.cancel();
        let grace = Duration::from(self.linger) + Duration::from(self.grace);
        let last_answer = grace.saturating_sub(ANSWER_TIME);
        let ends_at = tokio::time::Instant::now() + last_answer;
        self.entry.announce_end(last_answer.into());
        self.target.announce_end(last_answer.into());
        if self.linger > Millis(0) {
            self.closing.cancel();
            tokio::time::sleep(self.linger.into()).await;
        }
        self.entry.start_drain(self.grace);
        self.target.start_drain(self.grace);
        let drained = tokio::time::timeout_at(ends_at, self.wait_until_drained())
            .await
            .is_ok();
        if !drained {
            let load = self.target.load();
            log::error!(
                running = load.running,
                waiting = load.waiting,
                unsettled = self.target.unsettled_claims();
                "grace period ended with work in flight; ending it"
            );
            self.entry.end_attempts();
        }
        self.closing.cancel();
        let close_delay = if self.linger > Millis(0) {
            Duration::ZERO
        } else {
            MIN_CLOSE_DELAY
        };
        let closes_by = ends_at.max(tokio::time::Instant::now() + close_delay) + MAX_CLOSE_TIME;
        let closed = close_connections(self.caller_task, self.call_connections);
        if tokio::time::timeout_at(closes_by, closed).await.is_err() {
            log::warn!("connections of callers or other nodes were still open and are cut");
        }
        self.mesh.leave().await;
        log::info!(node:% = self.name, drained = drained; "left");
    }

    async fn wait_until_drained(&self) {
        while self.entry.progress() != DrainProgress::Drained
            || self.target.progress() != DrainProgress::Drained
            || self.target.unsettled_claims() > 0
        {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// How long before the end of the grace period the last request ends, so that its answer is still
/// passed on.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// How long connections may take to close after the last request has ended.
const MAX_CLOSE_TIME: Duration = Duration::from_millis(300);
/// The shortest time for which a leaving node asks callers to close their connections before it
/// closes them itself.
const MIN_CLOSE_DELAY: Duration = Duration::from_secs(1);

fn mesh_settings<P>(options: &NodeOptions<P>) -> crank_mesh::Settings {
    let (account, name, place) = (&options.account, &options.name, &options.place);
    crank_mesh::Settings::new(
        account.clone(),
        name.clone(),
        place.clone(),
        options.mesh_address,
    )
    .with_link_mbits(options.link_mbits)
    .with_machine(options.machine)
    .with_seeds(options.seeds.clone())
}

fn build_hello<P>(options: &NodeOptions<P>, mesh: &Handle) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        account: options.account.clone(),
        member: Member {
            id: options.name.clone(),
            place: options.place.clone(),
            address: mesh.address(),
            incarnation: 0,
            link: options.link_mbits,
            state: State::Alive,
            endpoint: None,
        },
    }
}

fn register_metrics<P: Rows>(
    mesh: &Handle,
    target: &NodeTarget<P>,
    entry: &NodeEntry<P>,
    refused_config: &RefusedConfig,
) -> Metrics {
    let metrics = Metrics::new();
    metrics.add_mesh(mesh.clone());
    metrics.add_slot_time(target.admission().clone());
    metrics.add_stated_rate(target.stated_rate());
    metrics.add_refused_config(refused_config.clone());
    metrics.add_rollouts(entry.rollouts().clone());
    metrics.add_accounts(entry.rate_limiter());
    metrics
}

/// Waits until callers and other nodes have taken the responses that are on their way to them.
async fn close_connections(
    caller_task: tokio::task::JoinHandle<()>,
    call_connections: TaskTracker,
) {
    if let Err(error) = caller_task.await {
        log::error!(error:% = error; "the listener for callers ended with an error");
    }
    call_connections.close();
    call_connections.wait().await;
}

/// Serves the calls of other nodes.
struct CallServer<P> {
    hello: Arc<Hello>,
    target: NodeTarget<P>,
    uplink: SharedUplink,
    closing: CancellationToken,
    connections: TaskTracker,
}

impl<P: Rows> CallServer<P> {
    async fn run(self, mut accepted: mpsc::Receiver<Inbound>) {
        while let Some(inbound) = accepted.recv().await {
            let (hello, target) = (self.hello.clone(), self.target.clone());
            let (uplink, closing) = (self.uplink.clone(), self.closing.clone());
            self.connections.spawn(async move {
                let served = inbound.serve(&hello, target, uplink, closing).await;
                if let Err(error) = served {
                    log::debug!(error:% = error; "call connection closed");
                }
            });
        }
    }
}
