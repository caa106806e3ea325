//! Spreading: which configuration to hold, to push and to ask for.
//!
//! A [`Holder`] takes deltas and snapshots and never moves back; a [`Start`] says when a node that
//! has just started may claim to be current; a [`Gate`] bounds what is handed out, and a
//! [`Backoff`] spaces what is asked for.

mod gate;
mod holder;
mod start;

pub use gate::{Backoff, Gate};
pub use holder::{Gap, Holder, Step};
pub use start::{Head, Report, Start};
