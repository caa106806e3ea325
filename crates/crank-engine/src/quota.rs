//! Rate limits of client accounts that hold over all nodes together.
//!
//! The load that this answers: an account whose callers are spread over all nodes, and move between
//! them, sends several times its limit, or its limit falls far below what it sends. What lies below
//! the limit must be admitted wherever it arrives, also if an account sends less than one request a
//! second to each node, so a fixed share for each node does not do.
//!
//! Each account belongs to a [`Shard`], and each shard has a
//! [`Home`] node. An [`EntryLimiter`] reports what it admitted to the homes several times a second.
//! A home keeps one token bucket for an account. While the bucket covers the demand, entries admit
//! everything; from then on the home divides the rate among them by their demand. What an entry
//! was granted expires soon; without a grant it keeps to an equal share of the limit.

mod bucket;
mod entry;
mod home;
mod limits;
mod place;
mod recent;

use crank_protocol::config::RateLimit;
use crank_protocol::quota::{AccountHash, Shard};
use crank_protocol::{Millis, Name};

pub use bucket::TokenBucket;
pub use entry::EntryLimiter;
pub use home::{Answer, Home};
pub use limits::LimitTable;
pub use place::Fleet;
pub use recent::{RECENT_WINDOW, RecentCounter};

use crate::hash;

/// The number of shards, and so the most homes that an entry reports to.
pub const SHARDS: u8 = 4;
/// How often an entry reports to a home.
pub const REPORT_INTERVAL: Millis = Millis(500);
/// How often an entry reports while one of its accounts is limited.
pub const LIMITED_REPORT_INTERVAL: Millis = Millis(200);
/// The shortest time between two reports to one home.
pub const MIN_REPORT_INTERVAL: Millis = Millis(60);
/// How long a grant is valid after the report that it answers was sent.
pub const GRANT_TTL: Millis = Millis(1_300);
/// A home that has not answered for this long is passed over.
pub const HOME_TIMEOUT: Millis = Millis(800);

/// Returns the hash by which messages name an account.
///
/// ```
/// use crank_engine::quota::account_hash;
/// use crank_protocol::Name;
/// let name = Name::new("mill-7").unwrap();
/// assert_eq!(account_hash(&name), account_hash(&name.clone()));
/// ```
#[must_use]
pub fn account_hash(account: &Name) -> AccountHash {
    AccountHash(hash::stable(&[b"quota", account.as_str().as_bytes()]))
}

/// Returns the shard that an account belongs to.
///
/// ```
/// use crank_engine::quota::{SHARDS, shard_of};
/// use crank_protocol::quota::AccountHash;
/// assert!(shard_of(AccountHash(7)).0 < SHARDS);
/// ```
#[must_use]
pub fn shard_of(account: AccountHash) -> Shard {
    let number = account.0 % u64::from(SHARDS);
    Shard(u8::try_from(number).unwrap_or_default())
}

/// Returns the part of a limit that `nodes` of `known` nodes may use, as rate and size.
fn part_of(limit: RateLimit, nodes: usize, known: usize) -> (f64, f64) {
    let share = nodes as f64 / known.max(nodes).max(1) as f64;
    let rate = f64::from(limit.per_second) * share;
    (rate, f64::from(limit.burst) * share)
}
