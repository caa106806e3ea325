//! Operators: the folder in the store, status, history and notice.

pub mod listener;

mod client;
mod desk;
mod error;
mod trouble;

pub use client::Client;
pub use desk::Desk;
pub use error::Error;
pub use trouble::Trouble;
