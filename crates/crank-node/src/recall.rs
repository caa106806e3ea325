//! What a node that starts learns of the backend server beside it before its next heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_protocol::config::Snapshot;
use crank_protocol::member::Stage;
use crank_protocol::{Millis, Name};
use crank_server::{Forwarder, HeartbeatReport, HeartbeatTracker, ProcessStart};
use tokio::sync::watch;

/// Health checks cost the server a slot, and heartbeats come by themselves soon.
const MOST_CHECKS: u32 = 3;
const CHECK_LIMIT: Millis = Millis(500);
const PAUSE: Duration = Duration::from_millis(200);

/// Where the backend server beside the node is, and which service it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Its service.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// Asks the backend server for its health until it is known to be ready, a few times at most.
///
/// A server that leaves says so by failing the check, so that it is not taken for ready.
///
/// ```
/// # use crank_node::recall::{BackendServer, check_until_ready};
/// # use crank_server::{Forwarder, HeartbeatTracker};
/// # async fn example(server: BackendServer, roster: HeartbeatTracker) {
/// let (_hold, config) = tokio::sync::watch::channel(None);
/// check_until_ready(server, roster, Forwarder::new(), config).await;
/// # }
/// ```
pub async fn check_until_ready(
    server: BackendServer,
    roster: HeartbeatTracker,
    forwarder: Forwarder,
    mut config: watch::Receiver<Option<Arc<Snapshot>>>,
) {
    let Some(path) = health_path(&mut config, &server.service).await else {
        return;
    };
    let question = Question {
        server,
        path,
        roster,
        forwarder,
    };
    if question.ask().await {
        return;
    }
    // A server that starts later than its node is asked once it has announced itself.
    let mut announced = question.roster.watch();
    if announced.wait_for(Option::is_some).await.is_ok() {
        question.ask().await;
    }
}

struct Question {
    server: BackendServer,
    path: Arc<str>,
    roster: HeartbeatTracker,
    forwarder: Forwarder,
}

impl Question {
    /// Asks until the server has said that it is well, or nobody needs to know any more.
    async fn ask(&self) -> bool {
        let BackendServer { service, address } = &self.server;
        for _ in 0..MOST_CHECKS {
            if !self.is_open() {
                return true;
            }
            let health = self
                .forwarder
                .check(*address, &self.path, CHECK_LIMIT)
                .await;
            // A heartbeat that came meanwhile may know more.
            if let Some(health) = health.filter(|_| self.is_open()) {
                log::info!(server = *health.server_id, slots = health.slots; "backend server found well");
                let server = health.server_id.clone();
                if self.roster.watch().borrow().is_none() {
                    let start = ProcessStart {
                        server_id: Some(health.server_id),
                        ..ProcessStart::default()
                    };
                    self.roster.record_heartbeat(HeartbeatReport {
                        service: service.clone(),
                        stage: Stage::Ready,
                        slots: health.slots,
                        address: *address,
                        start,
                    });
                }
                self.roster.confirm_ready(&server);
                return true;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }

    /// Whether it is not known yet that the server is ready, or that it leaves.
    fn is_open(&self) -> bool {
        let watch = self.roster.watch();
        let believed = watch.borrow();
        let stage = believed.as_ref().map(|believed| believed.endpoint.stage);
        matches!(stage, None | Some(Stage::Starting))
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
