//! The commands of `crankctl`, the operators' command line.

mod commands;
mod error;
mod report;
mod run;
mod settings;
mod table;
mod words;

pub use error::Error;
pub use report::{Exit, Report};
pub use run::{main, run};
