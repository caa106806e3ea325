//! Membership: probes, suspicion, incarnations and gossip, after the SWIM protocol.
//!
//! A [`MemberTable`] holds what is known of every node, a [`Prober`] probes the nodes of its own
//! region, and a [`RegionTracker`] tracks which other regions are reachable. A node is only
//! suspected by nodes of its own region. If no message arrives from a region, that region is
//! unreachable, but its nodes are not suspected.

mod prober;
mod regions;
mod table;

pub use prober::{OutgoingProbe, Prober};
pub use regions::RegionTracker;
pub use table::{LearnOutcome, MemberTable};
