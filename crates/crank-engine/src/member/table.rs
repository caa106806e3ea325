//! What is believed of every node.

use std::collections::BTreeMap;

use crank_protocol::member::{Endpoint, Member, State};
use crank_protocol::{Millis, Name};

use crate::{Moment, hash};

/// A node that is dead or left is forgotten after this.
const FORGET_AFTER: Millis = Millis(24 * 3_600_000);
/// A suspect that has not refuted by then is dead.
const SUSPICION: Millis = Millis(4_000);
/// The first wait before a name that another process claims is claimed back.
const FIRST_CLAIM: Millis = Millis(1_000);
/// The longest such wait.
const LONGEST_CLAIM: Millis = Millis(60_000);
/// Datagrams in which a node repeats a piece of news, besides telling its neighbours.
const REPEATS: u32 = 2;

/// What a piece of news changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LearnOutcome {
    /// Nothing: it is known, or older than what is known.
    Unchanged,
    /// The belief about a node.
    Updated,
    /// It was wrong about this node, which now says otherwise.
    Refuted,
    /// Another process claims this node's name; this node claims it back after a growing wait.
    Contested,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    since: Moment,
    repeats_left: u32,
}

/// Another process under this node's name.
#[derive(Debug, Clone, Default)]
struct Rival {
    incarnation: u64,
    claims: u32,
    next: Moment,
}

/// What a node believes of every node, itself included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    me: Name,
    entries: BTreeMap<Name, Entry>,
    /// News that no neighbour has been sent, and who told it.
    fresh: BTreeMap<Name, Option<Name>>,
    sum: u64,
    rival: Rival,
}

impl MemberTable {
    /// A table that holds only this node.
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
            fresh: BTreeMap::new(),
            sum: 0,
            rival: Rival::default(),
        };
        table.put(me, None, now);
        table
    }

    /// What this node says of itself.
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
            None => unreachable!("a table holds its own node"),
        }
    }

    /// What is believed of a node.
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

    /// Every node, in the order of names.
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

    /// A hash of the nodes believed to be there; equal tables have equal hashes.
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
        self.sum
    }

    /// Says something new of this node.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::MemberTable};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// table.announce(None, Moment(0));
    /// assert_eq!(table.me().incarnation, 1, "nothing new");
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

    /// Says that this node leaves.
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

    /// Weighs a piece of news; `from` is the neighbour that told it, who needs no telling.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::{LearnOutcome, MemberTable}};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// let mut table = MemberTable::new(me.clone(), Moment(0));
    /// let rumour = Member { state: State::Dead, ..me };
    /// assert_eq!(table.learn(rumour, None, Moment(0)), LearnOutcome::Refuted);
    /// assert_eq!(table.me().incarnation, 2);
    /// ```
    pub fn learn(&mut self, news: Member, from: Option<&Name>, now: Moment) -> LearnOutcome {
        if news.id == self.me {
            return self.learn_of_me(&news, now);
        }
        let is_news = match self.entries.get(&news.id) {
            Some(entry) => precedence(&news) > precedence(&entry.member),
            // A tombstone that outlives its node in tables must not travel for ever.
            None => matches!(news.state, State::Alive | State::Suspect),
        };
        if !is_news {
            return LearnOutcome::Unchanged;
        }
        self.put(news, from.cloned(), now);
        LearnOutcome::Updated
    }

    fn learn_of_me(&mut self, news: &Member, now: Moment) -> LearnOutcome {
        let mut me = self.me().clone();
        if me.state == State::Left || *news == me || news.incarnation < me.incarnation {
            return LearnOutcome::Unchanged;
        }
        if news.address != me.address && is_there(news) {
            return self.contest(news.incarnation, now);
        }
        me.incarnation = news.incarnation + 1;
        self.put(me, None, now);
        LearnOutcome::Refuted
    }

    /// A restarted node claims its name at once; two processes that run under one name take turns
    /// that grow longer, and fill no network with it.
    fn contest(&mut self, incarnation: u64, now: Moment) -> LearnOutcome {
        self.rival.incarnation = self.rival.incarnation.max(incarnation);
        if now < self.rival.next {
            return LearnOutcome::Contested;
        }
        self.claim(now);
        LearnOutcome::Refuted
    }

    fn claim(&mut self, now: Moment) {
        let mut me = self.me().clone();
        if me.state == State::Left || me.incarnation > self.rival.incarnation {
            return;
        }
        me.incarnation = self.rival.incarnation + 1;
        let wait = FIRST_CLAIM.0 << self.rival.claims.min(10);
        self.rival.claims += 1;
        self.rival.next = now.after(Millis(wait.min(LONGEST_CLAIM.0)));
        self.put(me, None, now);
    }

    /// Takes over the table of another node on joining; its nodes know it, so nobody is told.
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
            let known = self.fresh.contains_key(&id);
            if self.learn(member, None, now) != LearnOutcome::Updated || known {
                continue;
            }
            self.fresh.remove(&id);
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.repeats_left = 0;
            }
        }
    }

    /// Suspects a node that did not answer.
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

    /// Declares dead the suspects of the own region whose time is up, and forgets the long dead.
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
    pub fn expire(&mut self, patience: u32, now: Moment) {
        let region = self.me().place.region.clone();
        let limit = Millis(SUSPICION.0 * u64::from(patience));
        let late = |entry: &&Entry| {
            let member = &entry.member;
            member.state == State::Suspect
                && member.place.region == region
                && now.since(entry.since) >= limit
        };
        let late: Vec<_> = self.entries.values().filter(late).cloned().collect();
        for entry in late {
            let mut member = entry.member;
            member.state = State::Dead;
            self.put(member, None, now);
        }
        if now >= self.rival.next {
            self.claim(now);
        }
        let me = self.me.clone();
        self.entries.retain(|id, entry| {
            *id == me || is_there(&entry.member) || now.since(entry.since) < FORGET_AFTER
        });
    }

    /// Gives every suspect its whole time again, because this node itself was not running.
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

    /// The news that neighbours have not been sent, each with the neighbour that told it.
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
        let fresh = std::mem::take(&mut self.fresh);
        let known = fresh
            .into_iter()
            .filter_map(|(id, from)| self.get(&id).cloned().map(|member| (member, from)));
        known.collect()
    }

    /// Whether there is news that neighbours have not been sent.
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
        !self.fresh.is_empty()
    }

    /// Up to `most` pieces of news for a datagram to a node, least repeated first; what is wrongly
    /// believed of the receiver comes before all, so that it can refute.
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
    pub fn gossip(&mut self, to: Option<&Name>, most: usize) -> Vec<Member> {
        let mut gossip = Vec::new();
        let doubted = to.and_then(|id| self.get(id));
        gossip.extend(
            doubted
                .filter(|member| member.state != State::Alive)
                .cloned(),
        );
        let mut waiting: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.repeats_left > 0 && Some(&entry.member.id) != to)
            .collect();
        waiting.sort_by_key(|entry| std::cmp::Reverse(entry.repeats_left));
        for entry in waiting.into_iter().take(most.saturating_sub(gossip.len())) {
            entry.repeats_left -= 1;
            gossip.push(entry.member.clone());
        }
        gossip
    }

    fn put(&mut self, member: Member, from: Option<Name>, now: Moment) {
        let id = member.id.clone();
        self.sum = self.sum.wrapping_add(weight(&member));
        let entry = Entry {
            member,
            since: now,
            repeats_left: REPEATS,
        };
        if let Some(old) = self.entries.insert(id.clone(), entry) {
            self.sum = self.sum.wrapping_sub(weight(&old.member));
        }
        self.fresh.insert(id, from);
    }
}

fn is_there(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Suspect)
}

/// Later incarnations come first; within one, the worse state.
fn precedence(member: &Member) -> (u64, State) {
    (member.incarnation, member.state)
}

/// Suspicion stays within a region and tombstones are forgotten at different times, so neither
/// counts.
fn weight(member: &Member) -> u64 {
    if !is_there(member) {
        return 0;
    }
    hash::stable(&[
        member.id.as_str().as_bytes(),
        &member.incarnation.to_be_bytes(),
    ])
}
