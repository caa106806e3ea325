//! Runs a node on the project's own platform: settings, publisher and operators' listener.

use std::net::SocketAddr;

use crank_engine::caller_budget::MachineLimits;
use crank_platform_client::Remote;
use crank_protocol::Millis;
use crank_server::AnnouncementListener;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::admin::OperatorApi;
use crate::entry::Conventions;
use crate::join::{Bootstrap, PeerDiscovery};
use crate::node::{Node, NodeOptions};
use crate::rollout::{self, VerdictBoard};
use crate::{Error, Settings, follow, publisher};

const NO_LINGER: Millis = Millis(0);

/// Runs a node until it receives SIGTERM or SIGINT and has shut down.
///
/// The first line on standard output lists the addresses that the node listens on.
///
/// # Errors
/// Returns the error that prevented the node from starting.
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
    let (node, _announcements) = start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.leave().await;
    Ok(())
}

/// The listeners of the node, bound before anything is announced or accepted.
struct Listeners {
    announcements: AnnouncementListener,
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
            announcements: AnnouncementListener::new(settings.listen.servers).await?,
            edge: crank_caller::Edge::new(settings.listen.callers)
                .await?
                .with_requests_ahead(settings.listen.requests_ahead),
            operators,
        })
    }
}

async fn start(mut settings: Settings) -> Result<(Node<Remote>, AnnouncementListener), Error> {
    let platform = Remote::new(&settings.platform.access())?;
    let listeners = Listeners::open(&mut settings).await?;
    let callers = listeners.edge.address();
    let node = Node::start(NodeOptions {
        link_mbits: 0,
        machine: MachineLimits::default(),
        account: settings.platform.account.clone(),
        name: settings.name.clone(),
        place: settings.place.clone(),
        mesh_address: settings.listen.mesh,
        seeds: settings.seeds.clone(),
        grace: settings.grace,
        linger: NO_LINGER,
        platform: platform.clone(),
        server: listeners.announcements.tracker(),
        caller_listener: listeners.edge,
        conventions: Conventions::default(),
    })
    .await?;
    print_addresses(&settings, &node, callers, &listeners.announcements);
    serve_operators(&settings, &node, platform.clone(), listeners.operators);
    let discovery = PeerDiscovery {
        account: settings.platform.account.clone(),
        node: settings.name.clone(),
        place: settings.place.clone(),
        platform: platform.clone(),
        mesh: node.mesh().clone(),
    };
    let bootstrap = Bootstrap {
        discovery: discovery.clone(),
    };
    tokio::spawn(bootstrap.run_until_ready());
    tokio::spawn(discovery.keep_registered());
    let account = settings.platform.account.clone();
    node.start_deciding(account.clone(), platform.clone(), VerdictBoard);
    let is_candidate = start_publisher(&settings, &node, platform.clone());
    let orders = rollout::follow_orders(account, platform, node.mesh().clone(), is_candidate);
    tokio::spawn(orders);
    let operators = follow::reachable_address(settings.listen.operators, node.mesh());
    node.start_announcing(Some(operators));
    Ok((node, listeners.announcements))
}

fn serve_operators(
    settings: &Settings,
    node: &Node<Remote>,
    platform: Remote,
    listener: TcpListener,
) {
    let (clock, burn, metrics) = node.observability();
    let api = OperatorApi {
        clock,
        node: settings.name.clone(),
        account: settings.platform.account.clone(),
        platform,
        mesh: node.mesh().clone(),
        ready: node.ready(),
        burn,
        accounts: node.rate_limiter(),
        metrics,
    };
    let closing = node.closing().cancelled_owned();
    tokio::spawn(crank_operator::listener::serve(listener, api, closing));
}

/// Starts the publisher; returns whether this node is one of the few that read the store for all.
fn start_publisher(
    settings: &Settings,
    node: &Node<Remote>,
    platform: Remote,
) -> watch::Receiver<bool> {
    let account = settings.platform.account.clone();
    let publisher_settings = publisher::Settings::new(account, settings.name.clone());
    let (candidate, is_candidate) = watch::channel(false);
    let (accepted, accepted_snapshots) = mpsc::channel(1);
    let publisher = publisher::start(platform, publisher_settings, is_candidate.clone(), accepted);
    let (mesh, region) = (node.mesh().clone(), settings.platform.region.clone());
    let draining = node.draining();
    tokio::spawn(async move {
        tokio::select! {
            () = follow::track_candidacy(mesh, region, candidate) => {}
            () = draining.cancelled() => {}
        }
        publisher::stop(publisher).await;
    });
    tokio::spawn(follow::apply_accepted(
        accepted_snapshots,
        node.mesh().clone(),
    ));
    is_candidate
}

#[expect(
    clippy::print_stdout,
    reason = "the process that starts the node reads its addresses from there"
)]
fn print_addresses(
    settings: &Settings,
    node: &Node<Remote>,
    callers: SocketAddr,
    announcements: &AnnouncementListener,
) {
    println!(
        "listening callers={callers} mesh={} servers={} operators={}",
        node.mesh().address(),
        announcements.address(),
        settings.listen.operators,
    );
}
