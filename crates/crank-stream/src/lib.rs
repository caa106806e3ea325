//! Byte streams and connections that leave room and time for others, whatever the other end sends.

mod connection;
mod door;
mod fair_stream;
mod guarded_stream;
mod linger;
mod progress;
mod request_hold;
mod serve;

pub use connection::Connection;
pub use door::Door;
pub use fair_stream::{FairStream, MAX_TURN_BYTES};
pub use guarded_stream::GuardedStream;
pub use progress::Progress;
pub use request_hold::RequestHold;
pub use serve::{accept, serve};
