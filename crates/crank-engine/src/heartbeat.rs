//! What a node believes of the backend server beside it.

use crank_protocol::Millis;
use crank_protocol::member::Stage;

use crate::Moment;

/// A backend server that announces itself each second and was not heard for this long is gone.
pub const HEARTBEAT_TIMEOUT: Millis = Millis(3_000);

/// The last announcement of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The stage it announced.
    pub stage: Stage,
    /// When it was heard.
    pub received_at: Moment,
    /// When its address last refused a connection, if it did.
    pub connection_refused_at: Option<Moment>,
}

/// The stage to believe: what was announced, unless `timeout` has passed or the address refuses
/// since.
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
    let is_old = now.since(heartbeat.received_at) >= timeout;
    let refuses = heartbeat
        .connection_refused_at
        .is_some_and(|at| at >= heartbeat.received_at);
    if is_old || refuses {
        Stage::Gone
    } else {
        heartbeat.stage
    }
}
