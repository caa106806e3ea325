//! Byte streams that leave time for other tasks, whatever the other end sends.

mod fair_stream;
mod progress;

pub use fair_stream::{FairStream, MAX_TURN_BYTES};
pub use progress::Progress;
