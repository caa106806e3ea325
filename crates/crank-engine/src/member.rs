//! Membership: probes, suspicion, incarnations and gossip.
//!
//! A [`Table`] holds what is believed of every node, a [`Prober`] questions the nodes of the own
//! region, and [`RegionTracker`] tells which other regions were heard of late. A node of another region
//! is never suspected from afar: its own region decides, and a silent region is unreachable.

mod prober;
mod regions;
mod table;

pub use prober::{OutgoingProbe, Prober};
pub use regions::RegionTracker;
pub use table::{LearnOutcome, MemberTable};
