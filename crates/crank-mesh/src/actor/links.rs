//! Which control connections are open.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use crank_engine::Moment;
use crank_engine::overlay;
use crank_protocol::member::{Member, State};
use crank_protocol::wire::{Control, Members};
use crank_protocol::{Millis, Name};
use rand::seq::IndexedRandom;
use xtra::Handler;

use super::message::{Closed, Dial, Opened};
use super::state::{Bridge, Errand, Link, Mesh, Missing, Plan};
use crate::Error;
use crate::link;
use crate::traffic::Reach;

/// Control connections that others may open to a node.
const MOST_LINKS: usize = 256;
/// A connection that nothing needs is closed after this.
const LINGER: Millis = Millis(5_000);
/// A connection to another region on which nothing is heard for this long is closed.
const FAR_SILENCE: Millis = Millis(20_000);
/// The region that is later in the alphabet waits this long to be connected to.
const FAR_TURN: Millis = Millis(3_000);
/// Seeds through which a node joins at once when it first learns of them.
const FIRST_SEEDS: usize = 4;
/// The time between two attempts to join through a seed.
const JOIN_PERIOD: Millis = Millis(1_000);
/// The time between two connections to a seed that no known node explains.
const STRANGE_SEED_PERIOD: Millis = Millis(60_000);
/// What is wanted of a node by name is given up after this.
const ERRAND_TIMEOUT: Millis = Millis(10_000);

impl Handler<Opened> for Mesh {
    type Return = Option<u64>;

    async fn handle(&mut self, opened: Opened, _: &mut xtra::Context<Self>) -> Option<u64> {
        if opened.dial.is_none() && self.links.len() >= MOST_LINKS {
            return None;
        }
        let now = self.now();
        if let Some(dial) = &opened.dial {
            self.dialing.remove(dial);
        }
        self.next_link += 1;
        let id = self.next_link;
        let link = Link {
            sender: opened.sender,
            dial: opened.dial,
            peer: None,
            reach: Reach::Near,
            stamp: None,
            heard: now,
            wanted: now,
        };
        self.links.insert(id, link);
        let hello = self.hello();
        self.send_frame(id, &hello);
        Some(id)
    }
}

impl Handler<Closed> for Mesh {
    type Return = ();

    async fn handle(&mut self, closed: Closed, _: &mut xtra::Context<Self>) {
        let Closed { link, dial, error } = closed;
        let now = self.now();
        let has_failed = match link.map(|link| self.links.remove(&link)) {
            None => true,
            Some(Some(link)) => link.peer.is_none() || error.is_some(),
            // This node has closed it.
            Some(None) => false,
        };
        if let Some(dial) = dial {
            self.dialing.remove(&dial);
            if has_failed {
                self.note_failure(&dial, now);
            }
        }
        let Some(error) = error else {
            return;
        };
        if matches!(error, Error::Malformed { .. } | Error::Oversized { .. }) {
            self.outputs
                .error_counters
                .malformed_messages
                .fetch_add(1, Ordering::Relaxed);
        }
        log::debug!(event = "link_closed"; "{error}");
    }
}

impl Mesh {
    /// Other members that are there.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Member> {
        self.table.members().filter(|member| {
            member.id != self.settings.id && matches!(member.state, State::Alive | State::Suspect)
        })
    }

    /// Opens the connections that are needed, and closes those that are not.
    pub(crate) fn keep_links(&mut self, now: Moment) {
        self.errands
            .retain(|_, errand| now.since(errand.since) < ERRAND_TIMEOUT);
        self.keep_plan();
        let mut wanted = self.plan.near.clone();
        wanted.extend(self.far_wanted(now));
        wanted.extend(self.errands.keys().cloned());
        self.close_links(&wanted, now);
        let linked: BTreeSet<&Name> = self
            .links
            .values()
            .filter_map(|link| link.peer.as_ref())
            .collect();
        let unlinked: Vec<Name> = wanted
            .into_iter()
            .filter(|id| !linked.contains(id))
            .collect();
        for id in unlinked {
            self.dial(Dial::Member(id), now);
        }
        self.dial_seed(now);
    }

    /// Works out neighbours and bridges again if the members have changed.
    fn keep_plan(&mut self) {
        let sum = self.table.checksum();
        if self.plan.sum == Some(sum) {
            return;
        }
        let here = &self.settings.place.region;
        let neighbours = overlay::neighbours(self.table.me(), self.table.members());
        let near = neighbours.iter().map(|member| member.id.clone()).collect();
        let regions: BTreeSet<&Name> = self
            .others()
            .map(|member| &member.place.region)
            .filter(|region| *region != here)
            .collect();
        let bridges = regions.into_iter().filter_map(|there| {
            let mine = overlay::bridges(here, there, self.table.members());
            let mut first = mine.iter().take(overlay::BRIDGES_PER_REGION);
            let rank = first.position(|member| member.id == self.settings.id)?;
            let theirs = overlay::bridges(there, here, self.table.members());
            let theirs = theirs.iter().map(|member| member.id.clone()).collect();
            Some((there.clone(), Bridge { rank, theirs }))
        });
        let bridges = bridges.collect();
        self.plan = Plan {
            sum: Some(sum),
            near,
            reads: overlay::should_follow_store(self.table.me(), self.table.members()),
            bridges,
        };
        self.missing.clear();
    }

    /// The nodes of other regions that this node should be connected to as a bridge: the one of its
    /// own rank there, or after failures the next; until then any to which there is a connection.
    fn far_wanted(&mut self, now: Moment) -> Vec<Name> {
        let mut wanted = Vec::new();
        for (there, bridge) in &self.plan.bridges {
            let missing = self.missing.entry(there.clone()).or_insert(Missing {
                since: now,
                attempts: 0,
            });
            let choice = (bridge.rank + missing.attempts) % bridge.theirs.len().max(1);
            let Some(choice) = bridge.theirs.get(choice) else {
                continue;
            };
            let is_there = |peer: &&Name| {
                let member = self.table.get(peer);
                member.is_some_and(|member| member.place.region == *there)
            };
            let peers = self.links.values().filter_map(|link| link.peer.as_ref());
            let linked: Vec<&Name> = peers.filter(is_there).collect();
            if linked.contains(&choice) {
                missing.since = now;
                wanted.push(choice.clone());
                continue;
            }
            wanted.extend(linked.first().map(|peer| (*peer).clone()));
            let is_turn = self.settings.place.region < *there;
            if !linked.is_empty() && !is_turn {
                missing.since = now;
            }
            if is_turn || now.since(missing.since) >= FAR_TURN {
                wanted.push(choice.clone());
            }
        }
        wanted
    }

    /// Whether news goes over a connection at once. Of the bridges between two regions only the
    /// first pushes, so that each change crosses once; probes make up for what it misses.
    pub(crate) fn is_eager(&self, link: &Link) -> bool {
        if link.reach == Reach::Near {
            return true;
        }
        let peer = link.peer.as_ref().and_then(|peer| self.table.get(peer));
        let bridge = peer.and_then(|member| self.plan.bridges.get(&member.place.region));
        bridge.is_some_and(|bridge| bridge.rank == 0)
    }

    pub(crate) fn note_failure(&mut self, dial: &Dial, now: Moment) {
        let backoff = self.backoffs.entry(dial.clone()).or_default();
        backoff.record_failure(now, &mut self.rng);
        if let Dial::Member(id) = dial
            && let Some(member) = self.table.get(id)
            && let Some(missing) = self.missing.get_mut(&member.place.region)
        {
            missing.attempts += 1;
        }
    }

    fn close_links(&mut self, wanted: &BTreeSet<Name>, now: Moment) {
        let (table, blocked) = (&self.table, &self.settings.blocked);
        self.links.retain(|_, link| {
            let Some(peer) = &link.peer else {
                return now.since(link.heard) < LINGER;
            };
            let Some(member) = table.get(peer) else {
                return false;
            };
            if wanted.contains(peer) || link.dial.is_none() {
                link.wanted = now;
            }
            let is_there = matches!(member.state, State::Alive | State::Suspect);
            let is_heard = link.reach == Reach::Near || now.since(link.heard) < FAR_SILENCE;
            let is_wanted = now.since(link.wanted) < LINGER;
            is_there && is_heard && is_wanted && !blocked.contains(member.address)
        });
    }

    /// Of two connections with a node, both sides keep the one that the earlier name opened.
    pub(crate) fn drop_double(&mut self, link: u64, peer: &Name) {
        let mut doubles: Vec<(bool, u64)> = self
            .links
            .iter()
            .filter(|(_, other)| other.peer.as_ref() == Some(peer))
            .map(|(id, other)| {
                let opened_here = other.dial.is_some();
                (opened_here == (self.settings.id < *peer), *id)
            })
            .collect();
        doubles.sort_unstable();
        doubles.pop();
        for (_, id) in doubles {
            log::trace!(event = "double_link", peer:% = peer, link; "dropping link {id}");
            self.links.remove(&id);
        }
    }

    fn dial_seed(&mut self, now: Moment) {
        if now < self.next_seed {
            return;
        }
        let mut seeds = self.settings.seeds.clone();
        let alone = self.others().next().is_none();
        let period = if self.joined && !alone {
            let known: BTreeSet<_> = self.others().map(|member| member.address).collect();
            seeds.retain(|seed| !known.contains(seed));
            STRANGE_SEED_PERIOD
        } else {
            JOIN_PERIOD
        };
        let mine = self.table.me().address;
        seeds.retain(|seed| *seed != mine);
        self.next_seed = now.after(period);
        if alone {
            self.joined = false;
        }
        if let Some(seed) = seeds.choose(&mut self.rng).copied() {
            self.dial(Dial::Seed(seed), now);
        }
        if !self.joined {
            self.ask_again();
        }
    }

    /// Joins through several seeds at once: where all nodes have just started, each knows few others.
    pub(crate) fn dial_seeds(&mut self, now: Moment) {
        let mine = self.table.me().address;
        let seeds = self.settings.seeds.iter().copied();
        let others: Vec<_> = seeds.filter(|seed| *seed != mine).collect();
        let chosen: Vec<_> = others.sample(&mut self.rng, FIRST_SEEDS).copied().collect();
        for seed in chosen {
            self.dial(Dial::Seed(seed), now);
        }
    }

    /// Asks a connected node for its table, where those asked so far were busy.
    fn ask_again(&mut self) {
        let greeted = self.links.iter().filter(|(_, link)| link.peer.is_some());
        let links: Vec<u64> = greeted.map(|(id, _)| *id).collect();
        if let Some(link) = links.choose(&mut self.rng) {
            self.send_frame(*link, &Control::WantMembers);
        }
    }

    fn dial(&mut self, dial: Dial, now: Moment) {
        let address = match &dial {
            Dial::Seed(address) => Some(*address),
            Dial::Member(id) => self.table.get(id).map(|member| member.address),
        };
        let is_due = self
            .backoffs
            .get(&dial)
            .is_none_or(|backoff| backoff.is_due(now));
        let is_open = self
            .links
            .values()
            .any(|link| link.dial.as_ref() == Some(&dial));
        let Some(address) = address else {
            return;
        };
        if !is_due || is_open || self.settings.blocked.contains(address) {
            return;
        }
        if self.dialing.insert(dial.clone()) {
            tokio::spawn(link::dial(dial, address, self.mailbox.clone()));
        }
    }

    pub(crate) fn errand(&mut self, node: Name, members: bool, now: Moment) {
        let errand = self.errands.entry(node).or_insert(Errand {
            since: now,
            members,
        });
        errand.members |= members;
    }

    /// Asks the nodes that are connected for what is wanted of them by name.
    pub(crate) fn run_errands(&mut self) {
        let ready: Vec<(u64, Name)> = self
            .links
            .iter()
            .filter_map(|(id, link)| link.peer.clone().map(|peer| (*id, peer)))
            .filter(|(_, peer)| self.errands.contains_key(peer))
            .collect();
        for (id, peer) in ready {
            let errand = self.errands.remove(&peer);
            if errand.is_some_and(|errand| errand.members) {
                self.send_frame(id, &Control::WantMembers);
            }
        }
    }

    /// Sends the gathered news to every connection but the one that it came from.
    pub(crate) fn flush(&mut self) {
        let now = self.now();
        let fresh = self.table.take_unsent();
        self.publish_view(now);
        let links: Vec<(u64, Name, Reach)> = self
            .links
            .iter()
            .filter(|(_, link)| self.is_eager(link))
            .filter_map(|(id, link)| link.peer.clone().map(|peer| (*id, peer, link.reach)))
            .collect();
        for (id, peer, reach) in links {
            let news: Vec<Member> = fresh
                .iter()
                .filter(|(member, from)| from.as_ref() != Some(&peer) && member.id != peer)
                .filter(|(member, _)| reach == Reach::Near || member.state != State::Suspect)
                .map(|(member, _)| member.clone())
                .collect();
            if !news.is_empty() {
                self.send_frame(id, &Control::News(Members(news)));
            }
        }
    }
}
