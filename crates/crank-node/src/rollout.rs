//! Roll-outs on a node: which servers its entry may choose, what it counts, and the verdict.

mod account;
mod attempt;
mod collector;
mod decide;
mod orders;
mod report;
mod start;

use std::sync::Arc;

use crank_platform_client::Error as StoreError;
use crank_platform_client::rollouts::StoreTime;
use crank_protocol::Name;
use crank_protocol::config::Revision;
use crank_protocol::rollout::RolloutReport;

pub use account::Rollouts;
pub use attempt::Attempt;
pub(crate) use collector::RolloutCollector;
pub use decide::{DecidingNode, decide};
pub use orders::{VerdictBoard, follow_orders};
pub use report::report;

/// The report that operators see of a service's roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Posting {
    /// The revision at which it was written; the default if there is none.
    pub revision: Revision,
    /// Its content, as the platform writes it.
    pub content: Option<Arc<str>>,
    /// When it was read, on the store's own clock; `None` if the store tells no time.
    pub read_at: Option<StoreTime>,
}

/// Tells operators how far roll-outs have come.
pub trait RolloutBoard: Send + Sync + 'static {
    /// Reads which report operators see.
    ///
    /// # Errors
    /// Returns why the store gave no answer.
    fn posting(&self, service: &Name) -> impl Future<Output = Result<Posting, StoreError>> + Send;

    /// Replaces the report that operators see, unless it is no longer the one that was read.
    ///
    /// # Errors
    /// Returns why the store did not accept it.
    fn post(
        &self,
        report: &RolloutReport,
        over: &Posting,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
