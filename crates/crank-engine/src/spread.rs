//! Distribution of the configuration: which version to apply, to push and to request.
//!
//! A [`ConfigReplica`] applies deltas and snapshots and never goes back to an older version. A
//! [`StartupCheck`] determines when a node that has just started may claim that its configuration
//! is current, and [`Freshness`] when a node has to check the store. A [`TransferLimiter`] limits the rate of full transfers that a node serves, and a
//! [`Backoff`] spaces its own requests.

mod freshness;
mod limiter;
mod replica;
mod startup;

pub use freshness::{Freshness, StoreCheck};
pub use limiter::{Backoff, TransferLimiter};
pub use replica::{ConfigReplica, Step, VersionComparison};
pub use startup::{PeerReport, StartupCheck, StoreHead};
