//! The node process: wires the peer packages together as actors.

pub mod clock;
pub mod entry;
pub mod gate;
pub mod target;

mod error;
mod settings;

pub use error::Error;
pub use settings::{Listen, Settings};
