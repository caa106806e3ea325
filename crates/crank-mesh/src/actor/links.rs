//! Management of the control connections: which are opened, kept and closed.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use crank_engine::Moment;
use crank_engine::{overlay, peer_budget};
use crank_protocol::member::{Member, State};
use crank_protocol::wire::{Control, Members};
use crank_protocol::{Millis, Name};
use rand::seq::IndexedRandom;
use xtra::Handler;

use super::message::{ConnectionClosed, ConnectionOpened, DialTarget};
use super::state::{Bridge, ControlConnection, DisconnectedRegion, Mesh, PendingFetch, Topology};
use crate::Error;
use crate::control;
use crate::traffic::Reach;

/// How long a connection that is no longer needed stays open.
const UNNEEDED_CONNECTION_TIMEOUT: Millis = Millis(5_000);
/// How long a connection to another region may receive nothing before it is closed.
const REMOTE_SILENCE_TIMEOUT: Millis = Millis(20_000);
/// How long a bridge waits for the other region to connect first, if its own region's name sorts
/// after that of the other.
const REMOTE_DIAL_DELAY: Millis = Millis(3_000);
/// The number of seeds that a node dials at once when it first learns of seeds.
const INITIAL_SEED_DIALS: usize = 4;
/// The interval of the attempts to join through a seed.
const JOIN_RETRY_INTERVAL: Millis = Millis(1_000);
/// The interval of the connections to seeds whose address belongs to no known member.
const UNKNOWN_SEED_INTERVAL: Millis = Millis(60_000);
/// How long a fetch from a node waits for a connection to it.
const FETCH_TIMEOUT: Millis = Millis(10_000);

impl Handler<ConnectionOpened> for Mesh {
    type Return = Option<u64>;

    async fn handle(
        &mut self,
        opened: ConnectionOpened,
        _: &mut xtra::Context<Self>,
    ) -> Option<u64> {
        if opened.dial_target.is_none() && self.has_all_connections() {
            return None;
        }
        let now = self.now();
        if let Some(dial_target) = &opened.dial_target {
            self.dialing.remove(dial_target);
        }
        self.last_connection_id += 1;
        let id = self.last_connection_id;
        let connection = ControlConnection {
            sender: opened.sender,
            dial_target: opened.dial_target,
            peer: None,
            reach: Reach::Near,
            stamp: None,
            last_received: now,
            last_needed: now,
        };
        self.connections.insert(id, connection);
        let hello = self.hello();
        self.send_frame(id, &hello);
        Some(id)
    }
}

impl Handler<ConnectionClosed> for Mesh {
    type Return = ();

    async fn handle(&mut self, closed: ConnectionClosed, _: &mut xtra::Context<Self>) {
        let ConnectionClosed {
            connection_id,
            dial_target,
            error,
        } = closed;
        let now = self.now();
        let has_failed = match connection_id.map(|id| self.connections.remove(&id)) {
            None => true,
            Some(Some(connection)) => connection.peer.is_none() || error.is_some(),
            // This node itself closed the connection.
            Some(None) => false,
        };
        if let Some(dial_target) = dial_target {
            self.dialing.remove(&dial_target);
            if has_failed {
                self.record_dial_failure(&dial_target, now);
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
    /// Returns whether there are so many connections that none is accepted; newcomers are counted
    /// elsewhere.
    fn has_all_connections(&self) -> bool {
        let connections = self.connections.values();
        let is_counted = |connection: &&ControlConnection| {
            connection.peer.is_some() || connection.dial_target.is_some()
        };
        let bounds = peer_budget::Bounds::new(self.settings.machine);
        connections.filter(is_counted).count() >= bounds.controls
    }

    /// Returns the other members that are alive or suspect.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Member> {
        self.table.members().filter(|member| {
            member.id != self.settings.id && matches!(member.state, State::Alive | State::Suspect)
        })
    }

    /// Opens the connections that are needed and closes the others.
    pub(crate) fn maintain_connections(&mut self, now: Moment) {
        self.pending_fetches
            .retain(|_, fetch| now.since(fetch.since) < FETCH_TIMEOUT);
        self.update_topology();
        let mut needed = self.topology.neighbours.clone();
        needed.extend(self.needed_remote_peers(now));
        needed.extend(self.pending_fetches.keys().cloned());
        self.close_unneeded_connections(&needed, now);
        let connected: BTreeSet<&Name> = self
            .connections
            .values()
            .filter_map(|connection| connection.peer.as_ref())
            .collect();
        let unconnected: Vec<Name> = needed
            .into_iter()
            .filter(|id| !connected.contains(id))
            .collect();
        for id in unconnected {
            self.dial(DialTarget::Member(id), now);
        }
        self.dial_seed(now);
    }

    /// Computes neighbours and bridges anew if the members have changed.
    fn update_topology(&mut self) {
        let table_checksum = self.table.checksum();
        if self.topology.table_checksum == Some(table_checksum) {
            return;
        }
        let local_region = &self.settings.place.region;
        let neighbours = overlay::neighbours(self.table.me(), self.table.members());
        let neighbours = neighbours.iter().map(|member| member.id.clone()).collect();
        let regions: BTreeSet<&Name> = self
            .others()
            .map(|member| &member.place.region)
            .filter(|region| *region != local_region)
            .collect();
        let bridges = regions.into_iter().filter_map(|remote_region| {
            let local_bridges = overlay::bridges(local_region, remote_region, self.table.members());
            let mut active = local_bridges.iter().take(overlay::BRIDGES_PER_REGION);
            let rank = active.position(|member| member.id == self.settings.id)?;
            let remote_nodes = overlay::bridges(remote_region, local_region, self.table.members());
            let remote_nodes = remote_nodes
                .iter()
                .map(|member| member.id.clone())
                .collect();
            Some((remote_region.clone(), Bridge { rank, remote_nodes }))
        });
        let bridges = bridges.collect();
        self.topology = Topology {
            table_checksum: Some(table_checksum),
            neighbours,
            is_store_reader: overlay::should_follow_store(self.table.me(), self.table.members()),
            bridges,
        };
        self.disconnected_regions.clear();
    }

    /// Returns the nodes of other regions to which this node, as a bridge, should be connected.
    ///
    /// For each region this is the node of the same rank, or the next one after each failed
    /// attempt. Until that connection is open, an existing connection to the region is kept.
    fn needed_remote_peers(&mut self, now: Moment) -> Vec<Name> {
        let mut needed = Vec::new();
        for (remote_region, bridge) in &self.topology.bridges {
            let disconnected = self
                .disconnected_regions
                .entry(remote_region.clone())
                .or_insert(DisconnectedRegion {
                    since: now,
                    failed_attempts: 0,
                });
            let choice =
                (bridge.rank + disconnected.failed_attempts) % bridge.remote_nodes.len().max(1);
            let Some(choice) = bridge.remote_nodes.get(choice) else {
                continue;
            };
            let is_in_region = |peer: &&Name| {
                let member = self.table.get(peer);
                member.is_some_and(|member| member.place.region == *remote_region)
            };
            let peers = self
                .connections
                .values()
                .filter_map(|connection| connection.peer.as_ref());
            let connected: Vec<&Name> = peers.filter(is_in_region).collect();
            if connected.contains(&choice) {
                disconnected.since = now;
                needed.push(choice.clone());
                continue;
            }
            needed.extend(connected.first().map(|peer| (*peer).clone()));
            let dials_first = self.settings.place.region < *remote_region;
            if !connected.is_empty() && !dials_first {
                disconnected.since = now;
            }
            if dials_first || now.since(disconnected.since) >= REMOTE_DIAL_DELAY {
                needed.push(choice.clone());
            }
        }
        needed
    }

    /// Returns whether updates are pushed over a connection at once.
    ///
    /// Of the bridges between two regions only the first pushes, so that each change crosses once;
    /// updates that it misses are found through probes.
    pub(crate) fn is_push_connection(&self, connection: &ControlConnection) -> bool {
        if connection.reach == Reach::Near {
            return true;
        }
        let peer = connection
            .peer
            .as_ref()
            .and_then(|peer| self.table.get(peer));
        let bridge = peer.and_then(|member| self.topology.bridges.get(&member.place.region));
        bridge.is_some_and(|bridge| bridge.rank == 0)
    }

    /// Backs off from a dial target after a failure; a bridge moves on to the next node of
    /// the region.
    pub(crate) fn record_dial_failure(&mut self, dial_target: &DialTarget, now: Moment) {
        let backoff = self.dial_backoffs.entry(dial_target.clone()).or_default();
        backoff.record_failure(now, &mut self.rng);
        if let DialTarget::Member(id) = dial_target
            && let Some(member) = self.table.get(id)
            && let Some(disconnected) = self.disconnected_regions.get_mut(&member.place.region)
        {
            disconnected.failed_attempts += 1;
        }
    }

    /// Closes connections that are unresponsive or not needed, and those to nodes that are not
    /// alive or are blocked.
    fn close_unneeded_connections(&mut self, needed: &BTreeSet<Name>, now: Moment) {
        let (table, blocked) = (&self.table, &self.settings.blocked);
        self.connections.retain(|_, connection| {
            let Some(peer) = &connection.peer else {
                return now.since(connection.last_received) < UNNEEDED_CONNECTION_TIMEOUT;
            };
            let Some(member) = table.get(peer) else {
                return false;
            };
            if needed.contains(peer) || connection.dial_target.is_none() {
                connection.last_needed = now;
            }
            let is_present = matches!(member.state, State::Alive | State::Suspect);
            let is_responsive = connection.reach == Reach::Near
                || now.since(connection.last_received) < REMOTE_SILENCE_TIMEOUT;
            let is_needed = now.since(connection.last_needed) < UNNEEDED_CONNECTION_TIMEOUT;
            is_present && is_responsive && is_needed && !blocked.contains(member.address)
        });
    }

    /// Closes duplicate connections to a node.
    ///
    /// Both sides keep the connection that was opened by the node whose name sorts first.
    pub(crate) fn close_duplicate_connections(&mut self, connection_id: u64, peer: &Name) {
        let mut duplicates: Vec<(bool, u64)> = self
            .connections
            .iter()
            .filter(|(_, other)| other.peer.as_ref() == Some(peer))
            .map(|(id, other)| {
                let is_outgoing = other.dial_target.is_some();
                (is_outgoing == (self.settings.id < *peer), *id)
            })
            .collect();
        duplicates.sort_unstable();
        duplicates.pop();
        for (_, id) in duplicates {
            log::trace!(
                event = "double_link", peer:% = peer, link = connection_id;
                "closing the duplicate connection {id}"
            );
            self.connections.remove(&id);
        }
    }

    /// Dials a random seed if a dial is due: one that belongs to no known member, or any of them
    /// until this node has joined.
    fn dial_seed(&mut self, now: Moment) {
        if now < self.next_seed_dial {
            return;
        }
        let mut seeds = self.settings.seeds.clone();
        let is_alone = self.others().next().is_none();
        let interval = if self.joined && !is_alone {
            let known: BTreeSet<_> = self.others().map(|member| member.address).collect();
            seeds.retain(|seed| !known.contains(seed));
            UNKNOWN_SEED_INTERVAL
        } else {
            JOIN_RETRY_INTERVAL
        };
        let own_address = self.table.me().address;
        seeds.retain(|seed| *seed != own_address);
        self.next_seed_dial = now.after(interval);
        if is_alone {
            self.joined = false;
        }
        if let Some(seed) = seeds.choose(&mut self.rng).copied() {
            self.dial(DialTarget::Seed(seed), now);
        }
        if !self.joined {
            self.request_members_again();
        }
    }

    /// Dials several seeds at once, because each seed knows few nodes if all have just started.
    pub(crate) fn dial_seeds(&mut self, now: Moment) {
        let own_address = self.table.me().address;
        let seeds = self.settings.seeds.iter().copied();
        let others: Vec<_> = seeds.filter(|seed| *seed != own_address).collect();
        let chosen: Vec<_> = others
            .sample(&mut self.rng, INITIAL_SEED_DIALS)
            .copied()
            .collect();
        for seed in chosen {
            self.dial(DialTarget::Seed(seed), now);
        }
    }

    /// Requests the member table from a random connected node, in case earlier requests met busy
    /// nodes.
    fn request_members_again(&mut self) {
        let identified = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.peer.is_some());
        let connection_ids: Vec<u64> = identified.map(|(id, _)| *id).collect();
        if let Some(connection_id) = connection_ids.choose(&mut self.rng) {
            self.send_frame(*connection_id, &Control::WantMembers);
        }
    }

    /// Opens a connection unless one is open or being opened, the backoff lasts or the address is
    /// blocked.
    fn dial(&mut self, dial_target: DialTarget, now: Moment) {
        let address = match &dial_target {
            DialTarget::Seed(address) => Some(*address),
            DialTarget::Member(id) => self.table.get(id).map(|member| member.address),
        };
        let is_due = self
            .dial_backoffs
            .get(&dial_target)
            .is_none_or(|backoff| backoff.is_due(now));
        let is_open = self
            .connections
            .values()
            .any(|connection| connection.dial_target.as_ref() == Some(&dial_target));
        let Some(address) = address else {
            return;
        };
        if !is_due || is_open || self.settings.blocked.contains(address) {
            return;
        }
        if self.dialing.insert(dial_target.clone()) {
            tokio::spawn(control::dial(dial_target, address, self.mailbox.clone()));
        }
    }

    /// Schedules a fetch of a node's member table if `members` is true, or else of its
    /// configuration.
    pub(crate) fn schedule_fetch(&mut self, node: Name, members: bool, now: Moment) {
        let fetch = self.pending_fetches.entry(node).or_insert(PendingFetch {
            since: now,
            members,
        });
        fetch.members |= members;
    }

    /// Sends the pending fetches whose nodes are connected.
    pub(crate) fn send_pending_fetches(&mut self) {
        let ready: Vec<(u64, Name)> = self
            .connections
            .iter()
            .filter_map(|(id, connection)| connection.peer.clone().map(|peer| (*id, peer)))
            .filter(|(_, peer)| self.pending_fetches.contains_key(peer))
            .collect();
        for (id, peer) in ready {
            let fetch = self.pending_fetches.remove(&peer);
            if fetch.is_some_and(|fetch| fetch.members) {
                self.send_frame(id, &Control::WantMembers);
            }
        }
    }

    /// Sends the collected membership updates to every connection except the one they came from.
    pub(crate) fn flush_updates(&mut self) {
        let now = self.now();
        let unsent = self.table.take_unsent();
        self.publish_view(now);
        let connections: Vec<(u64, Name, Reach)> = self
            .connections
            .iter()
            .filter(|(_, connection)| self.is_push_connection(connection))
            .filter_map(|(id, connection)| {
                connection
                    .peer
                    .clone()
                    .map(|peer| (*id, peer, connection.reach))
            })
            .collect();
        for (id, peer, reach) in connections {
            let updates: Vec<Member> = unsent
                .iter()
                .filter(|(member, from)| from.as_ref() != Some(&peer) && member.id != peer)
                .filter(|(member, _)| reach == Reach::Near || member.state != State::Suspect)
                .map(|(member, _)| member.clone())
                .collect();
            if !updates.is_empty() {
                self.send_frame(id, &Control::News(Members(updates)));
            }
        }
    }
}
