//! Other nodes: probes over UDP, control and call connections over WebSocket.

pub mod call;

mod error;

pub use error::Error;
