//! What a node believes of the backend server beside it.

use crank_protocol::Millis;
use crank_protocol::member::Stage;

use crate::Moment;

/// A backend server that announces itself each second and was not heard for this long is gone.
pub const HEARTBEAT_LIMIT: Millis = Millis(3_000);

/// The last announcement of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The stage it announced.
    pub stage: Stage,
    /// When it was heard.
    pub heard_at: Moment,
    /// When its address last refused a connection, if it did.
    pub refused_at: Option<Moment>,
}

/// The stage to believe: what was announced, unless `silence` has passed or the address refuses
/// since.
///
/// ```
/// use crank_engine::{Moment, announce::{HEARTBEAT_LIMIT, Heartbeat, stage}};
/// use crank_protocol::member::Stage;
/// let heard_at = Moment(0);
/// let heartbeat = Heartbeat { stage: Stage::Ready, heard_at, refused_at: None };
/// assert_eq!(stage(&heartbeat, Moment(1_000_000), HEARTBEAT_LIMIT), Stage::Ready);
/// assert_eq!(stage(&heartbeat, Moment(3_000_000), HEARTBEAT_LIMIT), Stage::Gone);
/// ```
#[must_use]
pub fn stage(heartbeat: &Heartbeat, now: Moment, silence: Millis) -> Stage {
    let is_old = now.since(heartbeat.heard_at) >= silence;
    let refuses = heartbeat
        .refused_at
        .is_some_and(|at| at >= heartbeat.heard_at);
    if is_old || refuses {
        Stage::Gone
    } else {
        heartbeat.stage
    }
}
