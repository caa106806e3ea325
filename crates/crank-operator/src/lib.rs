//! Operator access: the configuration folder and roll-outs in the store, and a node's status, history
//! and notice.

pub mod listener;

mod admin;
mod client;
mod error;
mod local;
mod push;
mod rollout;
mod store;
mod trouble;

pub use admin::Admin;
pub use client::Client;
pub use error::Error;
pub use local::{LocalFolder, read_local_folder};
pub use rollout::{Progress, Rollouts};
pub use store::{Pull, Push, Store};
pub use trouble::ErrorResponse;
