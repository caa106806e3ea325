//! Operator access: the configuration folder in the store, and a node's status, history and notice.

pub mod listener;

mod admin;
mod client;
mod error;
mod local;
mod push;
mod store;
mod trouble;

pub use admin::Admin;
pub use client::Client;
pub use error::Error;
pub use local::{LocalFolder, read_local_folder};
pub use store::{Pull, Push, Store};
pub use trouble::ErrorResponse;
