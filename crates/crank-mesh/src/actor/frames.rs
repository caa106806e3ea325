//! Handling of control frames: membership updates, member tables, deltas and snapshots.

use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::spread::{Step, VersionComparison};
use crank_protocol::config::{Delta, Snapshot, Stamp};
use crank_protocol::member::{Member, State};
use crank_protocol::wire::{Control, Hello, Members, PROTOCOL_VERSION};
use crank_protocol::{Millis, Name};
use rand::RngExt;
use xtra::Handler;

use super::message::FrameReceived;
use super::state::{Mesh, NewerConfig, traffic_kind};
use crate::Error;
use crate::traffic::{Direction, Reach};

/// How long a request for a configuration may take before another node is tried.
const PULL_TIMEOUT: Millis = Millis(3_000);
/// The largest delta that is pushed; of a larger one only the stamp is sent, and each node pulls it
/// from one other node.
const MAX_PUSH_BYTES: usize = 16 * 1_024;
/// How long a missing configuration may still arrive by push before it is pulled.
const PUSH_GRACE: Millis = Millis(100);

impl Handler<FrameReceived> for Mesh {
    type Return = Result<(), Error>;

    async fn handle(
        &mut self,
        received: FrameReceived,
        _: &mut xtra::Context<Self>,
    ) -> Result<(), Error> {
        let FrameReceived {
            connection_id,
            frame,
            bytes,
        } = received;
        let now = self.now();
        if let Control::Hello(hello) = frame {
            self.handle_hello(connection_id, *hello, now)?;
        } else {
            let peer = self.peer(connection_id)?;
            let reach = self.reach_of(&peer);
            let traffic = &self.outputs.traffic;
            traffic.add_frame(traffic_kind(&frame), reach, Direction::Received, bytes);
            self.record_receipt(&peer, now);
            self.handle_frame(connection_id, &peer, frame, now);
        }
        self.schedule_flush();
        Ok(())
    }
}

impl Mesh {
    /// Returns the node at the other end of a connection.
    fn peer(&self, connection_id: u64) -> Result<Name, Error> {
        let connection = self
            .connections
            .get(&connection_id)
            .ok_or(Error::SendQueueFull)?;
        connection.peer.clone().ok_or(Error::MissingHello)
    }

    /// Returns the hello frame of this node.
    pub(crate) fn hello(&self) -> Control {
        Control::Hello(Box::new(Hello {
            protocol: PROTOCOL_VERSION,
            account: self.settings.account.clone(),
            member: self.table.me().clone(),
        }))
    }

    /// Checks the hello of the other side and starts the exchange with it.
    fn handle_hello(&mut self, connection_id: u64, hello: Hello, now: Moment) -> Result<(), Error> {
        let node = hello.member.id.clone();
        if hello.protocol != PROTOCOL_VERSION {
            let (theirs, ours) = (hello.protocol, PROTOCOL_VERSION);
            return Err(Error::ProtocolMismatch { node, theirs, ours });
        }
        if hello.account != self.settings.account {
            let theirs = hello.account;
            return Err(Error::AccountMismatch { node, theirs });
        }
        let has_own_name = node == self.settings.id;
        if has_own_name && hello.member.address != self.table.me().address {
            self.report_name_conflict(hello.member.address);
        }
        if has_own_name || self.settings.blocked.contains(hello.member.address) {
            self.connections.remove(&connection_id);
            return Ok(());
        }
        let is_remote = hello.member.place.region != self.settings.place.region;
        self.learn_member(hello.member, None, now);
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return Ok(());
        };
        connection.peer = Some(node.clone());
        connection.reach = if is_remote { Reach::Far } else { Reach::Near };
        connection.last_received = now;
        if let Some(dial_target) = connection.dial_target.clone() {
            self.dial_backoffs.remove(&dial_target);
        }
        self.close_duplicate_connections(connection_id, &node);
        self.record_receipt(&node, now);
        let stamp = self.replica.stamp().cloned();
        self.send_frame(connection_id, &Control::Holds(stamp));
        self.tell_rollouts(connection_id, now);
        if !self.joined {
            self.send_frame(connection_id, &Control::WantMembers);
        }
        // A node that this one considers suspect, dead or left must learn of that to refute it.
        // Only here is the update certain to reach that node.
        let known = self.table.get(&node);
        let to_refute = known.filter(|member| member.state != State::Alive);
        if let Some(member) = to_refute.cloned() {
            self.send_frame(connection_id, &Control::News(Members(vec![member])));
        }
        self.send_pending_fetches();
        Ok(())
    }

    /// Processes a frame of a peer whose hello was received.
    fn handle_frame(&mut self, connection_id: u64, peer: &Name, frame: Control, now: Moment) {
        match frame {
            Control::Hello(_) => {}
            Control::Holds(stamp) => {
                self.pull_deadline = None;
                self.compare_stamps(peer, stamp.as_ref(), now);
            }
            Control::Delta(delta) => {
                let crossed = self.reach_of(peer) == Reach::Far;
                self.handle_delta(connection_id, peer, &delta, crossed, now);
            }
            Control::Crossed(delta) => self.handle_delta(connection_id, peer, &delta, true, now),
            Control::Snapshot(snapshot) => {
                self.handle_snapshot(connection_id, peer, *snapshot, now)
            }
            Control::WantSnapshot => self.send_snapshot(connection_id, now),
            Control::WantSince(base) => self.send_deltas_since(connection_id, &base, now),
            Control::WantMembers => self.send_members(connection_id, now),
            Control::Members(members) => self.handle_members(connection_id, peer, members.0, now),
            Control::News(members) => {
                for member in members.0 {
                    self.learn_member(member, Some(peer), now);
                }
            }
            Control::Confirmed(confirmation) => {
                self.record_confirmation(&confirmation, Some(connection_id), now);
            }
            Control::Rollout(state) => self.learn_rollout(*state, Some(connection_id), now),
            Control::Busy { retry_after } => {
                self.pull_deadline = None;
                self.pull_backoff.postpone(retry_after, now, &mut self.rng);
                if !self.joined {
                    let jitter = self.rng.random_range(0..=retry_after.0);
                    self.next_seed_dial = now.after(Millis(retry_after.0 + jitter));
                }
            }
        }
    }

    /// Applies a delta and pushes it on; `crossed` says that it has already crossed regions.
    fn handle_delta(
        &mut self,
        connection_id: u64,
        peer: &Name,
        delta: &Delta,
        crossed: bool,
        now: Moment,
    ) {
        let step = self.replica.apply_delta(delta);
        self.handle_step(&step, Some(peer));
        self.set_peer_stamp(connection_id, &delta.result);
        match step {
            Step::Applied => {
                self.pull_deadline = None;
                self.push_config(Some(connection_id), crossed);
                self.pass_on_confirmation(Some(connection_id), now);
            }
            Step::NeedWhole | Step::Bad(_) => {
                self.pull_deadline = None;
                self.record_missing_config(peer, delta.result.clone(), now);
            }
            Step::Old | Step::Conflict => {}
        }
    }

    /// Applies a snapshot and pushes it on.
    fn handle_snapshot(
        &mut self,
        connection_id: u64,
        peer: &Name,
        snapshot: Snapshot,
        now: Moment,
    ) {
        let stamp = snapshot.stamp.clone();
        let step = self.replica.apply_snapshot(snapshot);
        self.pull_deadline = None;
        self.handle_step(&step, Some(peer));
        match step {
            Step::Applied => {
                self.set_peer_stamp(connection_id, &stamp);
                let crossed = self.reach_of(peer) == Reach::Far;
                self.push_config(Some(connection_id), crossed);
                self.pass_on_confirmation(Some(connection_id), now);
            }
            Step::Bad(_) => self.pull_backoff.record_failure(now, &mut self.rng),
            Step::Old | Step::Conflict | Step::NeedWhole => {}
        }
    }

    /// Pushes the configuration in force to every connection whose peer may not have it.
    ///
    /// A change that has `crossed` regions once is pushed only within this region; its region of
    /// origin sends it to the others.
    pub(crate) fn push_config(&mut self, from: Option<u64>, crossed: bool) {
        let Some(stamp) = self.replica.stamp().cloned() else {
            return;
        };
        let is_behind = |held: &Option<Stamp>| {
            let version = held.as_ref().map(|stamp| stamp.version);
            version.is_none_or(|version| version < stamp.version)
        };
        let connection_ids: Vec<u64> = self
            .connections
            .iter()
            .filter(|(id, connection)| Some(**id) != from && connection.peer.is_some())
            .filter(|(_, connection)| {
                is_behind(&connection.stamp) && self.is_push_connection(connection)
            })
            .filter(|(_, connection)| !crossed || connection.reach == Reach::Near)
            .map(|(id, _)| *id)
            .collect();
        let frame = match self.replica.last_delta() {
            Some(delta) if crossed => Control::Crossed(Box::new(delta.clone())),
            Some(delta) => Control::Delta(Box::new(delta.clone())),
            None => Control::Holds(Some(stamp.clone())),
        };
        let Some(encoded) = self.encode_frame(&frame) else {
            return;
        };
        if encoded.len() > MAX_PUSH_BYTES {
            // Pushed over every connection, it would reach each node several times.
            return self.send_frames(&connection_ids, &Control::Holds(Some(stamp)));
        }
        for connection_id in connection_ids {
            self.queue_frame(connection_id, traffic_kind(&frame), encoded.clone());
            if matches!(frame, Control::Delta(_) | Control::Crossed(_)) {
                self.set_peer_stamp(connection_id, &stamp);
            }
        }
    }

    /// Records the stamp that the other end of a connection holds.
    fn set_peer_stamp(&mut self, connection_id: u64, stamp: &Stamp) {
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.stamp = Some(stamp.clone());
        }
    }

    /// Records that another node holds a configuration that a delta could not produce here, and
    /// pulls it without waiting for a push.
    fn record_missing_config(&mut self, peer: &Name, stamp: Stamp, now: Moment) {
        let node = peer.clone();
        let since = Moment(now.0.saturating_sub(PUSH_GRACE.0 * 1_000));
        self.newer_config = Some(NewerConfig { node, stamp, since });
        self.pull_newer_config(now);
    }

    /// Sends the deltas since `base`, the snapshot if those deltas are no longer kept, or only the
    /// stamp if the peer is not behind.
    fn send_deltas_since(&mut self, connection_id: u64, base: &Stamp, now: Moment) {
        if self.replica.compare(Some(base)) != VersionComparison::PeerBehind {
            let stamp = self.replica.stamp().cloned();
            self.send_frame(connection_id, &Control::Holds(stamp));
            return;
        }
        let Some(deltas) = self.replica.deltas_since(base) else {
            self.send_snapshot(connection_id, now);
            return;
        };
        for delta in deltas {
            self.send_frame(connection_id, &Control::Delta(Box::new(delta)));
        }
    }

    /// Sends the snapshot in force, or `Busy` if too many are being sent.
    fn send_snapshot(&mut self, connection_id: u64, now: Moment) {
        let Some(held) = self.replica.snapshot().map(Arc::clone) else {
            self.send_frame(connection_id, &Control::Holds(None));
            return;
        };
        let frame = match self.transfer_limiter.admit(now) {
            Ok(()) => Control::Snapshot(Box::new(Snapshot::clone(&held))),
            Err(retry_after) => Control::Busy { retry_after },
        };
        self.send_frame(connection_id, &frame);
    }

    /// Sends the member table, or `Busy` if too many are being sent.
    fn send_members(&mut self, connection_id: u64, now: Moment) {
        let frame = match self.transfer_limiter.admit(now) {
            Ok(()) => Control::Members(Members(self.table.members().cloned().collect())),
            Err(retry_after) => Control::Busy { retry_after },
        };
        self.send_frame(connection_id, &frame);
    }

    /// Merges the member table of another node, and sends back what that node did not know.
    fn handle_members(
        &mut self,
        connection_id: u64,
        peer: &Name,
        theirs: Vec<Member>,
        now: Moment,
    ) {
        let their_states: std::collections::BTreeMap<Name, (u64, State)> = theirs
            .iter()
            .map(|member| (member.id.clone(), (member.incarnation, member.state)))
            .collect();
        if self.joined {
            for member in theirs {
                self.learn_member(member, Some(peer), now);
            }
        } else {
            self.complete_join(theirs, now);
        }
        let is_newer = |member: &&Member| {
            let known = their_states.get(&member.id);
            known.is_none_or(|known| *known < (member.incarnation, member.state))
        };
        let updates: Vec<Member> = self.table.members().filter(is_newer).cloned().collect();
        if !updates.is_empty() {
            self.send_frame(connection_id, &Control::News(Members(updates)));
        }
    }

    /// Adopts the first member table that this node receives.
    fn complete_join(&mut self, theirs: Vec<Member>, now: Moment) {
        self.joined = true;
        for member in &theirs {
            if member.place.region != self.settings.place.region {
                self.regions.add_region(&member.place.region, now);
            }
        }
        self.table.merge_from_peer(theirs, now);
        self.publish_view(now);
        self.maintain_connections(now);
    }

    /// Requests the newer configuration that another node is known to hold if it was not pushed in
    /// time.
    pub(crate) fn pull_newer_config(&mut self, now: Moment) {
        let Some(newer) = &self.newer_config else {
            return;
        };
        if self.replica.compare(Some(&newer.stamp)) != VersionComparison::PeerAhead {
            self.newer_config = None;
            return;
        }
        if self.pull_deadline.is_some_and(|deadline| now >= deadline) {
            self.pull_deadline = None;
            self.pull_backoff.record_failure(now, &mut self.rng);
        }
        let is_due = now.since(newer.since) >= PUSH_GRACE && self.pull_backoff.is_due(now);
        if self.pull_deadline.is_some() || !is_due {
            return;
        }
        let version = newer.stamp.version;
        let node = newer.node.clone();
        let holds = |stamp: &Option<Stamp>| {
            let theirs = stamp.as_ref().map(|stamp| stamp.version);
            theirs.is_some_and(|theirs| theirs >= version)
        };
        let choices: Vec<(Reach, u64)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.peer.is_some() && holds(&connection.stamp))
            .map(|(id, connection)| (connection.reach, *id))
            .collect();
        // Each failure moves the choice on to the next connection.
        let index = self.pull_backoff.failures() as usize % choices.len().max(1);
        let mut choices = choices;
        choices.sort_unstable();
        let Some((_, connection_id)) = choices.get(index).copied() else {
            self.schedule_fetch(node, false, now);
            return;
        };
        self.pull_deadline = Some(now.after(PULL_TIMEOUT));
        let frame = match (self.replica.stamp().cloned(), self.pull_backoff.failures()) {
            (Some(stamp), 0) => Control::WantSince(stamp),
            _ => Control::WantSnapshot,
        };
        self.send_frame(connection_id, &frame);
    }
}
