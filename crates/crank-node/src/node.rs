//! What every node is made of: mesh, target, entry and the callers' edge.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::burn::BurnCounter;
use crank_engine::drain::DrainProgress;
use crank_mesh::call::{self, Pool};
use crank_mesh::{Handle, Socket};
use crank_platform_client::Rows;
use crank_protocol::member::{Member, Place, State};
use crank_protocol::wire::{Hello, PROTOCOL_VERSION};
use crank_protocol::{Millis, Name};
use crank_server::Announcement;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use warp::Filter;

use crate::clock::Clock;
use crate::entry::{self, Conventions, EntryProxy};
use crate::gateway::MeteredGateway;
use crate::metrics::Metrics;
use crate::target::{self, Target};
use crate::transport::MeshTransport;
use crate::{Error, follow, handover};

const CALL_SOCKETS: usize = 64;
const DRAIN_POLL: Duration = Duration::from_millis(20);

type NodeTarget<P> = Target<P, crank_server::Forwarder>;
type NodeEntry<P> = EntryProxy<MeshTransport<NodeTarget<P>>>;

/// What a node is made of; the platforms differ in how these come about.
pub struct NodeOptions<P> {
    /// The client account.
    pub account: Name,
    /// The node's name.
    pub name: Name,
    /// Where the node stands.
    pub place: Place,
    /// Where it meets other nodes.
    pub mesh: SocketAddr,
    /// What its link carries, in Mbit/s; 0 where that is not known.
    pub link: u32,
    /// Nodes to meet first.
    pub seeds: Vec<SocketAddr>,
    /// How long what runs may take once the node leaves.
    pub grace: Millis,
    /// How long a leaving node still takes new requests, until callers know that it leaves.
    pub linger: Millis,
    /// The platform's table service.
    pub platform: P,
    /// What the backend server beside the node announces.
    pub announcement: watch::Receiver<Option<Announcement>>,
    /// The listener for callers.
    pub caller_listener: crank_caller::Edge,
    /// What differs at the entry from one platform to another.
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
    clock: Clock,
    announced: watch::Receiver<Option<Announcement>>,
    draining: CancellationToken,
    leaving: CancellationToken,
    edge: tokio::task::JoinHandle<()>,
}

impl<P: Rows> Node<P> {
    /// Starts a node that takes requests once it may claim to hold the fleet's configuration.
    ///
    /// # Errors
    /// [`Error::Mesh`] where its address is taken.
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
        let leaving = CancellationToken::new();
        let (sockets, accepted) = mpsc::channel(CALL_SOCKETS);
        let mesh = crank_mesh::start(mesh_settings(&options), sockets).await?;
        let hello = hello(&options, &mesh);
        let announced = handover::drain_before_notice_end(options.announcement, mesh.config());
        let dialect = options.conventions.dialect.clone();
        let target = Target::new(target::Dependencies {
            clock,
            config: mesh.config(),
            announced: announced.clone(),
            account: options.account,
            platform: options.platform,
            dialect: dialect.clone(),
            forwarder: crank_server::Forwarder::new().with_dialect(dialect.clone()),
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
        let calls = serve_calls(accepted, hello, target.clone(), leaving.clone());
        tokio::spawn(calls);
        let metrics = Arc::new(Metrics::new());
        metrics.add_mesh(mesh.clone());
        let front = MeteredGateway::new(entry.clone(), metrics.clone());
        let edge = options.caller_listener.with_dialect(dialect);
        let edge = edge.with_close_delay(GENTLE_CLOSE.max(options.linger.into()));
        let edge = tokio::spawn(edge.run(front, leaving.clone()));
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
            clock,
            announced,
            draining: CancellationToken::new(),
            leaving,
            edge,
        })
    }

    /// Begins to tell the other nodes what this one and its backend server are up to.
    ///
    /// `operators` is where operators ask this node, if they can.
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

    /// The mesh.
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

    /// Whether it takes callers' requests: it holds the configuration and does not leave.
    ///
    /// ```
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// fn takes<P: Rows>(node: &Node<P>) -> bool {
    ///     *node.ready().borrow()
    /// }
    /// ```
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Ends once the node begins to leave.
    ///
    /// ```
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// fn leaves<P: Rows>(node: &Node<P>) -> bool {
    ///     node.draining().is_cancelled()
    /// }
    /// ```
    #[must_use]
    pub fn draining(&self) -> CancellationToken {
        self.draining.clone()
    }

    /// Ends once the node has finished its work and closes its connections.
    pub(crate) fn left(&self) -> CancellationToken {
        self.leaving.clone()
    }

    /// Its clock, the burn of its objectives and its metrics, as operators ask for them.
    pub(crate) fn observability(&self) -> (Clock, Arc<Mutex<BurnCounter>>, Arc<Metrics>) {
        (self.clock, self.burn.clone(), self.metrics.clone())
    }

    /// Serves the metrics as text, at any path, until the node has left.
    ///
    /// ```no_run
    /// # use crank_node::node::Node;
    /// # use crank_platform_client::Rows;
    /// async fn example<P: Rows>(node: &Node<P>, listener: tokio::net::TcpListener) {
    ///     node.serve_metrics(listener);
    /// }
    /// ```
    pub fn serve_metrics(&self, listener: TcpListener) {
        let metrics = self.metrics.clone();
        let text = warp::any().map(move || metrics.encode());
        tokio::spawn(warp::serve(text).incoming(listener).run());
    }

    /// Takes nothing new once its linger is over, finishes what is in flight, and goes.
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
        if self.linger > Millis(0) {
            self.leaving.cancel();
            tokio::time::sleep(self.linger.into()).await;
        }
        self.entry.start_drain(self.grace);
        self.target.start_drain(self.grace);
        let patience = Duration::from(self.grace);
        let drained = tokio::time::timeout(patience, self.drained()).await.is_ok();
        if !drained {
            let load = self.target.load();
            log::error!(
                running = load.running,
                waiting = load.waiting,
                unsettled = self.target.unsettled_claims();
                "work outlasts the grace"
            );
        }
        self.leaving.cancel();
        let _ = tokio::time::timeout(patience, self.edge).await;
        self.mesh.leave().await;
        log::info!(node:% = self.name, drained = drained; "left");
    }

    async fn drained(&self) {
        while self.entry.progress() != DrainProgress::Drained
            || self.target.progress() != DrainProgress::Drained
            || self.target.unsettled_claims() > 0
        {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

/// How long the callers' connections are closed between requests before they are cut off.
const GENTLE_CLOSE: Duration = Duration::from_secs(1);

fn mesh_settings<P>(options: &NodeOptions<P>) -> crank_mesh::Settings {
    let (account, name, place) = (&options.account, &options.name, &options.place);
    crank_mesh::Settings::new(account.clone(), name.clone(), place.clone(), options.mesh)
        .with_link_mbits(options.link)
        .with_seeds(options.seeds.clone())
}

fn hello<P>(options: &NodeOptions<P>, mesh: &Handle) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        account: options.account.clone(),
        member: Member {
            id: options.name.clone(),
            place: options.place.clone(),
            address: mesh.address(),
            incarnation: 0,
            link: options.link,
            state: State::Alive,
            endpoint: None,
        },
    }
}

async fn serve_calls<P: Rows>(
    mut accepted: mpsc::Receiver<Socket>,
    hello: Hello,
    target: NodeTarget<P>,
    leaving: CancellationToken,
) {
    let hello = Arc::new(hello);
    while let Some(socket) = accepted.recv().await {
        let (hello, target, leaving) = (hello.clone(), target.clone(), leaving.clone());
        tokio::spawn(async move {
            if let Err(error) = call::serve(socket, &hello, target, leaving).await {
                log::debug!(error:% = error; "call connection closed");
            }
        });
    }
}
