//! What a node that starts learns of the backend server beside it before its next heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_protocol::config::Snapshot;
use crank_protocol::member::Stage;
use crank_protocol::{Millis, Name};
use crank_server::{Forwarder, Report, Roster, Start};
use tokio::sync::watch;

/// Health checks cost the server a slot, and heartbeats come by themselves soon.
const MOST_CHECKS: u32 = 3;
const CHECK_LIMIT: Millis = Millis(500);
const PAUSE: Duration = Duration::from_millis(200);

/// Where the backend server beside the node is, and which service it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Neighbour {
    /// Its service.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// Asks the backend server for its health until it is known, a few times at most.
///
/// A server that leaves says so by failing the check, so that it is not taken for ready.
///
/// ```
/// # use crank_node::recall::{Neighbour, recall};
/// # use crank_server::{Forwarder, Roster};
/// # async fn example(neighbour: Neighbour, roster: Roster) {
/// let (_hold, config) = tokio::sync::watch::channel(None);
/// recall(neighbour, roster, Forwarder::new(), config).await;
/// # }
/// ```
pub async fn recall(
    neighbour: Neighbour,
    roster: Roster,
    forwarder: Forwarder,
    mut config: watch::Receiver<Option<Arc<Snapshot>>>,
) {
    let Neighbour { service, address } = neighbour;
    let Some(path) = health_path(&mut config, &service).await else {
        return;
    };
    for _ in 0..MOST_CHECKS {
        if roster.watch().borrow().is_some() {
            return;
        }
        let health = forwarder.check(address, &path, CHECK_LIMIT).await;
        // A heartbeat that came meanwhile knows more.
        if roster.watch().borrow().is_some() {
            return;
        }
        if let Some(health) = health {
            log::info!(server = *health.server, slots = health.slots; "backend server found well");
            let start = Start {
                server: Some(health.server),
                ..Start::default()
            };
            roster.hear(Report {
                service,
                stage: Stage::Ready,
                slots: health.slots,
                address,
                start,
            });
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn health_path(
    config: &mut watch::Receiver<Option<Arc<Snapshot>>>,
    service: &Name,
) -> Option<Arc<str>> {
    let held = config.wait_for(Option::is_some).await.ok()?;
    let snapshot = held.as_ref()?;
    snapshot.config.services.get(service)?.health.clone()
}
