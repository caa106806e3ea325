//! The decision logic of the mesh as pure code: no I/O, no clock, no global randomness.
//!
//! A function that depends on time takes the current time as an argument, and a function that
//! makes a random choice takes a seeded random number generator. The processes only carry out the
//! decisions that this crate makes.

pub mod account;
pub mod admission;
pub mod backoff;
pub mod balance;
pub mod buffer;
pub mod burn;
pub mod caller_budget;
pub mod claim;
pub mod client_retry;
pub mod config;
pub mod difference;
pub mod drain;
pub mod ewma;
pub mod folder;
pub mod heartbeat;
pub mod ini;
pub mod limit;
pub mod lint;
pub mod liveness;
pub mod member;
pub mod notice;
pub mod overlay;
pub mod peer_budget;
pub mod publish;
pub mod quota;
pub mod registration;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod slot_time;
pub mod slowdown;
pub mod spread;
pub mod stall;
pub mod status;
pub mod uplink;

mod error;
mod hash;
mod moment;
mod nonce;

pub use error::Error;
pub use moment::Moment;
pub use nonce::Nonce;
