//! Stand-in for the platform: an S3-style object store and a DynamoDB-style table service with
//! faults.
//!
//! One listener serves both, and the switches under `/control`. It serves only what the project's
//! clients use; anything else gets a clear error of the kind that the real services give.

mod answer;
mod control;
mod error;
mod gate;
mod objects;
mod rate;
mod rows;
mod server;
mod text;

pub use control::{Counts, Switches};
pub use error::Error;
pub use server::Server;
