//! The life of a node: start, serve, leave.

use std::sync::Arc;
use std::time::Duration;

use crank_engine::burn::Burn;
use crank_engine::drain::Progress;
use crank_mesh::call::{self, Pool};
use crank_mesh::{Handle, Socket};
use crank_platform_client::Remote;
use crank_protocol::member::{Member, State};
use crank_protocol::wire::{Hello, PROTOCOL};
use crank_server::{Announcement, Announcements};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::admin::Api;
use crate::clock::Clock;
use crate::entry::{self, Entry};
use crate::front::Front;
use crate::handover;
use crate::join::Join;
use crate::metrics::Metrics;
use crate::publisher;
use crate::target::{self, Target};
use crate::wire::Wire;
use crate::{Error, Settings, follow};

const CALL_SOCKETS: usize = 64;
const DRAIN_POLL: Duration = Duration::from_millis(20);

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

/// Everything that the node listens on, bound before anything is told or taken.
struct Listeners {
    announcements: Announcements,
    edge: crank_caller::Edge,
    operators: TcpListener,
}

impl Listeners {
    async fn open(settings: &mut Settings) -> Result<Self, Error> {
        let address = settings.listen.operators;
        let operators = TcpListener::bind(address).await;
        let operators = operators.map_err(|source| Error::Listen { address, source })?;
        settings.listen.operators = operators.local_addr().unwrap_or(address);
        Ok(Self {
            announcements: Announcements::new(settings.listen.servers).await?,
            edge: crank_caller::Edge::new(settings.listen.callers).await?,
            operators,
        })
    }
}

impl Node {
    async fn start(mut settings: Settings) -> Result<Self, Error> {
        let clock = Clock::new();
        let leaving = CancellationToken::new();
        let platform = Remote::new(&settings.platform.access())?;
        let listeners = Listeners::open(&mut settings).await?;
        let (sockets, accepted) = mpsc::channel(CALL_SOCKETS);
        let mesh = crank_mesh::start(mesh_settings(&settings), sockets).await?;
        say_addresses(&settings, &mesh, &listeners);
        let announced = handover::follow(listeners.announcements.watch(), mesh.config());
        let target = Target::new(target::Parts {
            clock,
            config: mesh.config(),
            announced: announced.clone(),
            account: settings.platform.account.clone(),
            platform: platform.clone(),
            forwarder: crank_server::Forwarder::new()?,
        });
        tokio::spawn(target.clone().follow());
        let hello = hello(&settings, &mesh);
        let (links, burn) = (Pool::new(hello.clone()), Burn::new(clock.now()));
        let burn = Arc::new(Mutex::new(burn));
        let entry = Entry::new(entry::Parts {
            clock,
            own: settings.name.clone(),
            place: settings.place.clone(),
            config: mesh.config(),
            view: mesh.view(),
            ready: mesh.ready(),
            links: Wire::new(settings.name.clone(), target.clone(), links),
            burn: burn.clone(),
        });
        tokio::spawn(serve_calls(
            accepted,
            hello,
            target.clone(),
            leaving.clone(),
        ));
        let metrics = Arc::new(Metrics::new());
        metrics.add_mesh(mesh.clone());
        let front = Front::new(entry.clone(), metrics.clone());
        let edge = tokio::spawn(listeners.edge.run(front, leaving.clone()));
        let (ready, is_ready) = watch::channel(false);
        let api = Api {
            clock,
            own: settings.name.clone(),
            account: settings.platform.account.clone(),
            platform: platform.clone(),
            mesh: mesh.clone(),
            ready: is_ready,
            burn,
            metrics,
        };
        let left = leaving.clone().cancelled_owned();
        tokio::spawn(crank_operator::listener::serve(
            listeners.operators,
            api,
            left,
        ));
        let node = Self {
            settings,
            mesh,
            entry,
            target,
            _announcements: listeners.announcements,
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
        tokio::spawn(follow::announce(
            self.announced.clone(),
            self.draining.clone(),
            self.mesh.clone(),
        ));
        let operators = follow::reachable(self.settings.listen.operators, &self.mesh);
        let (mesh, ready) = (self.mesh.clone(), self.ready.clone());
        let (target, draining) = (self.target.clone(), self.draining.clone());
        tokio::spawn(follow::vitals(mesh, ready, target, draining, operators));
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
                () = follow::candidacy(mesh, region, candidate) => {}
                () = draining.cancelled() => {}
            }
            publisher::stop(publisher).await;
        });
        tokio::spawn(follow::offer(found, self.mesh.clone()));
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
fn say_addresses(settings: &Settings, mesh: &Handle, listeners: &Listeners) {
    println!(
        "listening callers={} mesh={} servers={} operators={}",
        listeners.edge.address(),
        mesh.address(),
        listeners.announcements.address(),
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
