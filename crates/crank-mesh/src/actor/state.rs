//! The state of the actor, and the sending of datagrams and frames.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crank_engine::Moment;
use crank_engine::member::{MemberTable, OutgoingProbe, Prober, RegionTracker};
use crank_engine::rollout::Ledger;
use crank_engine::spread::{
    Backoff, ConfigReplica, Freshness, StartupCheck, Step, StoreCheck, TransferLimiter,
};
use crank_protocol::Name;
use crank_protocol::config::{Snapshot, Stamp};
use crank_protocol::member::{Member, State};
use crank_protocol::status::NodeStatus;
use crank_protocol::wire::{
    Control, Datagram, MAX_CONTROL_FRAME_BYTES, MAX_DATAGRAM_BYTES, PeerMessage, Probe,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::{broadcast, mpsc, watch};
use xtra::{Actor, Handler, WeakAddress};

use super::message::{DialTarget, FlushUpdates, Stop, Tick};
use crate::handle::{ErrorCounters, LocalStatus, ReceivedMessage, Rollout};
use crate::settings::Settings;
use crate::traffic::{Direction, Reach, Traffic, TrafficKind};
use crate::{Error, View, codec};

/// The most membership updates in one datagram.
const MAX_GOSSIP_UPDATES: usize = 6;
/// How many messages of other nodes wait for a slow reader; older ones are dropped.
const MAX_UNREAD_MESSAGES: usize = 256;
/// How long membership updates are collected before they are sent on control connections.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(20);

/// A control connection.
pub(crate) struct ControlConnection {
    pub(crate) sender: mpsc::Sender<Bytes>,
    /// The target if this node opened the connection.
    pub(crate) dial_target: Option<DialTarget>,
    /// The node at the other end; `None` until its hello was received.
    pub(crate) peer: Option<Name>,
    pub(crate) reach: Reach,
    /// The stamp of the configuration that the other end is known to hold.
    pub(crate) stamp: Option<Stamp>,
    pub(crate) last_received: Moment,
    pub(crate) last_needed: Moment,
}

/// A newer configuration that another node holds.
pub(crate) struct NewerConfig {
    pub(crate) node: Name,
    pub(crate) stamp: Stamp,
    pub(crate) since: Moment,
}

/// The channels and counters through which the actor publishes its state to the rest of the node.
pub(crate) struct Outputs {
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) config: watch::Sender<Option<Arc<Snapshot>>>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) should_follow_store: watch::Sender<bool>,
    pub(crate) store_check: watch::Sender<Option<StoreCheck>>,
    pub(crate) confirmed_at: watch::Sender<Option<Instant>>,
    pub(crate) store_era: watch::Sender<u16>,
    pub(crate) rollouts: watch::Sender<Arc<[Rollout]>>,
    pub(crate) messages: broadcast::Sender<ReceivedMessage>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) error_counters: Arc<ErrorCounters>,
}

/// The receiving ends of the channels in [`Outputs`].
pub(crate) struct Receivers {
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) config: watch::Receiver<Option<Arc<Snapshot>>>,
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) should_follow_store: watch::Receiver<bool>,
    pub(crate) store_check: watch::Receiver<Option<StoreCheck>>,
    pub(crate) confirmed_at: watch::Receiver<Option<Instant>>,
    pub(crate) store_era: watch::Receiver<u16>,
    pub(crate) rollouts: watch::Receiver<Arc<[Rollout]>>,
    /// New receivers of messages subscribe here.
    pub(crate) messages: broadcast::Sender<ReceivedMessage>,
}

impl Outputs {
    pub(crate) fn new(local_id: &Name) -> (Self, Receivers) {
        let empty = View::new(local_id.clone(), [], BTreeSet::new());
        let (view, view_receiver) = watch::channel(Arc::new(empty));
        let (config, config_receiver) = watch::channel(None);
        let (ready, ready_receiver) = watch::channel(false);
        let (should_follow_store, should_follow_store_receiver) = watch::channel(true);
        let (store_check, store_check_receiver) = watch::channel(None);
        let (confirmed_at, confirmed_at_receiver) = watch::channel(None);
        let (store_era, store_era_receiver) = watch::channel(0);
        let (rollouts, rollouts_receiver) = watch::channel(Arc::from(Vec::new()));
        let messages = broadcast::Sender::new(MAX_UNREAD_MESSAGES);
        let outputs = Self {
            view,
            config,
            ready,
            should_follow_store,
            store_check,
            confirmed_at,
            store_era,
            rollouts,
            messages: messages.clone(),
            traffic: Arc::default(),
            error_counters: Arc::default(),
        };
        let receivers = Receivers {
            view: view_receiver,
            config: config_receiver,
            ready: ready_receiver,
            should_follow_store: should_follow_store_receiver,
            store_check: store_check_receiver,
            confirmed_at: confirmed_at_receiver,
            store_era: store_era_receiver,
            rollouts: rollouts_receiver,
            messages,
        };
        (outputs, receivers)
    }

    /// Passes a message on to the part of this node that it is for, if that is listening.
    pub(crate) fn publish_message(&self, from: Name, message: PeerMessage) {
        let _ = self.messages.send(ReceivedMessage { from, message });
    }
}

/// The actor: the membership, the configuration in force and the control connections of one node.
pub(crate) struct Mesh {
    pub(crate) settings: Settings,
    /// The tag of the owner in datagrams.
    pub(crate) account: u32,
    pub(crate) mailbox: WeakAddress<Self>,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) outputs: Outputs,
    /// The status that this node reports when it is queried.
    pub(crate) local_status: watch::Receiver<LocalStatus>,
    pub(crate) rng: StdRng,
    started: Instant,

    pub(crate) table: MemberTable,
    pub(crate) prober: Prober,
    pub(crate) regions: RegionTracker,
    /// When the member table last had updates to send.
    pub(crate) table_changed_at: Moment,
    /// Whether a [`FlushUpdates`] message is on its way.
    flush_scheduled: bool,

    pub(crate) replica: ConfigReplica,
    pub(crate) startup_check: StartupCheck,
    pub(crate) transfer_limiter: TransferLimiter,
    /// The newest configuration of another node that this node lacks.
    pub(crate) newer_config: Option<NewerConfig>,
    pub(crate) freshness: Freshness,
    pub(crate) rollouts: Ledger,
    /// The deadline of the outstanding request for a configuration.
    pub(crate) pull_deadline: Option<Moment>,
    pub(crate) pull_backoff: Backoff,

    pub(crate) connections: BTreeMap<u64, ControlConnection>,
    pub(crate) last_connection_id: u64,
    /// The targets to which a connection is being opened.
    pub(crate) dialing: BTreeSet<DialTarget>,
    pub(crate) dial_backoffs: BTreeMap<DialTarget, Backoff>,
    /// Data to fetch from nodes to which no connection may exist yet.
    pub(crate) pending_fetches: BTreeMap<Name, PendingFetch>,
    pub(crate) topology: Topology,
    /// Whether this node has received the member table of another node.
    pub(crate) joined: bool,
    pub(crate) next_seed_dial: Moment,
    pub(crate) next_table_comparison: Moment,
    pub(crate) next_remote_probe: Moment,
    pub(crate) remote_probe_round: u64,
    pub(crate) next_report_query: Moment,
    /// The regions to which this bridge has no connection.
    pub(crate) disconnected_regions: BTreeMap<Name, DisconnectedRegion>,
    /// The recipients of the answers to running status queries, by query number.
    pub(crate) status_queries: BTreeMap<u64, mpsc::Sender<NodeStatus>>,
}

/// The connections that a node should have, computed from one set of members.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    /// The checksum of the member table that the topology was computed from.
    pub(crate) table_checksum: Option<u64>,
    /// The neighbours within the region.
    pub(crate) neighbours: BTreeSet<Name>,
    /// Whether this node is one of those that follow the platform's store.
    pub(crate) is_store_reader: bool,
    /// The regions to which this node is a bridge, by name.
    pub(crate) bridges: BTreeMap<Name, Bridge>,
}

/// This node's role as a bridge to another region.
#[derive(Debug)]
pub(crate) struct Bridge {
    /// The rank of this node among the bridges of its region; 0 is the active bridge.
    pub(crate) rank: usize,
    /// The nodes of the other region in the order in which they are tried.
    pub(crate) remote_nodes: Vec<Name>,
}

/// Data to fetch from a node to which no connection may exist yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingFetch {
    pub(crate) since: Moment,
    /// Whether to fetch the member table; otherwise the configuration.
    pub(crate) members: bool,
}

/// A region to which this bridge has no connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DisconnectedRegion {
    pub(crate) since: Moment,
    pub(crate) failed_attempts: usize,
}

impl Mesh {
    pub(crate) fn new(
        settings: Settings,
        address: SocketAddr,
        socket: Arc<UdpSocket>,
        outputs: Outputs,
        local_status: watch::Receiver<LocalStatus>,
        mailbox: WeakAddress<Self>,
    ) -> Self {
        let now = Moment(0);
        let local_member = Member {
            id: settings.id.clone(),
            place: settings.place.clone(),
            address,
            incarnation: 1,
            link: settings.link_mbits,
            state: State::Alive,
            endpoint: None,
        };
        let rng = match settings.random_seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => rand::make_rng(),
        };
        let mesh = Self {
            account: crank_engine::overlay::account_tag(&settings.account),
            settings,
            mailbox,
            socket,
            outputs,
            local_status,
            rng,
            started: Instant::now(),
            table: MemberTable::new(local_member, now),
            prober: Prober::new(now),
            regions: RegionTracker::default(),
            table_changed_at: now,
            flush_scheduled: false,
            replica: ConfigReplica::default(),
            startup_check: StartupCheck::default(),
            transfer_limiter: TransferLimiter::default(),
            newer_config: None,
            freshness: Freshness::default(),
            rollouts: Ledger::default(),
            pull_deadline: None,
            pull_backoff: Backoff::default(),
            connections: BTreeMap::new(),
            last_connection_id: 0,
            dialing: BTreeSet::new(),
            dial_backoffs: BTreeMap::new(),
            pending_fetches: BTreeMap::new(),
            topology: Topology::default(),
            joined: false,
            next_seed_dial: now,
            next_table_comparison: now,
            next_remote_probe: now,
            remote_probe_round: 0,
            next_report_query: now,
            disconnected_regions: BTreeMap::new(),
            status_queries: BTreeMap::new(),
        };
        mesh.publish_view(now);
        mesh
    }

    pub(crate) fn now(&self) -> Moment {
        let micros = self.started.elapsed().as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns whether a node is in this node's region; an unknown node counts as near.
    pub(crate) fn reach_of(&self, id: &Name) -> Reach {
        let region = self.table.get(id).map(|member| &member.place.region);
        match region {
            Some(region) if *region != self.settings.place.region => Reach::Far,
            _ => Reach::Near,
        }
    }

    /// Sends datagrams; one that the system does not accept at once is dropped, because datagrams
    /// may get lost anyway.
    pub(crate) fn send_datagrams(&mut self, outgoing: Vec<OutgoingProbe>) {
        for datagram in outgoing {
            self.send_datagram(&datagram);
        }
    }

    fn send_datagram(&mut self, outgoing: &OutgoingProbe) {
        if self.settings.blocked.contains(outgoing.address) {
            return;
        }
        let now = self.now();
        let max_updates = match outgoing.probe {
            Probe::Ask { .. } | Probe::Told { .. } | Probe::Message(_) => 0,
            _ => MAX_GOSSIP_UPDATES,
        };
        let mut datagram = Datagram {
            account: self.account,
            from: self.settings.id.clone(),
            stamp: self.replica.stamp().cloned(),
            table: self.table.checksum(),
            regions: self.regions.ages(now),
            probe: outgoing.probe.clone(),
            gossip: self.table.gossip(Some(&outgoing.to), max_updates),
        };
        let bytes = loop {
            match codec::encode(&datagram, MAX_DATAGRAM_BYTES) {
                Ok(bytes) => break bytes,
                // With long names not all updates fit; those left out spread through other
                // datagrams and through connections.
                Err(Error::Oversized { .. }) if datagram.gossip.pop().is_some() => {}
                Err(error) => return log::error!(event = "datagram_not_sent"; "{error}"),
            }
        };
        let reach = self.reach_of(&outgoing.to);
        let traffic = &self.outputs.traffic;
        traffic.add_datagram(reach, Direction::Sent, bytes.len());
        let _ = self.socket.try_send_to(&bytes, outgoing.address);
    }

    /// Queues a frame on a connection; closes the connection if its queue is full.
    pub(crate) fn send_frame(&mut self, connection_id: u64, frame: &Control) {
        self.send_frames(&[connection_id], frame);
    }

    /// Encodes a frame once and queues it on several connections.
    pub(crate) fn send_frames(&mut self, connection_ids: &[u64], frame: &Control) {
        let Some(encoded) = self.encode_frame(frame) else {
            return;
        };
        for connection_id in connection_ids {
            self.queue_frame(*connection_id, traffic_kind(frame), encoded.clone());
        }
    }

    /// Encodes a frame; logs the error and returns `None` if that fails.
    pub(crate) fn encode_frame(&self, frame: &Control) -> Option<Bytes> {
        match codec::encode(frame, MAX_CONTROL_FRAME_BYTES) {
            Ok(bytes) => Some(Bytes::from(bytes)),
            Err(error) => {
                log::error!(event = "frame_not_sent"; "{error}");
                None
            }
        }
    }

    /// Queues an encoded frame on a connection; closes the connection if its queue is full.
    pub(crate) fn queue_frame(&mut self, connection_id: u64, kind: TrafficKind, frame: Bytes) {
        let Some(connection) = self.connections.get(&connection_id) else {
            return;
        };
        let traffic = &self.outputs.traffic;
        traffic.add_frame(kind, connection.reach, Direction::Sent, frame.len());
        if connection.sender.try_send(frame).is_err() {
            log::warn!(event = "link_slow", peer:? = connection.peer; "{}", Error::SendQueueFull);
            let dial_target = self
                .connections
                .remove(&connection_id)
                .and_then(|connection| connection.dial_target);
            if let Some(dial_target) = dial_target {
                self.record_dial_failure(&dial_target, self.now());
            }
        }
    }

    /// Schedules a flush if the member table has updates that were not sent yet.
    pub(crate) fn schedule_flush(&mut self) {
        if self.flush_scheduled || !self.table.has_unsent() {
            return;
        }
        self.flush_scheduled = true;
        self.table_changed_at = self.now();
        let mailbox = self.mailbox.clone();
        tokio::spawn(async move {
            tokio::time::sleep(UPDATE_BATCH_DELAY).await;
            let _ = mailbox.send(FlushUpdates).await;
        });
    }

    pub(crate) fn publish_view(&self, now: Moment) {
        let local_id = self.settings.id.clone();
        let members = self.table.members().cloned();
        let view = View::new(local_id, members, self.regions.unreachable(now));
        self.outputs.view.send_replace(Arc::new(view));
    }

    /// Publishes the view if the set of unreachable regions has changed.
    fn update_unreachable_regions(&self, now: Moment) {
        let unreachable = self.regions.unreachable(now);
        if *self.outputs.view.borrow().unreachable_regions() != unreachable {
            log::warn!(
                event = "regions_unreachable", regions:? = unreachable;
                "the set of unreachable regions has changed"
            );
            self.publish_view(now);
        }
    }

    /// Logs which version came into force, which node it came from (none: the store), and for how
    /// long this node knew that it lacked a newer one.
    fn log_applied(&self, snapshot: Option<&Snapshot>, from: Option<&Name>) {
        let Some(snapshot) = snapshot else {
            return;
        };
        let now = self.now();
        let lacked_ms = self
            .newer_config
            .as_ref()
            .map_or(0, |newer| now.since(newer.since).0);
        log::info!(
            event = "configuration_in_force", version = snapshot.stamp.version.0,
            peer:? = from, lacked_ms = lacked_ms;
            "a newer configuration is in force"
        );
    }

    /// Publishes, counts or logs the result of applying a configuration.
    pub(crate) fn handle_step(&mut self, step: &Step, from: Option<&Name>) {
        match step {
            Step::Applied => {
                let held = self.replica.snapshot().cloned();
                self.log_applied(held.as_deref(), from);
                self.outputs.config.send_replace(held);
                self.pull_backoff.reset();
            }
            Step::Conflict => {
                self.outputs
                    .error_counters
                    .version_conflicts
                    .fetch_add(1, Ordering::Relaxed);
                log::error!(
                    event = "version_conflict", peer:? = from;
                    "a held version was received with another digest and not applied: compare the store history"
                );
            }
            Step::Bad(error) => {
                self.outputs
                    .error_counters
                    .malformed_messages
                    .fetch_add(1, Ordering::Relaxed);
                log::error!(event = "configuration_refused", peer:? = from; "{error}");
            }
            Step::Old | Step::NeedWhole => {}
        }
    }
}

/// Returns the traffic kind that a frame is counted as.
pub(crate) fn traffic_kind(frame: &Control) -> TrafficKind {
    match frame {
        Control::News(_) => TrafficKind::News,
        Control::Members(_) => TrafficKind::Members,
        Control::Delta(_) | Control::Crossed(_) => TrafficKind::Delta,
        Control::Snapshot(_) => TrafficKind::Snapshot,
        _ => TrafficKind::Other,
    }
}

impl Actor for Mesh {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Stop> for Mesh {
    type Return = ();

    async fn handle(&mut self, _: Stop, context: &mut xtra::Context<Self>) {
        context.stop_all();
    }
}

impl Handler<FlushUpdates> for Mesh {
    type Return = ();

    async fn handle(&mut self, _: FlushUpdates, _: &mut xtra::Context<Self>) {
        self.flush_scheduled = false;
        self.flush_updates();
    }
}

impl Handler<Tick> for Mesh {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut xtra::Context<Self>) {
        let now = self.now();
        let probes = self.prober.tick(&mut self.table, now, &mut self.rng);
        self.send_datagrams(probes);
        self.maintain_connections(now);
        self.probe_remote_peers(now);
        self.pull_newer_config(now);
        self.update_readiness(now);
        self.update_store_duties(now);
        self.update_unreachable_regions(now);
        self.schedule_flush();
    }
}
