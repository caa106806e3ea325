//! Frames on control connections: news, tables, deltas and snapshots.

use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::spread::{Step, VersionComparison};
use crank_protocol::config::{Delta, Snapshot, Stamp};
use crank_protocol::member::{Member, State};
use crank_protocol::wire::{Control, Hello, Members, PROTOCOL_VERSION};
use crank_protocol::{Millis, Name};
use rand::RngExt;
use xtra::Handler;

use super::message::Frame;
use super::state::{Ahead, Mesh, kind};
use crate::Error;
use crate::traffic::{Direction, Reach};

/// How long a request for a configuration may take before another node is asked.
const PULL_TIMEOUT: Millis = Millis(3_000);
/// A larger change is only told of, and each node asks one other for it.
const LARGEST_PUSH_BYTES: usize = 16 * 1_024;
/// A push under way gets this long before a lack is filled by asking.
const PUSH_GRACE: Millis = Millis(100);

impl Handler<Frame> for Mesh {
    type Return = Result<(), Error>;

    async fn handle(&mut self, frame: Frame, _: &mut xtra::Context<Self>) -> Result<(), Error> {
        let Frame { link, frame, bytes } = frame;
        let now = self.now();
        if let Control::Hello(hello) = frame {
            self.greeted(link, *hello, now)?;
        } else {
            let peer = self.peer(link)?;
            let reach = self.reach(&peer);
            let traffic = &self.outputs.traffic;
            traffic.add_frame(kind(&frame), reach, Direction::Received, bytes);
            self.hear(&peer, now);
            self.take_frame(link, &peer, frame, now);
        }
        self.stir();
        Ok(())
    }
}

impl Mesh {
    fn peer(&self, link: u64) -> Result<Name, Error> {
        let known = self.links.get(&link).ok_or(Error::SendQueueFull)?;
        known.peer.clone().ok_or(Error::MissingHello)
    }

    pub(crate) fn hello(&self) -> Control {
        Control::Hello(Box::new(Hello {
            protocol: PROTOCOL_VERSION,
            account: self.settings.account.clone(),
            member: self.table.me().clone(),
        }))
    }

    fn greeted(&mut self, link: u64, hello: Hello, now: Moment) -> Result<(), Error> {
        let node = hello.member.id.clone();
        if hello.protocol != PROTOCOL_VERSION {
            let (theirs, ours) = (hello.protocol, PROTOCOL_VERSION);
            return Err(Error::ProtocolMismatch { node, theirs, ours });
        }
        if hello.account != self.settings.account {
            let theirs = hello.account;
            return Err(Error::AccountMismatch { node, theirs });
        }
        let is_rival = node == self.settings.id;
        if is_rival && hello.member.address != self.table.me().address {
            self.contested(hello.member.address);
        }
        if is_rival || self.settings.blocked.contains(hello.member.address) {
            self.links.remove(&link);
            return Ok(());
        }
        let far = hello.member.place.region != self.settings.place.region;
        self.learn(hello.member, None, now);
        let Some(known) = self.links.get_mut(&link) else {
            return Ok(());
        };
        known.peer = Some(node.clone());
        known.reach = if far { Reach::Far } else { Reach::Near };
        known.heard = now;
        if let Some(dial) = known.dial.clone() {
            self.backoffs.remove(&dial);
        }
        self.drop_double(link, &node);
        self.hear(&node, now);
        let stamp = self.holder.stamp().cloned();
        self.send_frame(link, &Control::Holds(stamp));
        if !self.joined {
            self.send_frame(link, &Control::WantMembers);
        }
        // Only here is it certain that a node which this one believes dead hears of it.
        let believed = self.table.get(&node);
        let wrong = believed.filter(|member| member.state != State::Alive);
        if let Some(member) = wrong.cloned() {
            self.send_frame(link, &Control::News(Members(vec![member])));
        }
        self.run_errands();
        Ok(())
    }

    fn take_frame(&mut self, link: u64, peer: &Name, frame: Control, now: Moment) {
        match frame {
            Control::Hello(_) => {}
            Control::Holds(stamp) => {
                self.pulling = None;
                self.compare(peer, stamp.as_ref(), now);
            }
            Control::Delta(delta) => {
                let crossed = self.reach(peer) == Reach::Far;
                self.apply_delta(link, peer, &delta, crossed, now);
            }
            Control::Crossed(delta) => self.apply_delta(link, peer, &delta, true, now),
            Control::Snapshot(snapshot) => self.apply_snapshot(link, peer, *snapshot, now),
            Control::WantSnapshot => self.give_snapshot(link, now),
            Control::WantSince(base) => self.give_since(link, &base, now),
            Control::WantMembers => self.give_members(link, now),
            Control::Members(members) => self.take_members(link, peer, members.0, now),
            Control::News(members) => {
                for member in members.0 {
                    self.learn(member, Some(peer), now);
                }
            }
            Control::Busy { retry_after } => {
                self.pulling = None;
                self.pull.postpone(retry_after, now, &mut self.rng);
                if !self.joined {
                    let jitter = self.rng.random_range(0..=retry_after.0);
                    self.next_seed = now.after(Millis(retry_after.0 + jitter));
                }
            }
        }
    }

    fn apply_delta(&mut self, link: u64, peer: &Name, delta: &Delta, crossed: bool, now: Moment) {
        let step = self.holder.apply_delta(delta);
        self.settle(&step, Some(peer));
        self.note_stamp(link, &delta.result);
        match step {
            Step::Applied => {
                self.pulling = None;
                self.push(Some(link), crossed);
            }
            Step::NeedWhole | Step::Bad(_) => {
                self.pulling = None;
                self.lack(peer, delta.result.clone(), now);
            }
            Step::Old | Step::Conflict => {}
        }
    }

    fn apply_snapshot(&mut self, link: u64, peer: &Name, snapshot: Snapshot, now: Moment) {
        let stamp = snapshot.stamp.clone();
        let step = self.holder.apply_snapshot(snapshot);
        self.pulling = None;
        self.settle(&step, Some(peer));
        match step {
            Step::Applied => {
                self.note_stamp(link, &stamp);
                let crossed = self.reach(peer) == Reach::Far;
                self.push(Some(link), crossed);
            }
            Step::Bad(_) => self.pull.record_failure(now, &mut self.rng),
            Step::Old | Step::Conflict | Step::NeedWhole => {}
        }
    }

    /// Pushes what came into force just now to every connection that may lack it; what has crossed
    /// regions once is left to the region that it came from.
    pub(crate) fn push(&mut self, from: Option<u64>, crossed: bool) {
        let Some(stamp) = self.holder.stamp().cloned() else {
            return;
        };
        let lacks = |known: &Option<Stamp>| {
            let version = known.as_ref().map(|stamp| stamp.version);
            version.is_none_or(|version| version < stamp.version)
        };
        let links: Vec<u64> = self
            .links
            .iter()
            .filter(|(id, link)| Some(**id) != from && link.peer.is_some())
            .filter(|(_, link)| lacks(&link.stamp) && self.is_eager(link))
            .filter(|(_, link)| !crossed || link.reach == Reach::Near)
            .map(|(id, _)| *id)
            .collect();
        let frame = match self.holder.last_delta() {
            Some(delta) if crossed => Control::Crossed(Box::new(delta.clone())),
            Some(delta) => Control::Delta(Box::new(delta.clone())),
            None => Control::Holds(Some(stamp.clone())),
        };
        let Some(encoded) = self.encoded(&frame) else {
            return;
        };
        if encoded.len() > LARGEST_PUSH_BYTES {
            // Pushed over every connection it would come to each node several times.
            return self.send_frames(&links, &Control::Holds(Some(stamp)));
        }
        for link in links {
            self.queue(link, kind(&frame), encoded.clone());
            if matches!(frame, Control::Delta(_) | Control::Crossed(_)) {
                self.note_stamp(link, &stamp);
            }
        }
    }

    fn note_stamp(&mut self, link: u64, stamp: &Stamp) {
        if let Some(known) = self.links.get_mut(&link) {
            known.stamp = Some(stamp.clone());
        }
    }

    fn lack(&mut self, peer: &Name, stamp: Stamp, now: Moment) {
        let node = peer.clone();
        let since = Moment(now.0.saturating_sub(PUSH_GRACE.0 * 1_000));
        self.ahead = Some(Ahead { node, stamp, since });
        self.keep_configuration(now);
    }

    fn give_since(&mut self, link: u64, base: &Stamp, now: Moment) {
        if self.holder.compare(Some(base)) != VersionComparison::PeerBehind {
            let stamp = self.holder.stamp().cloned();
            self.send_frame(link, &Control::Holds(stamp));
            return;
        }
        let Some(deltas) = self.holder.deltas_since(base) else {
            self.give_snapshot(link, now);
            return;
        };
        for delta in deltas {
            self.send_frame(link, &Control::Delta(Box::new(delta)));
        }
    }

    fn give_snapshot(&mut self, link: u64, now: Moment) {
        let Some(held) = self.holder.snapshot().map(Arc::clone) else {
            self.send_frame(link, &Control::Holds(None));
            return;
        };
        let frame = match self.gate.admit(now) {
            Ok(()) => Control::Snapshot(Box::new(Snapshot::clone(&held))),
            Err(retry_after) => Control::Busy { retry_after },
        };
        self.send_frame(link, &frame);
    }

    fn give_members(&mut self, link: u64, now: Moment) {
        let frame = match self.gate.admit(now) {
            Ok(()) => Control::Members(Members(self.table.members().cloned().collect())),
            Err(retry_after) => Control::Busy { retry_after },
        };
        self.send_frame(link, &frame);
    }

    fn take_members(&mut self, link: u64, peer: &Name, theirs: Vec<Member>, now: Moment) {
        let told: std::collections::BTreeMap<Name, (u64, State)> = theirs
            .iter()
            .map(|member| (member.id.clone(), (member.incarnation, member.state)))
            .collect();
        if self.joined {
            for member in theirs {
                self.learn(member, Some(peer), now);
            }
        } else {
            self.join(theirs, now);
        }
        let unknown = |member: &&Member| {
            let known = told.get(&member.id);
            known.is_none_or(|known| *known < (member.incarnation, member.state))
        };
        let news: Vec<Member> = self.table.members().filter(unknown).cloned().collect();
        if !news.is_empty() {
            self.send_frame(link, &Control::News(Members(news)));
        }
    }

    fn join(&mut self, theirs: Vec<Member>, now: Moment) {
        self.joined = true;
        for member in &theirs {
            if member.place.region != self.settings.place.region {
                self.regions.add_region(&member.place.region, now);
            }
        }
        self.table.merge_from_peer(theirs, now);
        self.publish_view(now);
        self.keep_links(now);
    }

    /// Asks for a later configuration that another node is known to hold.
    pub(crate) fn keep_configuration(&mut self, now: Moment) {
        let Some(ahead) = &self.ahead else {
            return;
        };
        if self.holder.compare(Some(&ahead.stamp)) != VersionComparison::PeerAhead {
            self.ahead = None;
            return;
        }
        if self.pulling.is_some_and(|deadline| now >= deadline) {
            self.pulling = None;
            self.pull.record_failure(now, &mut self.rng);
        }
        let is_due = now.since(ahead.since) >= PUSH_GRACE && self.pull.is_due(now);
        if self.pulling.is_some() || !is_due {
            return;
        }
        let version = ahead.stamp.version;
        let node = ahead.node.clone();
        let holds = |stamp: &Option<Stamp>| {
            let theirs = stamp.as_ref().map(|stamp| stamp.version);
            theirs.is_some_and(|theirs| theirs >= version)
        };
        let choices: Vec<(Reach, u64)> = self
            .links
            .iter()
            .filter(|(_, link)| link.peer.is_some() && holds(&link.stamp))
            .map(|(id, link)| (link.reach, *id))
            .collect();
        // After a failure the choice moves on to the next connection.
        let turn = self.pull.failures() as usize % choices.len().max(1);
        let mut choices = choices;
        choices.sort_unstable();
        let Some((_, link)) = choices.get(turn).copied() else {
            self.errand(node, false, now);
            return;
        };
        self.pulling = Some(now.after(PULL_TIMEOUT));
        let frame = match (self.holder.stamp().cloned(), self.pull.failures()) {
            (Some(stamp), 0) => Control::WantSince(stamp),
            _ => Control::WantSnapshot,
        };
        self.send_frame(link, &frame);
    }
}
