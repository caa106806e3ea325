//! What goes on beside requests: announcing, vitals, candidacy, accepted versions.

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

const VITALS_PERIOD: Duration = Duration::from_millis(500);
const PUBLISHER_CANDIDATES: usize = 3;

/// Tells the mesh what the backend server announces; that it drains, once the node does.
pub(crate) async fn announce(
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
            let _ = mesh.announce_endpoint(now.clone()).await;
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
pub(crate) fn reachable(listener: SocketAddr, mesh: &Handle) -> SocketAddr {
    if listener.ip().is_unspecified() {
        SocketAddr::new(mesh.address().ip(), listener.port())
    } else {
        listener
    }
}

/// Keeps what the mesh tells of this node, and whether it takes requests, up to date.
pub(crate) async fn vitals<P: Rows, F: Forwarder>(
    mesh: Handle,
    ready: Arc<watch::Sender<bool>>,
    target: Target<P, F>,
    draining: CancellationToken,
    operators: Option<SocketAddr>,
) {
    let mut mesh_ready = mesh.ready();
    loop {
        // A node whose backend server has left still takes callers' requests for others.
        let is_ready = *mesh_ready.borrow_and_update() && !draining.is_cancelled();
        ready.send_if_modified(|held| std::mem::replace(held, is_ready) != is_ready);
        let load = target.load();
        mesh.set_local_status(LocalStatus {
            ready: is_ready,
            in_flight: load.running + load.waiting,
            operator_address: operators,
        });
        let _ = tokio::time::timeout(VITALS_PERIOD, mesh_ready.changed()).await;
    }
}

/// Keeps up whether this node is one of the few that may publish.
pub(crate) async fn candidacy(mesh: Handle, region: Name, candidate: watch::Sender<bool>) {
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
    let members = view.members().filter(|member| view.is_reachable(member));
    let candidates = overlay::publisher_candidates(store_region, PUBLISHER_CANDIDATES, members);
    candidates
        .iter()
        .any(|member| member.id == *view.local_id())
}

/// Gives the mesh what the publisher of this node accepted or found accepted.
pub(crate) async fn offer(mut accepted: mpsc::Receiver<Snapshot>, mesh: Handle) {
    while let Some(snapshot) = accepted.recv().await {
        let version = snapshot.stamp.version;
        match mesh.apply_snapshot(snapshot).await {
            Ok(Step::Conflict) => {
                log::error!(version = version.0; "version held with another digest")
            }
            Ok(step) => log::info!(version = version.0, step:? = step; "accepted version offered"),
            Err(error) => log::error!(version = version.0, error:% = error; "version not offered"),
        }
    }
}
