//! The plan of a roll-out: shares, servers on trial, times and deciding nodes.
//!
//! All of it follows from the order's age and the members, so that nodes need not tell one another
//! of steps. Only the verdict is agreed.

use crank_protocol::config::Revision;
use crank_protocol::rollout::ExposureLimit;
use crank_protocol::{Millis, Name, Permille};
use sha2::{Digest, Sha256};

use crate::Moment;

/// How long nodes get to learn of a completed roll-out and to finish their requests at servers of
/// other releases, if they do not report that they have.
pub const MOVE_TIME: Millis = Millis(3_000);
/// The part of the duration after the trial: for the verdict, [`MOVE_TIME`] and the report.
const END_TIME: Millis = Millis(5_000);
/// How long a trial server gets requests before the next one does. A server at a time gets the
/// load of an old one, and the verdict does not hang on a single server.
const WINDOW_TIME: Millis = Millis(700);
/// The share of the exposure limit that is planned for the first and the second half of the trial;
/// the rest covers nodes that learn of the order late.
const FIRST_SHARE_PERCENT: u32 = 45;
const SECOND_SHARE_PERCENT: u32 = 75;
/// The part of the exposure limit's slack that is granted by time. The rest covers what nodes count
/// twice, as when they start anew.
const GRANTED_SLACK_PERCENT: u64 = 50;
/// How many nodes collect the evidence on an order and may decide it.
const DECIDERS: usize = 5;
const PERCENT: u32 = 100;
const THOUSANDTHS: usize = 1_000;

/// Returns the share of a service's requests that goes to the new release at this age of an order.
///
/// With few old servers the share is smaller, so that a trial server gets no more load than an old
/// one.
///
/// ```
/// use crank_engine::rollout::trial_share;
/// use crank_protocol::{Millis, Permille, rollout::ExposureLimit};
/// let limit = ExposureLimit::default();
/// let share = |age| trial_share(Millis(age), Millis(16_000), limit, 40);
/// assert_eq!([share(0), share(9_000), share(16_000)], [Permille(45), Permille(75), Permille(0)]);
/// ```
#[must_use]
pub fn trial_share(
    age: Millis,
    duration: Millis,
    limit: ExposureLimit,
    old_servers: usize,
) -> Permille {
    if age >= duration {
        return Permille(0);
    }
    let percent = if age.0 < completes_at(duration).0 / 2 {
        FIRST_SHARE_PERCENT
    } else {
        SECOND_SHARE_PERCENT
    };
    let share = Permille(limit.share.0 * percent / PERCENT);
    let fair = THOUSANDTHS * trial_servers(share, old_servers) / old_servers.max(1);
    Permille(share.0.min(u32::try_from(fair).unwrap_or(u32::MAX)))
}

/// Returns what each of `nodes` nodes may send to the new release up to this age of an order even if
/// the share is less, in thousandths of a request.
///
/// All nodes together grant a part of the slack, so that a release gets some answers also where the
/// service has few requests.
///
/// ```
/// use crank_engine::rollout::trial_credit;
/// use crank_protocol::{Millis, rollout::ExposureLimit};
/// let limit = ExposureLimit::default();
/// let credit = |age| trial_credit(Millis(age), Millis(16_000), limit, 10);
/// assert_eq!([credit(0), credit(5_500), credit(11_000), credit(15_000)], [0, 1_250, 2_500, 2_500]);
/// ```
#[must_use]
pub fn trial_credit(age: Millis, duration: Millis, limit: ExposureLimit, nodes: usize) -> u64 {
    let trial = completes_at(duration).0.max(1);
    let granted = u64::from(limit.slack) * THOUSANDTHS as u64 * GRANTED_SLACK_PERCENT;
    let each = granted / u64::from(PERCENT) / (nodes.max(1) as u64);
    each * age.0.min(trial) / trial
}

/// Returns how many servers a share of the requests loads as much as the old ones are loaded.
///
/// ```
/// use crank_engine::rollout::trial_servers;
/// use crank_protocol::Permille;
/// assert_eq!(trial_servers(Permille(40), 75), 3);
/// ```
#[must_use]
pub fn trial_servers(share: Permille, old_servers: usize) -> usize {
    let loaded = (share.0 as usize * old_servers + THOUSANDTHS / 2) / THOUSANDTHS;
    loaded.max(1)
}

/// Returns the servers of the new release that get the trial's requests at this age, out of
/// `ranked`, which all nodes sort alike.
///
/// ```
/// use crank_engine::rollout::trial_window;
/// use crank_protocol::Millis;
/// assert_eq!(trial_window(&["a", "b", "c"], 2, Millis(1_000)), [&"c", &"a"]);
/// ```
#[must_use]
pub fn trial_window<T>(ranked: &[T], servers: usize, age: Millis) -> Vec<&T> {
    let window = usize::try_from(age.0 / WINDOW_TIME.0).unwrap_or(0);
    let start = window.saturating_mul(servers);
    let taken = servers.min(ranked.len());
    let index = |offset: usize| start.saturating_add(offset) % ranked.len();
    (0..taken).map(|offset| &ranked[index(offset)]).collect()
}

/// Returns the age at which an order without evidence against its release is completed.
///
/// ```
/// use crank_engine::rollout::completes_at;
/// use crank_protocol::Millis;
/// assert_eq!(completes_at(Millis(16_000)), Millis(11_000));
/// ```
#[must_use]
pub fn completes_at(duration: Millis) -> Millis {
    Millis(duration.0.saturating_sub(END_TIME.0).max(duration.0 / 2))
}

/// Returns whether the old servers of a completed roll-out may stop.
///
/// `waiting` is the number of nodes that have not reported that they are done with them, and
/// `since` the moment of the verdict.
///
/// ```
/// use crank_engine::{Moment, rollout::is_settled};
/// assert!(is_settled(0, Moment(0), Moment(1)));
/// assert!(!is_settled(1, Moment(0), Moment(1)));
/// ```
#[must_use]
pub fn is_settled(waiting: usize, since: Moment, now: Moment) -> bool {
    waiting == 0 || now >= since.after(MOVE_TIME)
}

/// Returns the nodes that collect the evidence on an order and decide it, in the order in which
/// they report.
///
/// ```
/// use crank_engine::rollout::deciders;
/// use crank_protocol::{Name, config::Revision};
/// let nodes = [Name::new("n1").unwrap(), Name::new("n2").unwrap()];
/// assert_eq!(deciders(Revision(7), nodes.iter()).len(), 2);
/// ```
#[must_use]
pub fn deciders<'a>(order: Revision, nodes: impl Iterator<Item = &'a Name>) -> Vec<Name> {
    let mut ranked: Vec<(u64, &Name)> = nodes.map(|node| (rank(order, node), node)).collect();
    ranked.sort();
    let first = ranked.into_iter().take(DECIDERS);
    first.map(|(_, node)| node.clone()).collect()
}

/// Ranks nodes differently for each order, and alike on all nodes.
pub(super) fn rank(order: Revision, node: &Name) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(order.0.to_be_bytes());
    hasher.update(node.as_str());
    let hash = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(prefix)
}
