//! What operators may ask of a node.

use std::sync::Arc;
use std::time::Instant;

use crank_engine::burn::{BurnCounter, BurnReport};
use crank_engine::status::is_in_force;
use crank_mesh::Handle;
use crank_operator::Admin;
use crank_platform_client::{Error, Platform, head, verdict};
use crank_protocol::Name;
use crank_protocol::config::Account;
use crank_protocol::status::{HistoryEntry, MeshStatus, NodeReport, Verdict};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::metrics::Metrics;

/// Answers operators from the mesh and the store.
#[derive(Clone)]
pub struct OperatorApi<P> {
    /// The process's clock.
    pub clock: Clock,
    /// The node's name.
    pub node: Name,
    /// The client account.
    pub account: Name,
    /// The platform's store.
    pub platform: P,
    /// The mesh.
    pub mesh: Handle,
    /// Whether the node takes requests.
    pub ready: watch::Receiver<bool>,
    /// The counts of good and bad answers.
    pub burn: Arc<Mutex<BurnCounter>>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

impl<P: Platform> Admin for OperatorApi<P> {
    async fn status(&self) -> MeshStatus {
        let began = Instant::now();
        let (head, verdict, nodes) = tokio::join!(
            head::read(&self.platform, &self.account),
            verdict::read(&self.platform, &self.account),
            self.mesh.query_nodes(),
        );
        let store_up = head.is_ok() && verdict.is_ok();
        let head = head.ok().flatten().map(|head| head.stamp);
        let noted = verdict.ok().flatten().map(|noted| noted.verdict);
        let nodes = nodes.unwrap_or_default();
        MeshStatus {
            account: self.account.clone(),
            asked: self.node.clone(),
            store_up,
            refused: noted.filter(|verdict| matches!(verdict, Verdict::Refused { .. })),
            in_force: head.as_ref().is_some_and(|head| is_in_force(head, &nodes)),
            highest: nodes.iter().filter_map(version).max(),
            head,
            nodes,
            took: began.elapsed().into(),
        }
    }

    async fn history(&self, limit: u32) -> Result<Vec<HistoryEntry>, Error> {
        head::history(&self.platform, &self.account, limit).await
    }

    fn account(&self) -> Option<Account> {
        let config = self.mesh.config();
        let config = config.borrow();
        config.as_ref().map(|held| held.config.account.clone())
    }

    fn burn(&self) -> BurnReport {
        let held = self.mesh.config().borrow().clone();
        let config = held.as_ref().map(|held| (held.stamp.version, &held.config));
        self.burn
            .lock()
            .report(self.node.clone(), config, self.clock.now())
    }

    fn metrics(&self) -> String {
        self.metrics.encode()
    }

    fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }
}

fn version(answer: &NodeReport) -> Option<crank_protocol::config::Version> {
    match answer {
        NodeReport::Node(node) => node.applied.as_ref().map(|stamp| stamp.version),
        NodeReport::Silent(_) => None,
    }
}
