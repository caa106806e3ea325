//! The node process: wires the peer packages together as actors.

pub mod admin;
pub mod admission;
pub mod clock;
pub mod entry;
pub mod gateway;
pub mod handover;
pub mod join;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod publisher;
pub mod recall;
pub mod source;
pub mod target;
pub mod transport;

mod error;
mod follow;
mod run;
mod settings;

pub use error::Error;
pub use run::run;
pub use settings::{Listen, Settings, parse_log_level};
