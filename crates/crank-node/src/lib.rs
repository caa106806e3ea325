//! The node process: routes, admits and forwards callers' requests, and keeps the accepted
//! configuration in force.

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
pub mod quota;
pub mod recall;
pub mod rollout;
pub mod source;
pub mod target;
pub mod transport;
pub mod watchdog;

mod error;
mod follow;
mod run;
mod settings;

pub use error::Error;
pub use run::run;
pub use settings::{ListenAddresses, Settings, parse_log_level};
