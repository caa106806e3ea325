//! Publishing: from a folder's listing to an accepted version.
//!
//! The lease only saves reads. What keeps versions in order is [`advance`]: the head row moves from
//! exactly the version that was read to the next one, or not at all.

mod head;
mod size;
mod tenure;
mod watch;

pub use head::{Advance, Fate, Head, advance, settle};
pub use size::oversize;
pub use tenure::{Lease, LeaseWrite, Tenure, TenureStep};
pub use watch::{Listed, Look, PUSH_LIMIT, PUSH_MARK, Watch};

use crank_protocol::Millis;

/// The time between two listings of the folder, in milliseconds.
pub const POLL: Millis = Millis(250);
/// How long a listing must stay the same before the folder is read, in milliseconds.
pub const SETTLE: Millis = Millis(500);
/// How long a lease holds without a renewal, in milliseconds.
pub const LEASE: Millis = Millis(3_000);
/// The age at which a lease is renewed, in milliseconds.
pub const RENEW: Millis = Millis(1_000);
/// The time between two looks of a candidate at the lease and the head, in milliseconds.
pub const LOOK: Millis = Millis(500);
