//! Roll-outs on a node: which servers its entry may choose, what it counts, and the verdict.

mod account;
mod collector;
mod decide;
mod report;

use crank_platform_client::Error as StoreError;
use crank_protocol::rollout::RolloutReport;

pub use account::{Attempt, Rollouts};
pub(crate) use collector::RolloutCollector;
pub use decide::{DecidingNode, decide};
pub use report::report;

/// Tells operators how far roll-outs have come.
pub trait RolloutBoard: Send + Sync + 'static {
    /// Replaces what operators are told about a service's roll-out. A call whose answer was lost
    /// never takes effect after a later call.
    ///
    /// # Errors
    /// Returns why the store did not accept it.
    fn post(&self, report: &RolloutReport) -> impl Future<Output = Result<(), StoreError>> + Send;
}
