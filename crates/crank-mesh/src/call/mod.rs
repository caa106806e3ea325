//! Call connections, which multiplex requests between an entry node and the node of a target.
//!
//! A connection that goes silent for good is noticed by unanswered pings: new requests go over
//! another connection, and those on the silent one end once the node has answered elsewhere.
//!
//! Each attempt has a random id; frames with an unknown id are dropped and counted. Response bodies
//! are subject to credit-based flow control, so that a slow reader does not block other attempts,
//! and the length of a body is checked at its end.

mod attempt;
mod frame;
mod inbound;
mod link;
mod monitor;
mod pool;
mod reader;
mod response;
mod server;
mod uplink;
mod writer;

use std::time::Duration;

pub use frame::socket_config;
pub use inbound::Inbound;
pub(crate) use inbound::Registry;
pub use link::Connection;
pub use pool::{Peer, Pool};
pub use server::{RequestHandler, serve};
pub use uplink::SharedUplink;

/// The flow control window: the most bytes of one response body that may be in transit or unread.
pub const FLOW_CONTROL_WINDOW_BYTES: u64 = 256 * 1_024;
/// The most body bytes in one frame.
pub const MAX_CHUNK_BYTES: usize = 64 * 1_024;
/// The most attempts in flight on one connection.
pub const MAX_IN_FLIGHT: usize = 1_024;

/// How long a side waits for the hello of the other.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the client checks whether a connection was idle for too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The client closes a connection that was idle for this long.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The server closes a connection that was idle for this long.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(150);
/// How long the server waits for credit, or for its last frames to be written.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a side waits for the last frames of the other when a connection closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A draining server closes a connection that was quiet for this long.
const DRAIN_QUIET_TIME: Duration = Duration::from_millis(500);
