//! The member table: what one node knows of every node of the mesh.

use std::collections::BTreeMap;

use crank_protocol::member::{Endpoint, Member, State};
use crank_protocol::{Millis, Name};

use crate::{Moment, hash};

/// A node that is dead or has left is removed from the table after this time.
const TOMBSTONE_TTL: Millis = Millis(24 * 3_600_000);
/// A suspect that has not refuted the suspicion within this time is declared dead.
const SUSPICION_TIMEOUT: Millis = Millis(4_000);
/// The initial delay before this node reclaims its name from another process that uses it.
const INITIAL_RECLAIM_DELAY: Millis = Millis(1_000);
/// The maximum delay before this node reclaims its name.
const MAX_RECLAIM_DELAY: Millis = Millis(60_000);
/// The number of datagrams in which a node repeats an update, besides sending it to its neighbours.
const GOSSIP_REPEATS: u32 = 2;

/// The effect of an update about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LearnOutcome {
    /// No effect: the update is known already, or older than what is known.
    Unchanged,
    /// The entry of a node was added or replaced.
    Updated,
    /// The update was wrong about this node, which refuted it with a higher incarnation.
    Refuted,
    /// Another process uses the name of this node, which reclaims it after an increasing delay.
    Contested,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    since: Moment,
    repeats_left: u32,
}

/// A conflict with another process that uses the name of this node.
#[derive(Debug, Clone, Default)]
struct NameConflict {
    incarnation: u64,
    reclaims: u32,
    next: Moment,
}

/// What a node knows of every node of the mesh, itself included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    me: Name,
    entries: BTreeMap<Name, Entry>,
    /// The updates not yet sent to neighbours, each with the neighbour that it came from.
    unsent: BTreeMap<Name, Option<Name>>,
    checksum: u64,
    conflict: NameConflict,
}

impl MemberTable {
    /// Creates a table that contains only this node.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// let table = MemberTable::new(me.clone(), Moment(0));
    /// assert_eq!(table.me(), &me);
    /// ```
    #[must_use]
    pub fn new(me: Member, now: Moment) -> Self {
        let id = me.id.clone();
        let mut table = Self {
            me: id,
            entries: BTreeMap::new(),
            unsent: BTreeMap::new(),
            checksum: 0,
            conflict: NameConflict::default(),
        };
        table.put(me, None, now);
        table
    }

    /// Returns the entry of this node.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// assert_eq!(table.me(), &me);
    /// ```
    #[must_use]
    pub fn me(&self) -> &Member {
        match self.entries.get(&self.me) {
            Some(entry) => &entry.member,
            None => unreachable!("a table always contains its own node"),
        }
    }

    /// Returns the entry of a node, if it is known.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// assert_eq!(table.get(&me.id), Some(&me));
    /// ```
    #[must_use]
    pub fn get(&self, id: &Name) -> Option<&Member> {
        self.entries.get(id).map(|entry| &entry.member)
    }

    /// Returns an iterator over all nodes in the order of their names.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// assert_eq!(table.members().count(), 1);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns a checksum of the names and incarnations of the running nodes.
    ///
    /// Equal tables have equal checksums, so nodes compare it to find out whether their tables
    /// differ.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// let before = table.checksum();
    /// table.leave(Moment(0));
    /// assert_ne!(table.checksum(), before);
    /// ```
    #[must_use]
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Sets the endpoint of this node and raises its incarnation, unless the endpoint is the same.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// table.announce(None, Moment(0));
    /// assert_eq!(table.me().incarnation, 1, "the endpoint has not changed");
    /// ```
    pub fn announce(&mut self, endpoint: Option<Endpoint>, now: Moment) {
        let mut me = self.me().clone();
        if me.endpoint == endpoint {
            return;
        }
        me.endpoint = endpoint;
        me.incarnation += 1;
        self.put(me, None, now);
    }

    /// Marks this node as having left and raises its incarnation.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// table.leave(Moment(0));
    /// assert_eq!(table.me().state, State::Left);
    /// ```
    pub fn leave(&mut self, now: Moment) {
        let mut me = self.me().clone();
        me.state = State::Left;
        me.incarnation += 1;
        self.put(me, None, now);
    }

    /// Applies an update about a member if it takes precedence over what is known.
    ///
    /// `from` is the neighbour that sent the update; it is not sent back there.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::{LearnOutcome, MemberTable}};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// let mut table = MemberTable::new(me.clone(), Moment(0));
    /// let outdated = Member { state: State::Dead, ..me };
    /// assert_eq!(table.learn(outdated, None, Moment(0)), LearnOutcome::Refuted);
    /// assert_eq!(table.me().incarnation, 2);
    /// ```
    pub fn learn(&mut self, update: Member, from: Option<&Name>, now: Moment) -> LearnOutcome {
        if update.id == self.me {
            return self.learn_about_self(&update, now);
        }
        let is_newer = match self.entries.get(&update.id) {
            Some(entry) => precedence(&update) > precedence(&entry.member),
            // A dead node that this table has removed is not added again. Otherwise its tombstone
            // would circulate between the tables forever.
            None => matches!(update.state, State::Alive | State::Suspect),
        };
        if !is_newer {
            return LearnOutcome::Unchanged;
        }
        self.put(update, from.cloned(), now);
        LearnOutcome::Updated
    }

    fn learn_about_self(&mut self, update: &Member, now: Moment) -> LearnOutcome {
        let mut me = self.me().clone();
        if me.state == State::Left || *update == me || update.incarnation < me.incarnation {
            return LearnOutcome::Unchanged;
        }
        if update.address != me.address && is_running(update) {
            return self.resolve_name_conflict(update.incarnation, now);
        }
        me.incarnation = update.incarnation + 1;
        self.put(me, None, now);
        LearnOutcome::Refuted
    }

    /// Handles an update by which another process uses the name of this node.
    ///
    /// A restarted node reclaims its name at once. Two processes that run under one name reclaim it
    /// alternately with increasing delays, so that they do not flood the network with updates.
    fn resolve_name_conflict(&mut self, incarnation: u64, now: Moment) -> LearnOutcome {
        self.conflict.incarnation = self.conflict.incarnation.max(incarnation);
        if now < self.conflict.next {
            return LearnOutcome::Contested;
        }
        self.reclaim_name(now);
        LearnOutcome::Refuted
    }

    fn reclaim_name(&mut self, now: Moment) {
        let mut me = self.me().clone();
        if me.state == State::Left || me.incarnation > self.conflict.incarnation {
            return;
        }
        me.incarnation = self.conflict.incarnation + 1;
        let wait = INITIAL_RECLAIM_DELAY.0 << self.conflict.reclaims.min(10);
        self.conflict.reclaims += 1;
        self.conflict.next = now.after(Millis(wait.min(MAX_RECLAIM_DELAY.0)));
        self.put(me, None, now);
    }

    /// Adds the members of another node's table when joining.
    ///
    /// The other nodes know these members already, so the updates are not sent to neighbours.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// let mut table = MemberTable::new(me.clone(), Moment(0));
    /// table.take_unsent();
    /// let other = Member { id: Name::new("b").unwrap(), ..me };
    /// table.merge_from_peer([other], Moment(0));
    /// assert_eq!(table.members().count(), 2);
    /// assert!(!table.has_unsent());
    /// ```
    pub fn merge_from_peer(&mut self, members: impl IntoIterator<Item = Member>, now: Moment) {
        for member in members {
            let id = member.id.clone();
            let was_unsent = self.unsent.contains_key(&id);
            if self.learn(member, None, now) != LearnOutcome::Updated || was_unsent {
                continue;
            }
            self.unsent.remove(&id);
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.repeats_left = 0;
            }
        }
    }

    /// Marks a node that did not answer as suspect.
    ///
    /// Has no effect on this node itself or on a node that is not alive.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// table.suspect(&me.id, Moment(0));
    /// assert_eq!(table.me().state, State::Alive, "a node never suspects itself");
    /// ```
    pub fn suspect(&mut self, id: &Name, now: Moment) {
        let alive = self
            .get(id)
            .filter(|member| member.state == State::Alive && member.id != self.me);
        if let Some(mut member) = alive.cloned() {
            member.state = State::Suspect;
            self.put(member, None, now);
        }
    }

    /// Declares expired suspects of this region dead, and removes old tombstones.
    ///
    /// Also reclaims the name of this node from another process if that is due. The suspicion
    /// timeout is multiplied by `timeout_factor`.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// table.expire(1, Moment(0));
    /// assert_eq!(table.members().count(), 1);
    /// ```
    pub fn expire(&mut self, timeout_factor: u32, now: Moment) {
        let region = self.me().place.region.clone();
        let timeout = Millis(SUSPICION_TIMEOUT.0 * u64::from(timeout_factor));
        let is_expired = |entry: &&Entry| {
            let member = &entry.member;
            member.state == State::Suspect
                && member.place.region == region
                && now.since(entry.since) >= timeout
        };
        let expired: Vec<_> = self.entries.values().filter(is_expired).cloned().collect();
        for entry in expired {
            let mut member = entry.member;
            member.state = State::Dead;
            self.put(member, None, now);
        }
        if now >= self.conflict.next {
            self.reclaim_name(now);
        }
        let me = self.me.clone();
        self.entries.retain(|id, entry| {
            *id == me || is_running(&entry.member) || now.since(entry.since) < TOMBSTONE_TTL
        });
    }

    /// Restarts the timers of all entries.
    ///
    /// To be called when this node was not running for a while: suspects could not refute the
    /// suspicion during that time, so they get the full timeout again.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// table.restart_timers(Moment(1));
    /// ```
    pub fn restart_timers(&mut self, now: Moment) {
        for entry in self.entries.values_mut() {
            entry.since = now;
        }
    }

    /// Takes the updates not yet sent to neighbours, each with the neighbour that it came from.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// assert_eq!(table.take_unsent().len(), 1);
    /// assert!(table.take_unsent().is_empty());
    /// ```
    pub fn take_unsent(&mut self) -> Vec<(Member, Option<Name>)> {
        let unsent = std::mem::take(&mut self.unsent);
        let updates = unsent
            .into_iter()
            .filter_map(|(id, from)| self.get(&id).cloned().map(|member| (member, from)));
        updates.collect()
    }

    /// Returns whether there are updates not yet sent to neighbours.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// assert!(table.has_unsent());
    /// ```
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns up to `max` updates to add to a datagram for the node `to`, least repeated first.
    ///
    /// If the receiver is not believed to be alive, its own entry comes first, so that it can
    /// refute it.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// assert_eq!(table.gossip(None, 6), [me]);
    /// ```
    pub fn gossip(&mut self, to: Option<&Name>, max: usize) -> Vec<Member> {
        let mut gossip = Vec::new();
        let receiver = to.and_then(|id| self.get(id));
        gossip.extend(
            receiver
                .filter(|member| member.state != State::Alive)
                .cloned(),
        );
        let mut pending: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.repeats_left > 0 && Some(&entry.member.id) != to)
            .collect();
        pending.sort_by_key(|entry| std::cmp::Reverse(entry.repeats_left));
        for entry in pending.into_iter().take(max.saturating_sub(gossip.len())) {
            entry.repeats_left -= 1;
            gossip.push(entry.member.clone());
        }
        gossip
    }

    fn put(&mut self, member: Member, from: Option<Name>, now: Moment) {
        let id = member.id.clone();
        self.checksum = self.checksum.wrapping_add(checksum_weight(&member));
        let entry = Entry {
            member,
            since: now,
            repeats_left: GOSSIP_REPEATS,
        };
        if let Some(old) = self.entries.insert(id.clone(), entry) {
            self.checksum = self.checksum.wrapping_sub(checksum_weight(&old.member));
        }
        self.unsent.insert(id, from);
    }
}

fn is_running(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Suspect)
}

/// The order of updates about one member: a higher incarnation takes precedence, and within the
/// same incarnation, the worse state.
fn precedence(member: &Member) -> (u64, State) {
    (member.incarnation, member.state)
}

/// Returns the contribution of a member to the checksum of the table.
///
/// Suspicions are not sent to other regions, and nodes remove tombstones at different times, so
/// neither of them is included.
fn checksum_weight(member: &Member) -> u64 {
    if !is_running(member) {
        return 0;
    }
    hash::stable(&[
        member.id.as_str().as_bytes(),
        &member.incarnation.to_be_bytes(),
    ])
}
