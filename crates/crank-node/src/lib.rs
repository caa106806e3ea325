//! The node process: wires the peer packages together as actors.

mod error;
mod settings;

pub use error::Error;
pub use settings::{Listen, Settings};
