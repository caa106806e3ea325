//! Which nodes are neighbours, and which bridge regions.
//!
//! All choices are by rendezvous hashing, so that a change of one member moves few connections and
//! nodes with the same table choose alike.

use crank_protocol::Name;
use crank_protocol::member::{Member, State};

use crate::hash;

/// Neighbours that a node picks by rendezvous besides its successor on the ring.
pub const RENDEZVOUS_NEIGHBOURS: usize = 2;
/// Nodes of a region that hold connections to another region.
pub const BRIDGES_PER_REGION: usize = 3;
/// Nodes of a region that follow the platform's store.
pub const STORE_READERS_PER_REGION: usize = 4;
/// In a region of so many nodes all follow it.
pub const MAX_NODES_ALL_READ: usize = 8;

/// The members of a node's own region that it connects to: its successor on a hash ring, which
/// keeps the region connected, and some of its own for short paths.
///
/// ```
/// use crank_engine::overlay::neighbours;
/// use crank_protocol::{Name, member::{Member, Place, State}};
/// let member = |id: &str| Member {
///     id: Name::new(id).unwrap(),
///     place: Place { region: Name::new("bahia").unwrap(), data_centre: Name::new("b1").unwrap() },
///     address: "127.0.0.1:1".parse().unwrap(),
///     incarnation: 1,
///     link: 0,
///     state: State::Alive,
///     endpoint: None,
/// };
/// let members = [member("a"), member("b"), member("c")];
/// assert_eq!(neighbours(&members[0], &members).len(), 2);
/// ```
#[must_use]
pub fn neighbours<'a>(
    me: &Member,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut near: Vec<_> = members
        .into_iter()
        .filter(|other| other.id != me.id && other.place.region == me.place.region)
        .filter(|other| is_there(other))
        .collect();
    let position = |id: &Name| hash::stable(&[b"ring", id.as_str().as_bytes()]);
    let mine = position(&me.id);
    let successor = near
        .iter()
        .min_by_key(|other| (position(&other.id).wrapping_sub(mine), &other.id))
        .map(|other| other.id.clone());
    near.sort_by_cached_key(|other| {
        let weight = hash::stable(&[me.id.as_str().as_bytes(), other.id.as_str().as_bytes()]);
        (Some(&other.id) != successor.as_ref(), weight)
    });
    near.truncate(RENDEZVOUS_NEIGHBOURS + 1);
    near
}

/// The members of a region that hold its connections to another region, first choice first.
///
/// ```
/// use crank_engine::overlay::bridges;
/// use crank_protocol::Name;
/// let (from, to) = (Name::new("bahia")?, Name::new("pernambuco")?);
/// assert!(bridges(&from, &to, []).is_empty());
/// # Ok::<(), crank_protocol::Error>(())
/// ```
#[must_use]
pub fn bridges<'a>(
    from: &Name,
    to: &Name,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let salt = [from.as_str().as_bytes(), to.as_str().as_bytes()];
    let near = members
        .into_iter()
        .filter(|member| member.place.region == *from && is_there(member));
    ranked(near, salt)
}

/// The members that should publish, first choice first: those of the store's region, then others.
///
/// ```
/// use crank_engine::overlay::publisher_candidates;
/// use crank_protocol::Name;
/// assert!(publisher_candidates(&Name::new("almaty")?, 3, []).is_empty());
/// # Ok::<(), crank_protocol::Error>(())
/// ```
#[must_use]
pub fn publisher_candidates<'a>(
    region: &Name,
    count: usize,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let there = members.into_iter().filter(|member| is_there(member));
    let mut all = ranked(there, [b"publisher", region.as_str().as_bytes()]);
    all.sort_by_key(|member| member.place.region != *region);
    all.truncate(count);
    all
}

/// Whether a node is one of those of its region that follow the platform's store; the others learn
/// from these what is accepted.
///
/// A whole configuration crosses a reader's link with each change, so that wide links go first. In a
/// small region all read.
///
/// ```
/// use crank_engine::overlay::should_follow_store;
/// use crank_protocol::{Name, member::{Member, Place, State}};
/// let me = Member {
///     id: Name::new("a").unwrap(),
///     place: Place { region: Name::new("bahia").unwrap(), data_centre: Name::new("b1").unwrap() },
///     address: "127.0.0.1:1".parse().unwrap(),
///     incarnation: 1,
///     link: 0,
///     state: State::Alive,
///     endpoint: None,
/// };
/// assert!(should_follow_store(&me, [&me]));
/// ```
#[must_use]
pub fn should_follow_store<'a>(me: &Member, members: impl IntoIterator<Item = &'a Member>) -> bool {
    let near = members
        .into_iter()
        .filter(|member| member.place.region == me.place.region && is_there(member));
    let region = me.place.region.as_str().as_bytes();
    let mut near = ranked(near, [b"reader", region]);
    if near.len() <= MAX_NODES_ALL_READ {
        return true;
    }
    near.sort_by_key(|member| std::cmp::Reverse(member.link));
    near.iter()
        .take(STORE_READERS_PER_REGION)
        .any(|member| member.id == me.id)
}

fn is_there(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Suspect)
}

fn ranked<'a>(members: impl Iterator<Item = &'a Member>, salt: [&[u8]; 2]) -> Vec<&'a Member> {
    let mut all: Vec<_> = members.collect();
    all.sort_by_cached_key(|member| {
        let weight = hash::stable(&[salt[0], salt[1], member.id.as_str().as_bytes()]);
        (weight, member.id.clone())
    });
    all
}

/// A short hash of a client account's name, by which nodes of different accounts ignore each other.
///
/// ```
/// use crank_engine::overlay::account_tag;
/// use crank_protocol::Name;
/// assert_ne!(account_tag(&Name::new("sutkent")?), account_tag(&Name::new("lenha-viva")?));
/// # Ok::<(), crank_protocol::Error>(())
/// ```
#[must_use]
pub fn account_tag(account: &Name) -> u32 {
    let hash = hash::stable(&[b"account", account.as_str().as_bytes()]);
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
