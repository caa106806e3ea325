//! Background tasks of a node: announcements, local status, publisher candidacy and accepted
//! versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::overlay;
use crank_mesh::{Handle, LocalStatus, Step, View};
use crank_platform_client::Rows;
use crank_protocol::Name;
use crank_protocol::config::Snapshot;
use crank_protocol::member::{Endpoint, Stage};
use crank_server::Announcement;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::target::{Forwarder, Target};

const STATUS_INTERVAL: Duration = Duration::from_millis(500);
const PUBLISHER_CANDIDATES: usize = 3;

/// Announces the backend server's state to the mesh, as draining once the node drains.
pub(crate) async fn announce(
    mut announced: watch::Receiver<Option<Announcement>>,
    draining: CancellationToken,
    mesh: Handle,
) {
    let mut last_announced = None;
    loop {
        let announcement = announced.borrow_and_update().clone();
        let is_draining = draining.is_cancelled();
        let endpoint =
            announcement.map(|announcement| effective_endpoint(announcement.endpoint, is_draining));
        if last_announced != endpoint {
            log::info!(endpoint:? = endpoint; "backend server announced");
            let _ = mesh.announce_endpoint(endpoint.clone()).await;
            last_announced = endpoint;
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

fn effective_endpoint(endpoint: Endpoint, is_draining: bool) -> Endpoint {
    let stage = match endpoint.stage {
        Stage::Starting | Stage::Ready if is_draining => Stage::Draining,
        stage => stage,
    };
    Endpoint { stage, ..endpoint }
}

/// Returns the address at which other nodes reach a listener: with the mesh's IP address if the
/// listener is bound to all interfaces.
pub(crate) fn reachable_address(listener: SocketAddr, mesh: &Handle) -> SocketAddr {
    if listener.ip().is_unspecified() {
        SocketAddr::new(mesh.address().ip(), listener.port())
    } else {
        listener
    }
}

/// Keeps the node's status in the mesh and its readiness for callers' requests up to date.
pub(crate) async fn publish_local_status<P: Rows, F: Forwarder>(
    mesh: Handle,
    ready: Arc<watch::Sender<bool>>,
    target: Target<P, F>,
    draining: CancellationToken,
    operators: Option<SocketAddr>,
) {
    let mut mesh_ready = mesh.ready();
    loop {
        // A node stays ready after its backend server has left: it still routes to others.
        let is_ready = *mesh_ready.borrow_and_update() && !draining.is_cancelled();
        ready.send_if_modified(|current| std::mem::replace(current, is_ready) != is_ready);
        let load = target.load();
        mesh.set_local_status(LocalStatus {
            ready: is_ready,
            in_flight: load.running + load.waiting,
            operator_address: operators,
        });
        let _ = tokio::time::timeout(STATUS_INTERVAL, mesh_ready.changed()).await;
    }
}

/// Keeps `candidate` up to date: whether this node is one of the few that may publish.
pub(crate) async fn track_candidacy(mesh: Handle, region: Name, candidate: watch::Sender<bool>) {
    let mut view = mesh.view();
    loop {
        let is_candidate = is_candidate(&view.borrow_and_update(), &region);
        candidate
            .send_if_modified(|current| std::mem::replace(current, is_candidate) != is_candidate);
        if view.changed().await.is_err() {
            return;
        }
    }
}

fn is_candidate(view: &View, store_region: &Name) -> bool {
    let members = view.members().filter(|member| view.is_reachable(member));
    let candidates = overlay::publisher_candidates(store_region, PUBLISHER_CANDIDATES, members);
    candidates
        .iter()
        .any(|member| member.id == *view.local_id())
}

/// Passes the snapshots that this node's publisher accepted, or found accepted in the store, to the
/// mesh.
pub(crate) async fn apply_accepted(mut accepted: mpsc::Receiver<Snapshot>, mesh: Handle) {
    while let Some(snapshot) = accepted.recv().await {
        let version = snapshot.stamp.version;
        match mesh.apply_snapshot(snapshot).await {
            Ok(Step::Conflict) => {
                log::error!(
                    version = version.0;
                    "version conflict: this version is known with another digest"
                )
            }
            Ok(step) => {
                log::info!(
                    version = version.0,
                    step:? = step;
                    "accepted version passed to the mesh"
                )
            }
            Err(error) => {
                log::error!(
                    version = version.0,
                    error:% = error;
                    "accepted version not passed to the mesh"
                )
            }
        }
    }
}
