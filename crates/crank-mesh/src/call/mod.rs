//! Call connections: many requests at once between an entry node and a target's node.
//!
//! Each attempt has an id of its own, drawn at random; frames for an id that nobody waits for are
//! dropped and counted. The body of an answer is sent only against credit, so that a slow reader
//! holds up nobody else, and its length is checked at its end.

mod attempt;
mod frame;
mod link;
mod pool;
mod reader;
mod server;

use std::time::Duration;

pub use frame::socket_config;
pub use link::Connection;
pub use pool::{Peer, Pool};
pub use server::{RequestHandler, serve};

/// The bytes of one answer's body that may be on their way or unread.
pub const CREDIT_BYTES: u64 = 256 * 1_024;
/// The largest piece of a body in one frame, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1_024;
/// Attempts that may be in flight on one connection.
pub const MAX_IN_FLIGHT: usize = 1_024;

const HELLO_LIMIT: Duration = Duration::from_secs(2);
const PING_AFTER: Duration = Duration::from_secs(2);
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
const CLIENT_IDLE_LIMIT: Duration = Duration::from_secs(60);
const SERVER_IDLE_LIMIT: Duration = Duration::from_secs(150);
const STALL_LIMIT: Duration = Duration::from_secs(30);
const LAST_WORDS_LIMIT: Duration = Duration::from_secs(1);
const DRAIN_QUIET: Duration = Duration::from_millis(500);
