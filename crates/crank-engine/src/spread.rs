//! Spreading: which configuration to hold, to push and to ask for.
//!
//! A [`ConfigReplica`] takes deltas and snapshots and never moves back; a [`Start`] says when a node that
//! has just started may claim to be current; a [`TransferLimiter`] bounds what is handed out, and a
//! [`Backoff`] spaces what is asked for.

mod limiter;
mod replica;
mod startup;

pub use limiter::{Backoff, TransferLimiter};
pub use replica::{ConfigReplica, Step, VersionComparison};
pub use startup::{PeerReport, StartupCheck, StoreHead};
