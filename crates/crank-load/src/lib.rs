//! Open-loop load and experiments with figures.
//!
//! [`fleet`] starts a whole mesh of real processes on loopback, for experiments and process tests;
//! [`calls`] sends requests at a rate and counts what became of them; [`command`] holds the
//! commands of the program.

pub mod calls;
pub mod capacity;
pub mod command;
pub mod control;
pub mod converge;
pub mod demo;
pub mod fleet;
pub mod folder;
pub mod roster;
pub mod soak;
pub mod usage;

mod error;

pub use error::Error;
