//! Roll-outs of a service's release: who gets requests, what the answers show, and the verdict.
//!
//! It answers a bad release, which would otherwise get its full share of the requests at once. A
//! [`Ledger`] merges what nodes tell one another of orders and verdicts. [`trial_share`],
//! [`trial_credit`] and [`trial_window`] plan the share of an unproven release, and a [`ShareBudget`] keeps it on each
//! node without coordination. [`Evidence`] merges the counters of all nodes, and a [`Monitor`]
//! tests them.

mod evidence;
mod ledger;
mod monitor;
mod plan;
mod share;
mod verdict;
mod view;

pub use evidence::{Evidence, MAX_LATENCY_CLASS, latency_class};
pub use ledger::{KnownRollout, Ledger};
pub use monitor::{Finding, Monitor, WorstRoute};
pub use plan::{
    MOVE_TIME, completes_at, deciders, is_settled, trial_credit, trial_servers, trial_share,
    trial_window,
};
pub use share::ShareBudget;
pub use verdict::verdict;
pub use view::{Newcomers, Releases};
