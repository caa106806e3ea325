use std::collections::BTreeMap;

use crank_protocol::Name;
use sha2::{Digest, Sha256};

use super::Distance;
use super::target::Target;

/// The number of targets in its own data centre that a node may always connect to.
pub const MIN_LOCAL_TARGETS: usize = 4;
/// The number of targets in the rest of its region that a node may always connect to, and the same
/// number again in other regions.
pub const MIN_REMOTE_TARGETS: usize = 3;

/// The share of a server's connection limit that subsets fill on average, in percent.
///
/// The rest is a reserve, because random hashing gives some servers more connections than others.
const MEAN_FILL_PERCENT: usize = 70;

/// Selects the targets that a node may connect to, so that the number of connections to each
/// target stays bounded.
///
/// The selection uses rendezvous hashing: it is the same after a restart, differs from node to
/// node, and changes little when members join or leave.
pub(super) fn select(
    node: &Name,
    nodes: usize,
    connections: u32,
    targets: &BTreeMap<Name, Target>,
) -> BTreeMap<Distance, Vec<Name>> {
    let available_connections = connections as usize * targets.len() * MEAN_FILL_PERCENT / 100;
    let share = available_connections / nodes.max(1);
    let mut ranked: BTreeMap<Distance, Vec<(u64, &Name)>> = BTreeMap::new();
    for (id, target) in targets {
        let ranks = ranked.entry(target.distance).or_default();
        ranks.push((rendezvous_weight(node, id), id));
    }
    ranked
        .into_iter()
        .map(|(distance, ranks)| {
            (
                distance,
                highest_ranked(ranks, max_targets(distance, share)),
            )
        })
        .collect()
}

fn max_targets(distance: Distance, share: usize) -> usize {
    match distance {
        Distance::Near => share.max(MIN_LOCAL_TARGETS),
        Distance::Region | Distance::Far => share.max(MIN_REMOTE_TARGETS),
    }
}

fn highest_ranked(mut ranks: Vec<(u64, &Name)>, limit: usize) -> Vec<Name> {
    ranks.sort_by(|a, b| b.cmp(a));
    ranks.truncate(limit);
    ranks.into_iter().map(|(_, id)| id.clone()).collect()
}

fn rendezvous_weight(node: &Name, target: &Name) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(node.as_str());
    hasher.update([0]);
    hasher.update(target.as_str());
    let hash = hasher.finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(prefix)
}
