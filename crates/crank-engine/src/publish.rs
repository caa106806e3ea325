//! Publishing: from the listing of the folder to an accepted version.
//!
//! The lease only saves reads of the store: one publisher at a time polls the folder. The order of
//! versions does not depend on it. [`head_update`] guarantees that order: a compare-and-set moves
//! the head row from exactly the version that was read to the next one, or fails.

mod head;
mod lease;
mod size;
mod watch;

pub use head::{Head, HeadUpdate, HeadUpdateOutcome, head_update, head_update_outcome};
pub use lease::{Lease, LeaseAction, LeaseManager, LeaseWrite};
pub use size::size_faults;
pub use watch::{FolderWatch, ListedFile, ListingState, PUSH_MARKER, PUSH_MARKER_TIMEOUT};

use crank_protocol::Millis;

/// The interval between two listings of the folder.
pub const FOLDER_POLL_INTERVAL: Millis = Millis(250);
/// How long a listing must stay unchanged before the folder is read.
pub const SETTLE_WINDOW: Millis = Millis(500);
/// How long a lease is valid without a renewal.
pub const LEASE_DURATION: Millis = Millis(3_000);
/// The age at which the holder renews a lease.
pub const LEASE_RENEWAL_AGE: Millis = Millis(1_000);
/// The interval at which a candidate for publishing reads the lease row and the head row.
pub const LEASE_POLL_INTERVAL: Millis = Millis(500);
