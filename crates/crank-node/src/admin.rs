//! The operators' interface of a node.

use std::sync::Arc;
use std::time::Instant;

use crank_engine::burn::{BurnCounter, BurnReport};
use crank_engine::status::is_in_force;
use crank_mesh::Handle;
use crank_operator::Admin;
use crank_platform_client::{Error, Platform, head, verdict};
use crank_protocol::Name;
use crank_protocol::config::Owner;
use crank_protocol::status::{HistoryEntry, MeshStatus, NodeAccounts, NodeReport, Verdict};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::quota::RateLimiter;

/// Answers operators' queries from the mesh and the store.
#[derive(Clone)]
pub struct OperatorApi<P> {
    /// The clock of the process.
    pub clock: Clock,
    /// The name of this node.
    pub node: Name,
    /// The client account of this node.
    pub account: Name,
    /// The client of the platform's store.
    pub platform: P,
    /// The handle of the node's mesh.
    pub mesh: Handle,
    /// Whether the node accepts callers' requests.
    pub ready: watch::Receiver<bool>,
    /// The counts of good and bad responses for each service.
    pub burn: Arc<Mutex<BurnCounter>>,
    /// The limiter of the client accounts' requests.
    pub accounts: RateLimiter,
    /// The metrics of this node.
    pub metrics: Arc<Metrics>,
}

impl<P: Platform> Admin for OperatorApi<P> {
    async fn status(&self) -> MeshStatus {
        let started_at = Instant::now();
        let (head, verdict, nodes) = tokio::join!(
            head::read(&self.platform, &self.account),
            verdict::read(&self.platform, &self.account),
            self.mesh.query_nodes(),
        );
        let store_up = head.is_ok() && verdict.is_ok();
        let head = head.ok().flatten().map(|head| head.stamp);
        let recorded = verdict.ok().flatten().map(|recorded| recorded.verdict);
        let nodes = nodes.unwrap_or_default();
        MeshStatus {
            account: self.account.clone(),
            asked: self.node.clone(),
            store_up,
            refused: recorded.filter(|verdict| matches!(verdict, Verdict::Refused { .. })),
            in_force: head.as_ref().is_some_and(|head| is_in_force(head, &nodes)),
            highest: nodes.iter().filter_map(applied_version).max(),
            head,
            nodes,
            took: started_at.elapsed().into(),
        }
    }

    async fn history(&self, limit: u32) -> Result<Vec<HistoryEntry>, Error> {
        head::history(&self.platform, &self.account, limit).await
    }

    fn account(&self) -> Option<Owner> {
        let config = self.mesh.config();
        let config = config.borrow();
        config
            .as_ref()
            .map(|snapshot| snapshot.config.account.clone())
    }

    fn accounts(&self) -> NodeAccounts {
        self.accounts.status(self.node.clone())
    }

    fn burn(&self) -> BurnReport {
        let snapshot = self.mesh.config().borrow().clone();
        let config = snapshot
            .as_ref()
            .map(|snapshot| (snapshot.stamp.version, &snapshot.config));
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

fn applied_version(report: &NodeReport) -> Option<crank_protocol::config::Version> {
    match report {
        NodeReport::Node(node) => node.applied.as_ref().map(|stamp| stamp.version),
        NodeReport::Silent(_) => None,
    }
}
