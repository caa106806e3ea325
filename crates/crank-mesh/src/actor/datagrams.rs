//! Datagrams: probes, gossip, and what rides on them.

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

use super::message::{Heard, Unreadable};
use super::state::{Ahead, Mesh};
use crate::handle::LocalStatus;
use crate::traffic::{Direction, Reach};

/// Tables that differ while no news is under way are compared after this.
const TABLES_QUIET: Millis = Millis(1_000);
/// Where news never ceases, tables that differ are compared this long after they might have been.
const TABLES_OVERDUE: Millis = Millis(5_000);
/// The least time between two comparisons of tables within the region.
const TABLES_PERIOD: Millis = Millis(20_000);
/// The least time between two comparisons of tables between regions, where less is pushed.
const FAR_TABLES_PERIOD: Millis = Millis(5_000);
/// The time between two probes over the first bridge to a region.
const FAR_PERIOD: Millis = Millis(2_000);
/// Of so many times the other bridges, which stand by, are probed once.
const STANDBY_TURNS: u64 = 3;
/// The time between two rounds of questions by a node that is not current yet.
const REPORT_PERIOD: Millis = Millis(500);

impl Handler<Heard> for Mesh {
    type Return = ();

    async fn handle(&mut self, heard: Heard, _: &mut xtra::Context<Self>) {
        let Heard {
            address,
            datagram,
            bytes,
        } = heard;
        let is_ours = datagram.account == self.account && datagram.from != self.settings.id;
        if !is_ours || self.settings.blocked.contains(address) {
            return;
        }
        let reach = self.reach(&datagram.from);
        self.outputs
            .traffic
            .add_datagram(reach, Direction::Received, bytes);
        self.take(address, datagram, reach);
        self.stir();
    }
}

impl Handler<Unreadable> for Mesh {
    type Return = ();

    async fn handle(&mut self, unreadable: Unreadable, _: &mut xtra::Context<Self>) {
        self.outputs
            .error_counters
            .malformed_messages
            .fetch_add(1, Ordering::Relaxed);
        let Unreadable { address, error } = unreadable;
        log::warn!(event = "datagram_dropped", peer:% = address; "{error}");
    }
}

impl Mesh {
    fn take(&mut self, address: std::net::SocketAddr, datagram: Datagram, reach: Reach) {
        let now = self.now();
        let from = datagram.from;
        for news in datagram.gossip {
            self.learn(news, None, now);
        }
        self.hear(&from, now);
        for age in datagram.regions {
            if age.region != self.settings.place.region {
                self.regions.record_heard(&age.region, age.age, now);
            }
        }
        self.compare(&from, datagram.stamp.as_ref(), now);
        let asks_for_answer = matches!(datagram.probe, Probe::Ask { .. } | Probe::Told { .. });
        if !asks_for_answer {
            self.compare_tables(&from, datagram.table, reach, now);
        }
        self.answer(address, &from, datagram.stamp, &datagram.probe);
    }

    fn answer(
        &mut self,
        address: std::net::SocketAddr,
        from: &Name,
        stamp: Option<Stamp>,
        probe: &Probe,
    ) {
        match probe {
            Probe::Ask { number } => {
                let local_status = *self.local_status.borrow();
                let told = Probe::Told {
                    number: *number,
                    current: *self.outputs.ready.borrow(),
                    ready: local_status.ready,
                    in_flight: local_status.in_flight,
                    operators: local_status.operator_address,
                };
                let to = from.clone();
                self.send_all(vec![OutgoingProbe {
                    address,
                    to,
                    probe: told,
                }]);
            }
            Probe::Told {
                number,
                current,
                ready,
                in_flight,
                operators,
            } => {
                let local_status = LocalStatus {
                    ready: *ready,
                    in_flight: *in_flight,
                    operator_address: *operators,
                };
                self.told(from, stamp, *number, *current, local_status);
            }
            _ => {
                let due = self.prober.receive(&self.table, from, address, probe);
                self.send_all(due);
            }
        }
    }

    fn told(
        &mut self,
        from: &Name,
        stamp: Option<Stamp>,
        number: u64,
        current: bool,
        local_status: LocalStatus,
    ) {
        let Some(member) = self.table.get(from).cloned() else {
            return;
        };
        if self.start.needs_reports() {
            let report = PeerReport {
                data_centre: member.place.data_centre.clone(),
                stamp: stamp.clone(),
                current,
            };
            self.start.record_report(from, report);
        }
        if let Some(asker) = self.asks.get(&number) {
            let node = NodeStatus {
                member,
                applied: stamp,
                ready: local_status.ready,
                in_flight: local_status.in_flight,
                operators: local_status.operator_address,
            };
            let _ = asker.try_send(node);
        }
    }

    /// Notes a sign of life.
    pub(crate) fn hear(&mut self, from: &Name, now: Moment) {
        self.heard = now;
        if let Some(member) = self.table.get(from) {
            let region = &member.place.region;
            if *region != self.settings.place.region {
                self.regions.record_heard(region, Millis(0), now);
            }
        }
        let links = self.links.values_mut();
        for link in links.filter(|link| link.peer.as_ref() == Some(from)) {
            link.heard = now;
        }
    }

    pub(crate) fn learn(&mut self, news: Member, from: Option<&Name>, now: Moment) {
        if news.place.region != self.settings.place.region {
            self.regions.add_region(&news.place.region, now);
        }
        let address = news.address;
        match self.table.learn(news, from, now) {
            LearnOutcome::Refuted if self.joined => self.prober.degrade_local_health(),
            LearnOutcome::Contested => self.contested(address),
            _ => {}
        }
    }

    pub(crate) fn contested(&self, address: std::net::SocketAddr) {
        let error_counters = &self.outputs.error_counters;
        error_counters
            .name_conflicts
            .fetch_add(1, Ordering::Relaxed);
        log::error!(event = "name_contested", rival:% = address; "another process runs under this node's name: give each node its own");
    }

    /// Compares what another node holds with what this one holds.
    pub(crate) fn compare(&mut self, from: &Name, theirs: Option<&Stamp>, now: Moment) {
        let links = self.links.values_mut();
        for link in links.filter(|link| link.peer.as_ref() == Some(from)) {
            link.stamp = theirs.cloned();
        }
        match (self.holder.compare(theirs), theirs) {
            (VersionComparison::PeerAhead, Some(stamp)) => {
                let known = self.ahead.as_ref().map(|ahead| ahead.stamp.version);
                if known.is_none_or(|version| version < stamp.version) {
                    self.ahead = Some(Ahead {
                        node: from.clone(),
                        stamp: stamp.clone(),
                        since: now,
                    });
                }
            }
            (VersionComparison::Conflict, _) => {
                self.settle(&crank_engine::spread::Step::Conflict, Some(from));
            }
            _ => {}
        }
    }

    fn compare_tables(&mut self, from: &Name, sum: u64, reach: Reach, now: Moment) {
        let is_overdue = now.since(self.next_tables) >= TABLES_OVERDUE;
        let is_quiet = now.since(self.changed) >= TABLES_QUIET || is_overdue;
        if sum == self.table.checksum() || !is_quiet || now < self.next_tables || !self.joined {
            return;
        }
        self.next_tables = now.after(match reach {
            Reach::Near => TABLES_PERIOD,
            Reach::Far => FAR_TABLES_PERIOD,
        });
        log::debug!(event = "tables_differ", peer:% = from, reach:? = reach; "asking for the table");
        self.errand(from.clone(), true, now);
        self.run_errands();
    }

    /// Probes the other ends of connections to other regions.
    pub(crate) fn ping_far(&mut self, now: Moment) {
        if now < self.next_far {
            return;
        }
        self.next_far = now.after(FAR_PERIOD);
        self.far_turn += 1;
        let is_standby_turn = self.far_turn.is_multiple_of(STANDBY_TURNS);
        let far = self
            .links
            .values()
            .filter(|link| link.reach == Reach::Far && link.dial.is_some())
            .filter(|link| is_standby_turn || self.is_eager(link));
        let peers: Vec<Name> = far.filter_map(|link| link.peer.clone()).collect();
        for peer in peers {
            let number = self.prober.next_probe_number();
            self.probe(&peer, Probe::Ping { number });
        }
    }

    pub(crate) fn probe(&mut self, to: &Name, probe: Probe) {
        if let Some(member) = self.table.get(to) {
            let outgoing = OutgoingProbe {
                address: member.address,
                to: to.clone(),
                probe,
            };
            self.send_all(vec![outgoing]);
        }
    }

    /// Asks nodes of several data centres what they hold, until this node is current.
    pub(crate) fn keep_start(&mut self, now: Moment) {
        if !self.start.needs_reports() {
            return;
        }
        let others: Vec<Member> = self.others().cloned().collect();
        if self.start.is_current(self.holder.stamp(), &others) {
            self.outputs.ready.send_replace(true);
            return;
        }
        if now < self.next_reports {
            return;
        }
        self.next_reports = now.after(REPORT_PERIOD);
        let number = self.prober.next_probe_number();
        for witness in self.start.nodes_to_ask(&others, &mut self.rng) {
            self.probe(&witness.id, Probe::Ask { number });
        }
    }
}
