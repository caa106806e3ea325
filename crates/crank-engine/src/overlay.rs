//! The overlay network: which nodes connect to each other within a region and between regions.
//!
//! All choices use rendezvous hashing, so that nodes with the same member table make the same
//! choices, and a change of one member moves only a few connections.

use crank_protocol::Name;
use crank_protocol::member::{Member, State};

use crate::hash;

/// The number of neighbours that a node picks by rendezvous hashing, besides its ring successor.
pub const RENDEZVOUS_NEIGHBOURS: usize = 2;
/// The number of nodes of a region that keep connections to another region.
pub const BRIDGES_PER_REGION: usize = 3;
/// The number of nodes of a large region that follow the platform's store.
pub const STORE_READERS_PER_REGION: usize = 4;
/// The size up to which all nodes of a region follow the platform's store.
pub const MAX_NODES_ALL_READ: usize = 8;

/// Returns the members of the node's own region that it connects to.
///
/// The first is its successor on a hash ring, which keeps the region connected. The others are
/// picked by rendezvous hashing and shorten the paths.
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
    let mut in_region: Vec<_> = members
        .into_iter()
        .filter(|other| other.id != me.id && other.place.region == me.place.region)
        .filter(|other| is_running(other))
        .collect();
    let position = |id: &Name| hash::stable(&[b"ring", id.as_str().as_bytes()]);
    let own_position = position(&me.id);
    let successor = in_region
        .iter()
        .min_by_key(|other| (position(&other.id).wrapping_sub(own_position), &other.id))
        .map(|other| other.id.clone());
    in_region.sort_by_cached_key(|other| {
        let weight = hash::stable(&[me.id.as_str().as_bytes(), other.id.as_str().as_bytes()]);
        (Some(&other.id) != successor.as_ref(), weight)
    });
    in_region.truncate(RENDEZVOUS_NEIGHBOURS + 1);
    in_region
}

/// Returns the running members of the region `from` in order of preference for connecting it to
/// the region `to`.
///
/// The first [`BRIDGES_PER_REGION`] of them keep the connections.
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
    let in_region = members
        .into_iter()
        .filter(|member| member.place.region == *from && is_running(member));
    sorted_by_hash(in_region, salt)
}

/// Returns up to `count` members that are candidates for publishing, in order of preference.
///
/// Members of `region`, the region of the store, come before all others.
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
    let running = members.into_iter().filter(|member| is_running(member));
    let mut all = sorted_by_hash(running, [b"publisher", region.as_str().as_bytes()]);
    all.sort_by_key(|member| member.place.region != *region);
    all.truncate(count);
    all
}

/// Returns whether a node follows the platform's store.
///
/// In a region of up to [`MAX_NODES_ALL_READ`] nodes, all of them do. In a larger region,
/// [`STORE_READERS_PER_REGION`] nodes do, and the others receive accepted versions from them. A
/// full configuration crosses the link of such a node with each change, so nodes with
/// high-bandwidth links are preferred.
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
    let in_region = members
        .into_iter()
        .filter(|member| member.place.region == me.place.region && is_running(member));
    let region = me.place.region.as_str().as_bytes();
    let mut in_region = sorted_by_hash(in_region, [b"reader", region]);
    if in_region.len() <= MAX_NODES_ALL_READ {
        return true;
    }
    in_region.sort_by_key(|member| std::cmp::Reverse(member.link));
    in_region
        .iter()
        .take(STORE_READERS_PER_REGION)
        .any(|member| member.id == me.id)
}

fn is_running(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Suspect)
}

fn sorted_by_hash<'a>(
    members: impl Iterator<Item = &'a Member>,
    salt: [&[u8]; 2],
) -> Vec<&'a Member> {
    let mut all: Vec<_> = members.collect();
    all.sort_by_cached_key(|member| {
        let weight = hash::stable(&[salt[0], salt[1], member.id.as_str().as_bytes()]);
        (weight, member.id.clone())
    });
    all
}

/// Returns a short hash of the name of an owner.
///
/// Datagrams carry it, so that nodes of different accounts ignore each other.
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
