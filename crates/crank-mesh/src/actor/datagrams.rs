//! Handling of datagrams: probes, gossip and status queries.

use std::sync::atomic::Ordering;

use crank_engine::Moment;
use crank_engine::member::{LearnOutcome, OutgoingProbe};
use crank_engine::spread::{PeerReport, VersionComparison};
use crank_protocol::config::Stamp;
use crank_protocol::member::Member;
use crank_protocol::status::NodeStatus;
use crank_protocol::wire::{Datagram, Probe};
use crank_protocol::{Millis, Name};
use xtra::Handler;

use super::message::{DatagramReceived, DatagramRejected};
use super::state::{Mesh, NewerConfig};
use crate::handle::LocalStatus;
use crate::traffic::{Direction, Reach};

/// How long the member table must be unchanged before a differing table is fetched.
const TABLE_STABLE_TIME: Millis = Millis(1_000);
/// A differing table is fetched after this delay even if the member table keeps changing.
const MAX_TABLE_COMPARISON_DELAY: Millis = Millis(5_000);
/// The minimum time between two table comparisons within the region.
const LOCAL_TABLE_COMPARISON_INTERVAL: Millis = Millis(20_000);
/// The minimum time between two table comparisons between regions. It is shorter because less is
/// pushed between regions.
const REMOTE_TABLE_COMPARISON_INTERVAL: Millis = Millis(5_000);
/// The interval of the probes over the first bridge to a region.
const REMOTE_PROBE_INTERVAL: Millis = Millis(2_000);
/// The standby bridges to a region are probed once in this many probe rounds.
const STANDBY_PROBE_ROUNDS: u64 = 3;
/// The interval of the status queries of a node whose configuration is not known to be current.
const REPORT_QUERY_INTERVAL: Millis = Millis(500);

impl Handler<DatagramReceived> for Mesh {
    type Return = ();

    async fn handle(&mut self, received: DatagramReceived, _: &mut xtra::Context<Self>) {
        let DatagramReceived {
            address,
            datagram,
            bytes,
        } = received;
        let is_from_peer = datagram.account == self.account && datagram.from != self.settings.id;
        if !is_from_peer || self.settings.blocked.contains(address) {
            return;
        }
        let reach = self.reach_of(&datagram.from);
        self.outputs
            .traffic
            .add_datagram(reach, Direction::Received, bytes);
        self.handle_datagram(address, datagram, reach);
        self.schedule_flush();
    }
}

impl Handler<DatagramRejected> for Mesh {
    type Return = ();

    async fn handle(&mut self, rejected: DatagramRejected, _: &mut xtra::Context<Self>) {
        self.outputs
            .error_counters
            .malformed_messages
            .fetch_add(1, Ordering::Relaxed);
        let DatagramRejected { address, error } = rejected;
        log::warn!(event = "datagram_dropped", peer:% = address; "{error}");
    }
}

impl Mesh {
    /// Processes a datagram: gossip, reachability of regions, stamps, tables and the probe.
    fn handle_datagram(&mut self, address: std::net::SocketAddr, datagram: Datagram, reach: Reach) {
        let now = self.now();
        let from = datagram.from;
        for update in datagram.gossip {
            self.learn_member(update, None, now);
        }
        self.record_receipt(&from, now);
        for age in datagram.regions {
            if age.region != self.settings.place.region {
                self.regions.record_heard(&age.region, age.age, now);
            }
        }
        self.compare_stamps(&from, datagram.stamp.as_ref(), now);
        match datagram.probe {
            Probe::Message(message) => self.outputs.publish_message(from, message),
            Probe::Ask { .. } | Probe::Told { .. } => {
                self.handle_probe(address, &from, datagram.stamp, &datagram.probe);
            }
            Probe::Ping { .. } | Probe::Ack { .. } | Probe::PingFor { .. } => {
                self.compare_tables(&from, datagram.table, reach, now);
                self.handle_probe(address, &from, datagram.stamp, &datagram.probe);
            }
        }
    }

    /// Answers a probe or a status query, or records the answer to one.
    fn handle_probe(
        &mut self,
        address: std::net::SocketAddr,
        from: &Name,
        stamp: Option<Stamp>,
        probe: &Probe,
    ) {
        match probe {
            Probe::Ask { number } => {
                let local_status = *self.local_status.borrow();
                let answer = Probe::Told {
                    number: *number,
                    current: *self.outputs.ready.borrow(),
                    ready: local_status.ready,
                    in_flight: local_status.in_flight,
                    operators: local_status.operator_address,
                };
                let to = from.clone();
                self.send_datagrams(vec![OutgoingProbe {
                    address,
                    to,
                    probe: answer,
                }]);
            }
            Probe::Told {
                number,
                current,
                ready,
                in_flight,
                operators,
            } => {
                let status = LocalStatus {
                    ready: *ready,
                    in_flight: *in_flight,
                    operator_address: *operators,
                };
                self.handle_status_answer(from, stamp, *number, *current, status);
            }
            _ => {
                let probes = self.prober.receive(&self.table, from, address, probe);
                self.send_datagrams(probes);
            }
        }
    }

    /// Records another node's answer to a status query.
    fn handle_status_answer(
        &mut self,
        from: &Name,
        stamp: Option<Stamp>,
        number: u64,
        current: bool,
        status: LocalStatus,
    ) {
        let Some(member) = self.table.get(from).cloned() else {
            return;
        };
        if self.startup_check.needs_reports() {
            let report = PeerReport {
                data_centre: member.place.data_centre.clone(),
                stamp: stamp.clone(),
                current,
            };
            self.startup_check.record_report(from, report);
        }
        if let Some(answers) = self.status_queries.get(&number) {
            let node = NodeStatus {
                member,
                applied: stamp,
                ready: status.ready,
                in_flight: status.in_flight,
                operators: status.operator_address,
            };
            let _ = answers.try_send(node);
        }
    }

    /// Records that a message of another node was received.
    pub(crate) fn record_receipt(&mut self, from: &Name, now: Moment) {
        if let Some(member) = self.table.get(from) {
            let region = &member.place.region;
            if *region != self.settings.place.region {
                self.regions.record_heard(region, Millis(0), now);
            }
        }
        let connections = self.connections.values_mut();
        for connection in connections.filter(|connection| connection.peer.as_ref() == Some(from)) {
            connection.last_received = now;
        }
    }

    /// Merges a membership update into the member table.
    pub(crate) fn learn_member(&mut self, update: Member, from: Option<&Name>, now: Moment) {
        if update.place.region != self.settings.place.region {
            self.regions.add_region(&update.place.region, now);
        }
        let address = update.address;
        match self.table.learn(update, from, now) {
            LearnOutcome::Refuted if self.joined => self.prober.degrade_local_health(),
            LearnOutcome::Contested => self.report_name_conflict(address),
            _ => {}
        }
    }

    /// Counts and logs that another process uses this node's name.
    pub(crate) fn report_name_conflict(&self, address: std::net::SocketAddr) {
        let error_counters = &self.outputs.error_counters;
        error_counters
            .name_conflicts
            .fetch_add(1, Ordering::Relaxed);
        log::error!(
            event = "name_contested", rival:% = address;
            "another process uses this node's name: give each node a unique name"
        );
    }

    /// Compares the stamp of another node's configuration with that of this node, and records a
    /// newer one.
    pub(crate) fn compare_stamps(&mut self, from: &Name, theirs: Option<&Stamp>, now: Moment) {
        let connections = self.connections.values_mut();
        for connection in connections.filter(|connection| connection.peer.as_ref() == Some(from)) {
            connection.stamp = theirs.cloned();
        }
        match (self.replica.compare(theirs), theirs) {
            (VersionComparison::PeerAhead, Some(stamp)) => {
                let known = self.newer_config.as_ref().map(|newer| newer.stamp.version);
                if known.is_none_or(|version| version < stamp.version) {
                    self.newer_config = Some(NewerConfig {
                        node: from.clone(),
                        stamp: stamp.clone(),
                        since: now,
                    });
                }
            }
            (VersionComparison::Conflict, _) => {
                self.handle_step(&crank_engine::spread::Step::Conflict, Some(from));
            }
            _ => {}
        }
    }

    /// Schedules a fetch of another node's member table if its checksum differs and a comparison is
    /// due.
    fn compare_tables(&mut self, from: &Name, table_checksum: u64, reach: Reach, now: Moment) {
        let is_overdue = now.since(self.next_table_comparison) >= MAX_TABLE_COMPARISON_DELAY;
        let is_stable = now.since(self.table_changed_at) >= TABLE_STABLE_TIME || is_overdue;
        if table_checksum == self.table.checksum()
            || !is_stable
            || now < self.next_table_comparison
            || !self.joined
        {
            return;
        }
        self.next_table_comparison = now.after(match reach {
            Reach::Near => LOCAL_TABLE_COMPARISON_INTERVAL,
            Reach::Far => REMOTE_TABLE_COMPARISON_INTERVAL,
        });
        log::debug!(
            event = "tables_differ", peer:% = from, reach:? = reach;
            "fetching the member table"
        );
        self.schedule_fetch(from.clone(), true, now);
        self.send_pending_fetches();
    }

    /// Probes the peers in other regions to which this node opened connections.
    pub(crate) fn probe_remote_peers(&mut self, now: Moment) {
        if now < self.next_remote_probe {
            return;
        }
        self.next_remote_probe = now.after(REMOTE_PROBE_INTERVAL);
        self.remote_probe_round += 1;
        let is_standby_round = self.remote_probe_round.is_multiple_of(STANDBY_PROBE_ROUNDS);
        let remote = self
            .connections
            .values()
            .filter(|connection| connection.reach == Reach::Far && connection.dial_target.is_some())
            .filter(|connection| is_standby_round || self.is_push_connection(connection));
        let peers: Vec<Name> = remote
            .filter_map(|connection| connection.peer.clone())
            .collect();
        for peer in peers {
            let number = self.prober.next_probe_number();
            self.send_probe(&peer, Probe::Ping { number });
        }
    }

    /// Sends a probe to a known member.
    pub(crate) fn send_probe(&mut self, to: &Name, probe: Probe) {
        if let Some(member) = self.table.get(to) {
            let outgoing = OutgoingProbe {
                address: member.address,
                to: to.clone(),
                probe,
            };
            self.send_datagrams(vec![outgoing]);
        }
    }

    /// Queries nodes of several data centres for their stamps until this node's configuration is
    /// known to be current; then publishes that this node is ready.
    pub(crate) fn update_readiness(&mut self, now: Moment) {
        if !self.startup_check.needs_reports() {
            return;
        }
        let others: Vec<Member> = self.others().cloned().collect();
        if self.startup_check.is_current(self.replica.stamp(), &others) {
            self.outputs.ready.send_replace(true);
            return;
        }
        if now < self.next_report_query {
            return;
        }
        self.next_report_query = now.after(REPORT_QUERY_INTERVAL);
        let number = self.prober.next_probe_number();
        for node in self.startup_check.nodes_to_ask(&others, &mut self.rng) {
            self.send_probe(&node.id, Probe::Ask { number });
        }
    }
}
