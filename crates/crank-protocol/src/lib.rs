//! Domain types and wire frames, without behaviour.
//!
//! This crate defines every type that the processes exchange and that the engine decides about.
//! The decisions themselves are in `crank-engine`.

pub mod call;
pub mod config;
pub mod heartbeat;
pub mod member;
pub mod quota;
pub mod rollout;
pub mod status;
pub mod wire;

mod compact;
mod dialect;
mod error;
mod name;
mod unit;

pub use dialect::HttpDialect;
pub use error::Error;
pub use name::Name;
pub use unit::{Bytes, Millis, Permille, RequestRate};
