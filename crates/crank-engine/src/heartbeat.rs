//! Heartbeats: the stage of the backend server beside a node, derived from its announcements.

use crank_protocol::Millis;
use crank_protocol::member::Stage;

use crate::Moment;

/// The time without a heartbeat after which a backend server counts as gone.
///
/// Backend servers announce themselves every second.
pub const HEARTBEAT_TIMEOUT: Millis = Millis(3_000);

/// The last heartbeat of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The stage that the backend server announced.
    pub stage: Stage,
    /// The time at which the heartbeat was received.
    pub received_at: Moment,
    /// The last time that the backend server's address refused a connection, if it ever did.
    pub connection_refused_at: Option<Moment>,
}

/// Returns the stage that a backend server counts as: the announced stage, or [`Stage::Gone`] if
/// the heartbeat is at least as old as `timeout` or the address has refused a connection since.
///
/// ```
/// use crank_engine::{Moment, heartbeat::{HEARTBEAT_TIMEOUT, Heartbeat, effective_stage}};
/// use crank_protocol::member::Stage;
/// let received_at = Moment(0);
/// let heartbeat = Heartbeat { stage: Stage::Ready, received_at, connection_refused_at: None };
/// assert_eq!(effective_stage(&heartbeat, Moment(1_000_000), HEARTBEAT_TIMEOUT), Stage::Ready);
/// assert_eq!(effective_stage(&heartbeat, Moment(3_000_000), HEARTBEAT_TIMEOUT), Stage::Gone);
/// ```
#[must_use]
pub fn effective_stage(heartbeat: &Heartbeat, now: Moment, timeout: Millis) -> Stage {
    let is_timed_out = now.since(heartbeat.received_at) >= timeout;
    let is_refusing = heartbeat
        .connection_refused_at
        .is_some_and(|at| at >= heartbeat.received_at);
    if is_timed_out || is_refusing {
        Stage::Gone
    } else {
        heartbeat.stage
    }
}
