//! Which nodes there are, and which of them is the home of a shard.

use std::collections::BTreeMap;

use crank_protocol::member::{Member, State};
use crank_protocol::quota::Shard;
use crank_protocol::{Millis, Name};

use super::SHARDS;
use crate::{Moment, hash};

/// How long a dead node still counts: it may be cut off and admit its equal share of the limits.
const DEAD_NODE_TTL: Millis = Millis(60_000);
/// How many candidates for a home are kept: the first, and those that replace it at once.
const CANDIDATES: usize = 3;

/// The nodes of the mesh, as far as the rate limits need them.
#[derive(Debug, Default)]
pub struct Fleet {
    present: usize,
    dead_since: BTreeMap<Name, Moment>,
    homes: BTreeMap<Shard, Vec<Name>>,
}

impl Fleet {
    /// Replaces the members by those of a newer view.
    ///
    /// The homes are members that are alive and have one of the widest links, by rendezvous
    /// hashing. That two nodes decide differently for a while is allowed for: a home only divides
    /// the parts of the limits that belong to the entries which report to it.
    ///
    /// ```
    /// use crank_engine::{Moment, quota::Fleet};
    /// let mut fleet = Fleet::default();
    /// fleet.update(Moment(0), &[]);
    /// assert_eq!(fleet.known_nodes(Moment(0)), 1);
    /// ```
    pub fn update<'a>(&mut self, now: Moment, members: impl IntoIterator<Item = &'a Member>) {
        let mut alive = Vec::new();
        let mut dead = BTreeMap::new();
        self.present = 0;
        for member in members {
            match member.state {
                State::Alive => {
                    self.present += 1;
                    alive.push(member);
                }
                State::Suspect => self.present += 1,
                State::Dead => {
                    let since = self.dead_since.get(&member.id).copied();
                    dead.insert(member.id.clone(), since.unwrap_or(now));
                }
                State::Left => {}
            }
        }
        self.dead_since = dead;
        let shards = (0..SHARDS).map(Shard);
        self.homes = shards
            .map(|shard| (shard, candidates(shard, &alive)))
            .collect();
    }

    /// Returns the home of a shard, which is not the node that is passed over if there is another.
    ///
    /// ```
    /// use crank_engine::quota::Fleet;
    /// use crank_protocol::quota::Shard;
    /// assert_eq!(Fleet::default().home(Shard(0), None), None);
    /// ```
    #[must_use]
    pub fn home(&self, shard: Shard, passed_over: Option<&Name>) -> Option<&Name> {
        let candidates = self.homes.get(&shard)?;
        let mut others = candidates.iter().filter(|name| Some(*name) != passed_over);
        others.next().or_else(|| candidates.first())
    }

    /// Returns how many nodes may admit requests: at least one, and also those that died lately.
    ///
    /// ```
    /// # use crank_engine::{Moment, quota::Fleet};
    /// assert_eq!(Fleet::default().known_nodes(Moment(0)), 1);
    /// ```
    #[must_use]
    pub fn known_nodes(&self, now: Moment) -> usize {
        let dead = self.dead_since.values();
        let counted = dead.filter(|since| now.since(**since) < DEAD_NODE_TTL);
        (self.present + counted.count()).max(1)
    }
}

fn candidates(shard: Shard, alive: &[&Member]) -> Vec<Name> {
    let widest = alive.iter().map(|member| member.link).max();
    let is_wide = |member: &&&Member| widest.is_some_and(|widest| member.link >= widest / 2);
    let mut wide: Vec<&Member> = alive.iter().filter(is_wide).copied().collect();
    wide.sort_by_key(|member| std::cmp::Reverse((weight(shard, &member.id), &member.id)));
    wide.into_iter()
        .take(CANDIDATES)
        .map(|member| member.id.clone())
        .collect()
}

fn weight(shard: Shard, id: &Name) -> u64 {
    hash::stable(&[b"quota-home", &[shard.0], id.as_str().as_bytes()])
}
