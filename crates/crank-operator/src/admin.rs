//! The interface through which a node answers operators.

use std::future::Future;

use crank_engine::burn::BurnReport;
use crank_protocol::config::Owner;
use crank_protocol::status::{HistoryEntry, MeshStatus, NodeAccounts};

/// Provides the data that the operators' listener serves.
pub trait Admin: Clone + Send + Sync + 'static {
    /// Asks every other node and returns the status of the whole mesh.
    fn status(&self) -> impl Future<Output = MeshStatus> + Send;

    /// Returns up to `limit` accepted versions, newest first.
    ///
    /// # Errors
    /// Returns the platform's error if the store cannot be read.
    fn history(
        &self,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<HistoryEntry>, crank_platform_client::Error>> + Send;

    /// Returns the client account of the configuration in force on this node, or `None` before the
    /// first one.
    fn account(&self) -> Option<Owner>;

    /// Returns the client accounts as this node sees them.
    fn accounts(&self) -> NodeAccounts;

    /// Returns the service-level counts of the requests that callers sent to this node.
    fn burn(&self) -> BurnReport;

    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns whether this node accepts requests.
    fn is_ready(&self) -> bool;
}
