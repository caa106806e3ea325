//! What the actor knows, and how it sends.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crank_engine::Moment;
use crank_engine::member::{MemberTable, OutgoingProbe, Prober, RegionTracker};
use crank_engine::spread::{
    Backoff, ConfigReplica, StartupCheck, Step, TransferLimiter, VersionComparison,
};
use crank_protocol::config::{Snapshot, Stamp};
use crank_protocol::member::{Member, State};
use crank_protocol::status::NodeStatus;
use crank_protocol::wire::{Control, Datagram, MAX_CONTROL_FRAME_BYTES, MAX_DATAGRAM_BYTES, Probe};
use crank_protocol::{Millis, Name};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use xtra::{Actor, Handler, WeakAddress};

use super::message::{Dial, Flush, Stop, Tick};
use crate::handle::{ErrorCounters, LocalStatus};
use crate::settings::Settings;
use crate::traffic::{Direction, Reach, Traffic, TrafficKind};
use crate::{Error, View, codec};

/// Pieces of news in one datagram.
const GOSSIP: usize = 6;
/// News is gathered for so long before it goes out on connections.
const GATHER: Duration = Duration::from_millis(20);
/// A node that has heard no other for so long asks the platform's store itself.
const QUIET_LIMIT: Millis = Millis(1_500);
/// A node that has lacked a configuration which others hold for so long reads it itself.
const BEHIND_LIMIT: Millis = Millis(400);

/// A control connection.
pub(crate) struct Link {
    pub(crate) sender: mpsc::Sender<Bytes>,
    pub(crate) dial: Option<Dial>,
    /// The node at the other end, once it has said who it is.
    pub(crate) peer: Option<Name>,
    pub(crate) reach: Reach,
    /// What the other end is known to hold.
    pub(crate) stamp: Option<Stamp>,
    pub(crate) heard: Moment,
    pub(crate) wanted: Moment,
}

/// What another node holds that this one lacks.
pub(crate) struct Ahead {
    pub(crate) node: Name,
    pub(crate) stamp: Stamp,
    pub(crate) since: Moment,
}

/// Where the actor puts what the rest of the node may see.
pub(crate) struct Outputs {
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) config: watch::Sender<Option<Arc<Snapshot>>>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) follows: watch::Sender<bool>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) error_counters: Arc<ErrorCounters>,
}

/// Where the rest of the node sees it.
pub(crate) struct Receivers {
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) config: watch::Receiver<Option<Arc<Snapshot>>>,
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) follows: watch::Receiver<bool>,
}

impl Outputs {
    pub(crate) fn new(me: &Name) -> (Self, Receivers) {
        let empty = View::new(me.clone(), [], BTreeSet::new());
        let (view, view_read) = watch::channel(Arc::new(empty));
        let (config, config_read) = watch::channel(None);
        let (ready, ready_read) = watch::channel(false);
        let (follows, follows_read) = watch::channel(true);
        let outputs = Self {
            view,
            config,
            ready,
            follows,
            traffic: Arc::default(),
            error_counters: Arc::default(),
        };
        let receivers = Receivers {
            view: view_read,
            config: config_read,
            ready: ready_read,
            follows: follows_read,
        };
        (outputs, receivers)
    }
}

/// The state of membership and of spreading on one node.
pub(crate) struct Mesh {
    pub(crate) settings: Settings,
    pub(crate) account: u32,
    pub(crate) mailbox: WeakAddress<Self>,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) outputs: Outputs,
    pub(crate) local_status: watch::Receiver<LocalStatus>,
    pub(crate) rng: StdRng,
    began: Instant,

    pub(crate) table: MemberTable,
    pub(crate) prober: Prober,
    pub(crate) regions: RegionTracker,
    pub(crate) changed: Moment,
    flushing: bool,

    pub(crate) holder: ConfigReplica,
    pub(crate) start: StartupCheck,
    pub(crate) gate: TransferLimiter,
    pub(crate) ahead: Option<Ahead>,
    /// Since when another node is known to hold a later configuration.
    behind: Option<Moment>,
    /// When another node was heard last.
    pub(crate) heard: Moment,
    /// When the outstanding request for a configuration is given up.
    pub(crate) pulling: Option<Moment>,
    pub(crate) pull: Backoff,

    pub(crate) links: BTreeMap<u64, Link>,
    pub(crate) next_link: u64,
    pub(crate) dialing: BTreeSet<Dial>,
    pub(crate) backoffs: BTreeMap<Dial, Backoff>,
    /// Nodes to connect to for something of theirs.
    pub(crate) errands: BTreeMap<Name, Errand>,
    pub(crate) plan: Plan,
    pub(crate) joined: bool,
    pub(crate) next_seed: Moment,
    pub(crate) next_tables: Moment,
    pub(crate) next_far: Moment,
    pub(crate) far_turn: u64,
    pub(crate) next_reports: Moment,
    /// Since when a region has no connection, and how many attempts have failed.
    pub(crate) missing: BTreeMap<Name, Missing>,
    pub(crate) asks: BTreeMap<u64, mpsc::Sender<NodeStatus>>,
}

/// Whom a node should be connected to, for one set of members.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// The hash of the members that it was worked out for.
    pub(crate) sum: Option<u64>,
    pub(crate) near: BTreeSet<Name>,
    /// Whether this node is one of those that follow the platform's store.
    pub(crate) reads: bool,
    /// The regions to which this node is a bridge.
    pub(crate) bridges: BTreeMap<Name, Bridge>,
}

/// This node's place among the bridges to a region, and the nodes there, first choice first.
#[derive(Debug)]
pub(crate) struct Bridge {
    pub(crate) rank: usize,
    pub(crate) theirs: Vec<Name>,
}

/// What is wanted of a node to which there may be no connection yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Errand {
    pub(crate) since: Moment,
    /// Its member table; else its configuration.
    pub(crate) members: bool,
}

/// A region to which this bridge has no connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Missing {
    pub(crate) since: Moment,
    pub(crate) attempts: usize,
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
        let me = Member {
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
            began: Instant::now(),
            table: MemberTable::new(me, now),
            prober: Prober::new(now),
            regions: RegionTracker::default(),
            changed: now,
            flushing: false,
            holder: ConfigReplica::default(),
            start: StartupCheck::default(),
            gate: TransferLimiter::default(),
            ahead: None,
            behind: None,
            heard: now,
            pulling: None,
            pull: Backoff::default(),
            links: BTreeMap::new(),
            next_link: 0,
            dialing: BTreeSet::new(),
            backoffs: BTreeMap::new(),
            errands: BTreeMap::new(),
            plan: Plan::default(),
            joined: false,
            next_seed: now,
            next_tables: now,
            next_far: now,
            far_turn: 0,
            next_reports: now,
            missing: BTreeMap::new(),
            asks: BTreeMap::new(),
        };
        mesh.publish_view(now);
        mesh
    }

    pub(crate) fn now(&self) -> Moment {
        let micros = self.began.elapsed().as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    pub(crate) fn reach(&self, id: &Name) -> Reach {
        let region = self.table.get(id).map(|member| &member.place.region);
        match region {
            Some(region) if *region != self.settings.place.region => Reach::Far,
            _ => Reach::Near,
        }
    }

    /// Sends datagrams; one that the system does not take at once is lost, as any may be.
    pub(crate) fn send_all(&mut self, outgoing: Vec<OutgoingProbe>) {
        for one in outgoing {
            self.send_one(&one);
        }
    }

    fn send_one(&mut self, outgoing: &OutgoingProbe) {
        if self.settings.blocked.contains(outgoing.address) {
            return;
        }
        let now = self.now();
        let most = match outgoing.probe {
            Probe::Ask { .. } | Probe::Told { .. } => 0,
            _ => GOSSIP,
        };
        let mut datagram = Datagram {
            account: self.account,
            from: self.settings.id.clone(),
            stamp: self.holder.stamp().cloned(),
            table: self.table.checksum(),
            regions: self.regions.ages(now),
            probe: outgoing.probe.clone(),
            gossip: self.table.gossip(Some(&outgoing.to), most),
        };
        let bytes = loop {
            match codec::encode(&datagram, MAX_DATAGRAM_BYTES) {
                Ok(bytes) => break bytes,
                // Long names: what is left out spreads by other datagrams and connections.
                Err(Error::Oversized { .. }) if datagram.gossip.pop().is_some() => {}
                Err(error) => return log::error!(event = "datagram_not_sent"; "{error}"),
            }
        };
        let reach = self.reach(&outgoing.to);
        let traffic = &self.outputs.traffic;
        traffic.add_datagram(reach, Direction::Sent, bytes.len());
        let _ = self.socket.try_send_to(&bytes, outgoing.address);
    }

    /// Queues a frame on a connection; one that does not keep up is closed.
    pub(crate) fn send_frame(&mut self, link: u64, frame: &Control) {
        self.send_frames(&[link], frame);
    }

    /// Queues one frame on several connections, encoded once.
    pub(crate) fn send_frames(&mut self, links: &[u64], frame: &Control) {
        let Some(encoded) = self.encoded(frame) else {
            return;
        };
        for link in links {
            self.queue(*link, kind(frame), encoded.clone());
        }
    }

    pub(crate) fn encoded(&self, frame: &Control) -> Option<Bytes> {
        match codec::encode(frame, MAX_CONTROL_FRAME_BYTES) {
            Ok(bytes) => Some(Bytes::from(bytes)),
            Err(error) => {
                log::error!(event = "frame_not_sent"; "{error}");
                None
            }
        }
    }

    pub(crate) fn queue(&mut self, link: u64, kind: TrafficKind, frame: Bytes) {
        let Some(known) = self.links.get(&link) else {
            return;
        };
        let traffic = &self.outputs.traffic;
        traffic.add_frame(kind, known.reach, Direction::Sent, frame.len());
        if known.sender.try_send(frame).is_err() {
            log::warn!(event = "link_slow", peer:? = known.peer; "{}", Error::SendQueueFull);
            let dial = self.links.remove(&link).and_then(|link| link.dial);
            if let Some(dial) = dial {
                self.note_failure(&dial, self.now());
            }
        }
    }

    /// Notes that the table may have changed, and has the news sent soon.
    pub(crate) fn stir(&mut self) {
        if self.flushing || !self.table.has_unsent() {
            return;
        }
        self.flushing = true;
        self.changed = self.now();
        let mailbox = self.mailbox.clone();
        tokio::spawn(async move {
            tokio::time::sleep(GATHER).await;
            let _ = mailbox.send(Flush).await;
        });
    }

    pub(crate) fn publish_view(&self, now: Moment) {
        let me = self.settings.id.clone();
        let members = self.table.members().cloned();
        let view = View::new(me, members, self.regions.unreachable(now));
        self.outputs.view.send_replace(Arc::new(view));
    }

    /// Makes it visible when a region falls silent or is heard again.
    fn keep_regions(&self, now: Moment) {
        let silent = self.regions.unreachable(now);
        if *self.outputs.view.borrow().unreachable_regions() != silent {
            log::warn!(event = "regions_unreachable", regions:? = silent; "the regions that are not heard have changed");
            self.publish_view(now);
        }
    }

    /// Says whether this node should follow the platform's store itself: as a reader of its region,
    /// or because what the readers know does not reach it.
    fn keep_following(&mut self, now: Moment) {
        let theirs = self.ahead.as_ref().map(|ahead| &ahead.stamp);
        let lacks = theirs.is_some() && self.holder.compare(theirs) == VersionComparison::PeerAhead;
        let since = *self.behind.get_or_insert(now);
        if !lacks {
            self.behind = None;
        }
        let is_behind = lacks && now.since(since) >= BEHIND_LIMIT;
        let is_cut_off = now.since(self.heard) >= QUIET_LIMIT;
        let follows = self.plan.reads || is_cut_off || is_behind;
        self.outputs
            .follows
            .send_if_modified(|held| std::mem::replace(held, follows) != follows);
    }

    /// Makes a change of the holder visible, and says what the step means.
    pub(crate) fn settle(&mut self, step: &Step, from: Option<&Name>) {
        match step {
            Step::Applied => {
                let held = self.holder.snapshot().cloned();
                self.outputs.config.send_replace(held);
                self.pull.reset();
            }
            Step::Conflict => {
                self.outputs
                    .error_counters
                    .version_conflicts
                    .fetch_add(1, Ordering::Relaxed);
                log::error!(event = "version_conflict", peer:? = from; "a version came with another digest; it is not applied: compare the history in the store");
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

/// What a frame counts as.
pub(crate) fn kind(frame: &Control) -> TrafficKind {
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

impl Handler<Flush> for Mesh {
    type Return = ();

    async fn handle(&mut self, _: Flush, _: &mut xtra::Context<Self>) {
        self.flushing = false;
        self.flush();
    }
}

impl Handler<Tick> for Mesh {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut xtra::Context<Self>) {
        let now = self.now();
        let due = self.prober.tick(&mut self.table, now, &mut self.rng);
        self.send_all(due);
        self.keep_links(now);
        self.ping_far(now);
        self.keep_configuration(now);
        self.keep_start(now);
        self.keep_following(now);
        self.keep_regions(now);
        self.stir();
    }
}
