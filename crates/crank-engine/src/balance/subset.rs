use std::collections::BTreeMap;

use crank_protocol::Name;
use sha2::{Digest, Sha256};

use super::Distance;
use super::target::Target;

/// The targets of the own data centre that a node may always connect to.
pub const MIN_LOCAL_TARGETS: usize = 4;
/// The targets in the rest of the region, and again in the other regions, that a node may connect
/// to.
pub const MIN_REMOTE_TARGETS: usize = 3;

/// The share of a server's connections that subsets fill on average, in hundredths: random hashing
/// loads some servers more than others.
const FILL_PERCENT: usize = 70;

/// The targets that a node may connect to, so that the connections of each target stay bounded.
///
/// Rendezvous hashing makes the choice: it is the same after a restart, differs from node to node,
/// and changes little with the members.
pub(super) fn pick(
    own: &Name,
    nodes: usize,
    connections: u32,
    known: &BTreeMap<Name, Target>,
) -> BTreeMap<Distance, Vec<Name>> {
    let room = connections as usize * known.len() * FILL_PERCENT / 100;
    let share = room / nodes.max(1);
    let mut ranked: BTreeMap<Distance, Vec<(u64, &Name)>> = BTreeMap::new();
    for (id, target) in known {
        let ranks = ranked.entry(target.distance).or_default();
        ranks.push((weight(own, id), id));
    }
    ranked
        .into_iter()
        .map(|(distance, ranks)| (distance, highest(ranks, most(distance, share))))
        .collect()
}

fn most(distance: Distance, share: usize) -> usize {
    match distance {
        Distance::Near => share.max(MIN_LOCAL_TARGETS),
        Distance::Region | Distance::Far => share.max(MIN_REMOTE_TARGETS),
    }
}

fn highest(mut ranks: Vec<(u64, &Name)>, most: usize) -> Vec<Name> {
    ranks.sort_by(|one, other| other.cmp(one));
    ranks.truncate(most);
    ranks.into_iter().map(|(_, id)| id.clone()).collect()
}

fn weight(own: &Name, target: &Name) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(own.as_str());
    hasher.update([0]);
    hasher.update(target.as_str());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}
