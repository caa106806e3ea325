//! The edge towards the node: what it can tell operators.

use std::future::Future;

use crank_engine::burn::BurnReport;
use crank_protocol::config::Account;
use crank_protocol::status::{HistoryEntry, MeshStatus};

/// What a node answers to operators.
pub trait Admin: Clone + Send + Sync + 'static {
    /// The status of the whole mesh; asks every other node.
    fn status(&self) -> impl Future<Output = MeshStatus> + Send;

    /// The last accepted versions, newest first.
    ///
    /// # Errors
    /// Whatever keeps the store from answering.
    fn history(
        &self,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<HistoryEntry>, crank_platform_client::Error>> + Send;

    /// The client account of the configuration in force here, once there is one.
    fn account(&self) -> Option<Account>;

    /// The service levels that this node's callers met.
    fn burn(&self) -> BurnReport;

    /// All metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// Whether this node takes requests.
    fn is_ready(&self) -> bool;
}
