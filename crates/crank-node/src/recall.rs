//! Health checks of the backend server when its node starts, before its next heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_protocol::config::Snapshot;
use crank_protocol::member::Stage;
use crank_protocol::{Millis, Name};
use crank_server::{Forwarder, HeartbeatReport, HeartbeatTracker, ProcessStart};
use tokio::sync::watch;
use tokio::time::Instant;

/// Only a few: each health check costs the server a slot, and a heartbeat arrives soon anyway.
const MAX_CHECKS: u32 = 3;
const CHECK_TIMEOUT: Millis = Millis(500);
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The pause after which a server that sends heartbeats, but failed its checks, is checked again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The address and service of the backend server beside the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// The service that it runs.
    pub service: Name,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
}

/// Checks the backend server's health until it is known to be ready or to leave.
///
/// A server that is leaving fails the check, so it is not mistaken for a ready one. The checks end
/// when the server's heartbeats tell its stage for certain.
///
/// ```
/// # use crank_node::recall::{BackendServer, check_until_ready};
/// # use crank_server::{Forwarder, HeartbeatTracker};
/// # async fn example(server: BackendServer, tracker: HeartbeatTracker) {
/// let (_sender, config) = tokio::sync::watch::channel(None);
/// check_until_ready(server, tracker, Forwarder::new(), config).await;
/// # }
/// ```
pub async fn check_until_ready(
    server: BackendServer,
    tracker: HeartbeatTracker,
    forwarder: Forwarder,
    mut config: watch::Receiver<Option<Arc<Snapshot>>>,
) {
    let Some(path) = health_path(&mut config, &server.service).await else {
        return;
    };
    let probe = HealthProbe {
        server,
        path,
        tracker,
        forwarder,
    };
    if probe.run().await {
        return;
    }
    // A server that starts later than its node is checked once it has sent a heartbeat.
    let mut announced = probe.tracker.watch();
    if announced.wait_for(Option::is_some).await.is_err() {
        return;
    }
    while !probe.run().await {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

struct HealthProbe {
    server: BackendServer,
    path: Arc<str>,
    tracker: HeartbeatTracker,
    forwarder: Forwarder,
}

impl HealthProbe {
    /// Checks until the server is healthy or its stage is known; returns false if neither happened.
    async fn run(&self) -> bool {
        let BackendServer { service, address } = &self.server;
        for _ in 0..MAX_CHECKS {
            if !self.needs_check() {
                return true;
            }
            let sent_at = Instant::now();
            let health = self
                .forwarder
                .check_health(*address, &self.path, CHECK_TIMEOUT)
                .await;
            // A heartbeat that arrived in the meantime may carry a newer stage.
            if let Some(health) = health.filter(|_| self.needs_check()) {
                log::info!(
                    server = *health.server_id,
                    slots = health.slots;
                    "backend server found well"
                );
                let (server, statement) = (health.server_id.clone(), health.statement);
                if self.tracker.watch().borrow().is_none() {
                    let start = ProcessStart {
                        server_id: Some(health.server_id),
                        ..ProcessStart::default()
                    };
                    self.tracker.record_heartbeat(HeartbeatReport {
                        service: service.clone(),
                        stage: Stage::Ready,
                        slots: health.slots,
                        address: *address,
                        start,
                    });
                }
                let tracker = &self.tracker;
                tracker.record_statement(sent_at, Some(&server), statement);
                tracker.confirm_ready(&server);
                return true;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        false
    }

    /// Returns whether the server is not yet known to be ready or leaving.
    fn needs_check(&self) -> bool {
        let announced = self.tracker.watch();
        let announcement = announced.borrow();
        let stage = announcement
            .as_ref()
            .map(|announcement| announcement.endpoint.stage);
        matches!(stage, None | Some(Stage::Starting))
    }
}

async fn health_path(
    config: &mut watch::Receiver<Option<Arc<Snapshot>>>,
    service: &Name,
) -> Option<Arc<str>> {
    let current = config.wait_for(Option::is_some).await.ok()?;
    let snapshot = current.as_ref()?;
    snapshot.config.services.get(service)?.health.clone()
}
