//! Publishing: from a folder's listing to an accepted version.
//!
//! The lease only saves reads. What keeps versions in order is [`head_update`]: the head row moves from
//! exactly the version that was read to the next one, or not at all.

mod head;
mod lease;
mod size;
mod watch;

pub use head::{Head, HeadUpdate, HeadUpdateOutcome, head_update, head_update_outcome};
pub use lease::{Lease, LeaseAction, LeaseManager, LeaseWrite};
pub use size::size_faults;
pub use watch::{FolderWatch, ListedFile, ListingState, PUSH_MARKER, PUSH_MARKER_TIMEOUT};

use crank_protocol::Millis;

/// The time between two listings of the folder, in milliseconds.
pub const FOLDER_POLL_INTERVAL: Millis = Millis(250);
/// How long a listing must stay the same before the folder is read, in milliseconds.
pub const SETTLE_WINDOW: Millis = Millis(500);
/// How long a lease holds without a renewal, in milliseconds.
pub const LEASE_DURATION: Millis = Millis(3_000);
/// The age at which a lease is renewed, in milliseconds.
pub const LEASE_RENEWAL_AGE: Millis = Millis(1_000);
/// The time between two looks of a candidate at the lease and the head, in milliseconds.
pub const LEASE_POLL_INTERVAL: Millis = Millis(500);
