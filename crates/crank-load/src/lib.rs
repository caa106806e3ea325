//! Open-loop load and experiments with figures.
//!
//! [`fleet`] starts a whole mesh of real processes on loopback, for experiments and process tests.

pub mod fleet;

mod error;

pub use error::Error;
