//! The life of a node: start, serve, leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::burn::Burn;
use crank_engine::drain::Progress;
use crank_engine::overlay;
use crank_mesh::call::{self, Pool};
use crank_mesh::{Handle, Socket, Step, View, Vitals};
use crank_platform_client::Remote;
use crank_protocol::Name;
use crank_protocol::config::Snapshot;
use crank_protocol::member::{Endpoint, Member, Stage, State};
use crank_protocol::wire::{Hello, PROTOCOL};
use crank_server::{Announcement, Announcements};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::desk::Office;
use crate::entry::{self, Entry};
use crate::front::Front;
use crate::handover;
use crate::join::Join;
use crate::metrics::Metrics;
use crate::publisher;
use crate::target::{self, Target};
use crate::wire::Wire;
use crate::{Error, Settings};

const CALL_SOCKETS: usize = 64;
const VITALS_PERIOD: Duration = Duration::from_millis(500);
const DRAIN_POLL: Duration = Duration::from_millis(20);
const PUBLISHER_CANDIDATES: usize = 3;

type NodeTarget = Target<Remote, crank_server::Forwarder>;
type NodeEntry = Entry<Wire<NodeTarget>>;

/// Runs a node until it is told to leave by SIGTERM or SIGINT, and has left.
///
/// The first line on standard output names the addresses that it listens on.
///
/// # Errors
/// What kept the node from starting.
///
/// ```no_run
/// # async fn example() -> Result<(), crank_node::Error> {
/// let settings = crank_node::Settings::load(std::path::Path::new("node.ini"))?;
/// crank_node::run(settings).await
/// # }
/// ```
pub async fn run(settings: Settings) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    let node = Node::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.leave().await;
    Ok(())
}

struct Node {
    settings: Settings,
    mesh: Handle,
    entry: NodeEntry,
    target: NodeTarget,
    _announcements: Announcements,
    announced: watch::Receiver<Option<Announcement>>,
    ready: Arc<watch::Sender<bool>>,
    draining: CancellationToken,
    leaving: CancellationToken,
    edge: tokio::task::JoinHandle<()>,
}

impl Node {
    async fn start(mut settings: Settings) -> Result<Self, Error> {
        let clock = Clock::new();
        let leaving = CancellationToken::new();
        let platform = Remote::new(&settings.platform.access())?;
        let announcements = Announcements::new(settings.listen.servers).await?;
        let edge = crank_caller::Edge::new(settings.listen.callers).await?;
        let operators = listen(&settings).await?;
        settings.listen.operators = operators.local_addr().unwrap_or(settings.listen.operators);
        let (sockets, accepted) = mpsc::channel(CALL_SOCKETS);
        let mesh = crank_mesh::start(mesh_settings(&settings), sockets).await?;
        let (ready, is_ready) = watch::channel(false);
        let announced = handover::follow(announcements.watch(), mesh.config());
        let target = Target::new(target::Parts {
            clock,
            config: mesh.config(),
            announced: announced.clone(),
            account: settings.platform.account.clone(),
            platform: platform.clone(),
            forwarder: crank_server::Forwarder::new()?,
        });
        let hello = hello(&settings, &mesh);
        let burn = Arc::new(Mutex::new(Burn::new(clock.now())));
        let entry = Entry::new(entry::Parts {
            clock,
            own: settings.name.clone(),
            place: settings.place.clone(),
            config: mesh.config(),
            view: mesh.view(),
            ready: mesh.ready(),
            links: Wire::new(
                settings.name.clone(),
                target.clone(),
                Pool::new(hello.clone()),
            ),
            burn: burn.clone(),
        });
        let metrics = Arc::new(Metrics::new());
        metrics.add_mesh(mesh.clone());
        let office = Office {
            clock,
            own: settings.name.clone(),
            account: settings.platform.account.clone(),
            platform: platform.clone(),
            mesh: mesh.clone(),
            ready: is_ready,
            burn,
            metrics: metrics.clone(),
        };
        say_addresses(&settings, &mesh, &announcements, &edge);
        tokio::spawn(crank_operator::listener::serve(
            operators,
            office,
            leaving.clone().cancelled_owned(),
        ));
        tokio::spawn(serve_calls(
            accepted,
            hello,
            target.clone(),
            leaving.clone(),
        ));
        tokio::spawn(target.clone().follow());
        let edge = tokio::spawn(edge.run(Front::new(entry.clone(), metrics), leaving.clone()));
        let node = Self {
            settings,
            mesh,
            entry,
            target,
            _announcements: announcements,
            announced,
            ready: Arc::new(ready),
            draining: CancellationToken::new(),
            leaving,
            edge,
        };
        node.follow(platform);
        Ok(node)
    }

    /// Starts what goes on beside requests: joining, publishing, announcing, vitals.
    fn follow(&self, platform: Remote) {
        let join = Join {
            account: self.settings.platform.account.clone(),
            own: self.settings.name.clone(),
            place: self.settings.place.clone(),
            platform: platform.clone(),
            mesh: self.mesh.clone(),
        };
        tokio::spawn(join.clone().until_ready());
        tokio::spawn(join.keep_contact());
        self.publish(platform);
        tokio::spawn(announce(
            self.announced.clone(),
            self.draining.clone(),
            self.mesh.clone(),
        ));
        let operators = reachable(self.settings.listen.operators, &self.mesh);
        let (mesh, ready) = (self.mesh.clone(), self.ready.clone());
        let (target, draining) = (self.target.clone(), self.draining.clone());
        tokio::spawn(vitals(mesh, ready, target, draining, operators));
    }

    fn publish(&self, platform: Remote) {
        let account = self.settings.platform.account.clone();
        let settings = publisher::Settings::new(account, self.settings.name.clone());
        let (candidate, is_candidate) = watch::channel(false);
        let (accepted, found) = mpsc::channel(1);
        let publisher = publisher::start(platform, settings, is_candidate, accepted);
        let (mesh, region) = (self.mesh.clone(), self.settings.platform.region.clone());
        let draining = self.draining.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = candidacy(mesh, region, candidate) => {}
                () = draining.cancelled() => {}
            }
            publisher::stop(publisher).await;
        });
        tokio::spawn(offer(found, self.mesh.clone()));
    }

    /// Takes nothing new, finishes what is in flight, and goes.
    async fn leave(self) {
        log::info!(node:% = self.settings.name; "leaving");
        let grace = self.settings.grace;
        self.entry.drain(grace);
        self.target.drain(grace);
        self.ready.send_replace(false);
        self.draining.cancel();
        let patience = Duration::from(grace);
        let drained = tokio::time::timeout(patience, self.drained()).await.is_ok();
        if !drained {
            let load = self.target.load();
            log::error!(
                running = load.running,
                waiting = load.waiting,
                unsettled = self.target.unsettled();
                "work outlasts the grace"
            );
        }
        self.leaving.cancel();
        let _ = tokio::time::timeout(patience, self.edge).await;
        self.mesh.leave().await;
        log::info!(node:% = self.settings.name, drained = drained; "left");
    }

    async fn drained(&self) {
        while self.entry.progress() != Progress::Drained
            || self.target.progress() != Progress::Drained
            || self.target.unsettled() > 0
        {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

fn mesh_settings(settings: &Settings) -> crank_mesh::Settings {
    let account = settings.platform.account.clone();
    let (name, place) = (settings.name.clone(), settings.place.clone());
    crank_mesh::Settings::new(account, name, place, settings.listen.mesh)
        .with_seeds(settings.seeds.clone())
}

async fn listen(settings: &Settings) -> Result<TcpListener, Error> {
    let address = settings.listen.operators;
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })
}

fn hello(settings: &Settings, mesh: &Handle) -> Hello {
    Hello {
        protocol: PROTOCOL,
        account: settings.platform.account.clone(),
        member: Member {
            id: settings.name.clone(),
            place: settings.place.clone(),
            address: mesh.address(),
            incarnation: 0,
            state: State::Alive,
            endpoint: None,
        },
    }
}

#[expect(
    clippy::print_stdout,
    reason = "whoever starts the node reads its addresses there"
)]
fn say_addresses(
    settings: &Settings,
    mesh: &Handle,
    announcements: &Announcements,
    edge: &crank_caller::Edge,
) {
    println!(
        "listening callers={} mesh={} servers={} operators={}",
        edge.address(),
        mesh.address(),
        announcements.address(),
        settings.listen.operators,
    );
}

async fn serve_calls(
    mut accepted: mpsc::Receiver<Socket>,
    hello: Hello,
    target: NodeTarget,
    leaving: CancellationToken,
) {
    let hello = Arc::new(hello);
    while let Some(socket) = accepted.recv().await {
        let (hello, target, leaving) = (hello.clone(), target.clone(), leaving.clone());
        tokio::spawn(async move {
            if let Err(error) = call::serve(socket, &hello, target, leaving).await {
                log::warn!(error:% = error; "call connection closed");
            }
        });
    }
}

/// Tells the mesh what the backend server announces; that it drains, once the node does.
async fn announce(
    mut announced: watch::Receiver<Option<Announcement>>,
    draining: CancellationToken,
    mesh: Handle,
) {
    let mut told = None;
    loop {
        let found = announced.borrow_and_update().clone();
        let is_draining = draining.is_cancelled();
        let now = found.map(|found| stage_of(found.endpoint, is_draining));
        if told != now {
            log::info!(endpoint:? = now; "backend server announced");
            let _ = mesh.announce(now.clone()).await;
            told = now;
        }
        let changed = tokio::select! {
            changed = announced.changed() => changed.is_ok(),
            () = draining.cancelled(), if !is_draining => true,
        };
        if !changed {
            return;
        }
    }
}

fn stage_of(endpoint: Endpoint, is_draining: bool) -> Endpoint {
    let stage = match endpoint.stage {
        Stage::Starting | Stage::Ready if is_draining => Stage::Draining,
        stage => stage,
    };
    Endpoint { stage, ..endpoint }
}

/// Where others reach a listener: by the mesh's IP number where it listens on all of them.
fn reachable(listener: SocketAddr, mesh: &Handle) -> SocketAddr {
    if listener.ip().is_unspecified() {
        SocketAddr::new(mesh.address().ip(), listener.port())
    } else {
        listener
    }
}

/// Keeps what the mesh tells of this node, and whether it takes requests, up to date.
async fn vitals(
    mesh: Handle,
    ready: Arc<watch::Sender<bool>>,
    target: NodeTarget,
    draining: CancellationToken,
    operators: SocketAddr,
) {
    let mut mesh_ready = mesh.ready();
    loop {
        // A node whose backend server has left still takes callers' requests for others.
        let is_ready = *mesh_ready.borrow_and_update() && !draining.is_cancelled();
        ready.send_if_modified(|held| std::mem::replace(held, is_ready) != is_ready);
        let load = target.load();
        mesh.set_vitals(Vitals {
            ready: is_ready,
            in_flight: load.running + load.waiting,
            operators: Some(operators),
        });
        let _ = tokio::time::timeout(VITALS_PERIOD, mesh_ready.changed()).await;
    }
}

/// Keeps up whether this node is one of the few that may publish.
async fn candidacy(mesh: Handle, region: Name, candidate: watch::Sender<bool>) {
    let mut view = mesh.view();
    loop {
        let is_candidate = is_candidate(&view.borrow_and_update(), &region);
        candidate.send_if_modified(|held| std::mem::replace(held, is_candidate) != is_candidate);
        if view.changed().await.is_err() {
            return;
        }
    }
}

fn is_candidate(view: &View, store_region: &Name) -> bool {
    let members = view.members().filter(|member| view.reaches(member));
    let candidates = overlay::candidates(store_region, PUBLISHER_CANDIDATES, members);
    candidates.iter().any(|member| member.id == *view.me())
}

/// Gives the mesh what the publisher of this node accepted or found accepted.
async fn offer(mut accepted: mpsc::Receiver<Snapshot>, mesh: Handle) {
    while let Some(snapshot) = accepted.recv().await {
        let version = snapshot.stamp.version;
        match mesh.offer(snapshot).await {
            Ok(Step::Conflict) => {
                log::error!(version = version.0; "version held with another digest")
            }
            Ok(step) => log::info!(version = version.0, step:? = step; "accepted version offered"),
            Err(error) => log::error!(version = version.0, error:% = error; "version not offered"),
        }
    }
}
