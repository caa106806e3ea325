//! The questions that a node puts to the nodes of its region.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crank_protocol::member::State;
use crank_protocol::wire::Probe;
use crank_protocol::{Millis, Name};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::MemberTable;
use crate::Moment;

/// The time between two questions of a node that is well.
const PERIOD: Millis = Millis(1_000);
/// A node that has not answered by then is asked through others.
const DIRECT: Millis = Millis(400);
/// The nodes through which a silent one is asked.
const HELPERS: usize = 3;
/// Of so many questions one goes to a node believed dead, so that a cut heals.
const REVIVAL: u64 = 8;
/// How far a node that is itself slow stretches its patience.
const MOST_STRAIN: u32 = 4;
/// Ticks further apart than this mean that this node was not running.
const FROZEN: Millis = Millis(5_000);
/// Questions asked for others that are kept at most.
const MOST_RELAYS: usize = 64;

/// A probe to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingProbe {
    /// Where to.
    pub address: SocketAddr,
    /// Whom it is meant for.
    pub to: Name,
    /// What it says.
    pub probe: Probe,
}

#[derive(Debug, Clone)]
struct Pending {
    target: Name,
    number: u64,
    asked: Moment,
    through_others: bool,
}

#[derive(Debug, Clone)]
struct Relay {
    asker: Name,
    address: SocketAddr,
    number: u64,
    target: Name,
}

/// Puts one question a period to the nodes of the own region in turn.
#[derive(Debug, Clone, Default)]
pub struct Prober {
    order: Vec<Name>,
    number: u64,
    pending: Option<Pending>,
    relays: BTreeMap<u64, Relay>,
    strain: u32,
    next: Moment,
    last_tick: Moment,
}

impl Prober {
    /// A prober that asks its first question at the first tick.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::{Prober, MemberTable}};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// # let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    /// let mut prober = Prober::new(Moment(0));
    /// assert!(prober.tick(&mut table, Moment(0), &mut rng).is_empty(), "nobody to ask");
    /// ```
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            last_tick: now,
            next: now,
            ..Self::default()
        }
    }

    /// What is due now: questions, suspicions, deaths. To be called several times a period.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::{Prober, MemberTable}};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// # let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    /// let mut prober = Prober::new(Moment(0));
    /// let other = Member { id: Name::new("b").unwrap(), ..me };
    /// table.learn(other, None, Moment(0));
    /// assert_eq!(prober.tick(&mut table, Moment(0), &mut rng).len(), 1);
    /// ```
    pub fn tick(
        &mut self,
        table: &mut MemberTable,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<OutgoingProbe> {
        if now.since(self.last_tick) > FROZEN {
            table.restart_timers(now);
            self.pending = None;
        }
        self.last_tick = now;
        let patience = 1 + self.strain;
        table.expire(patience, now);
        if now >= self.next {
            self.next = now.after(Millis(PERIOD.0 * u64::from(patience)));
            return self.begin(table, now, rng);
        }
        self.ask_through_others(table, now, rng)
    }

    /// Takes a probe and answers it.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::{Prober, MemberTable}};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// # let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    /// let mut prober = Prober::new(Moment(0));
    /// let ping = crank_protocol::wire::Probe::Ping { number: 1 };
    /// assert_eq!(prober.receive(&table, &me.id, me.address, &ping).len(), 1);
    /// ```
    pub fn receive(
        &mut self,
        table: &MemberTable,
        from: &Name,
        address: SocketAddr,
        probe: &Probe,
    ) -> Vec<OutgoingProbe> {
        match probe {
            Probe::Ping { number } => vec![OutgoingProbe {
                address,
                to: from.clone(),
                probe: Probe::Ack { number: *number },
            }],
            Probe::Ack { number } => self.acknowledged(from, *number),
            Probe::PingFor { number, target } => {
                self.ask_for_another(table, from, address, *number, target)
            }
            Probe::Ask { .. } | Probe::Told { .. } => Vec::new(),
        }
    }

    /// A number that no question of this node has had.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::{Prober, MemberTable}};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// # let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    /// let mut prober = Prober::new(Moment(0));
    /// assert_ne!(prober.next_probe_number(), prober.next_probe_number());
    /// ```
    pub fn next_probe_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Doubts this node itself: another suspected it wrongly.
    ///
    /// ```
    /// # use crank_engine::{Moment, member::{Prober, MemberTable}};
    /// # use crank_protocol::{Name, member::{Member, Place, State}};
    /// # let me = Member { id: Name::new("a").unwrap(), place: Place { region: Name::new("r").unwrap(),
    /// #     data_centre: Name::new("d").unwrap() }, address: "127.0.0.1:1".parse().unwrap(),
    /// #     incarnation: 1, link: 0, state: State::Alive, endpoint: None };
    /// # let mut table = MemberTable::new(me.clone(), Moment(0));
    /// # let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    /// let mut prober = Prober::new(Moment(0));
    /// prober.degrade_local_health();
    /// ```
    pub fn degrade_local_health(&mut self) {
        self.strain = (self.strain + 1).min(MOST_STRAIN);
    }

    fn begin(
        &mut self,
        table: &mut MemberTable,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<OutgoingProbe> {
        if let Some(pending) = self.pending.take() {
            self.degrade_local_health();
            table.suspect(&pending.target, now);
        }
        let number = self.next_probe_number();
        let mut due = Vec::new();
        if number.is_multiple_of(REVIVAL) {
            let other = self.next_probe_number();
            due.extend(question_to_the_dead(table, other, rng));
        }
        let Some(target) = self.next_target(table, rng) else {
            return due;
        };
        let asked = table.get(&target).map(|member| OutgoingProbe {
            address: member.address,
            to: target.clone(),
            probe: Probe::Ping { number },
        });
        due.extend(asked);
        self.pending = Some(Pending {
            target,
            number,
            asked: now,
            through_others: false,
        });
        due
    }

    fn next_target(&mut self, table: &MemberTable, rng: &mut impl Rng) -> Option<Name> {
        for _ in 0..2 {
            while let Some(id) = self.order.pop() {
                if table.get(&id).is_some_and(|member| is_there(member.state)) {
                    return Some(id);
                }
            }
            self.order = near(table).map(|member| member.id.clone()).collect();
            self.order.shuffle(rng);
        }
        None
    }

    fn ask_through_others(
        &mut self,
        table: &MemberTable,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<OutgoingProbe> {
        let limit = Millis(DIRECT.0 * u64::from(1 + self.strain));
        let Some(pending) = self.pending.as_mut() else {
            return Vec::new();
        };
        let target = table.get(&pending.target);
        let is_over = target.is_none_or(|member| !is_there(member.state));
        if is_over || pending.through_others || now.since(pending.asked) < limit {
            return Vec::new();
        }
        pending.through_others = true;
        let others: Vec<_> = near(table)
            .filter(|member| member.id != pending.target)
            .collect();
        let chosen = others.sample(rng, HELPERS);
        let asked = chosen.map(|helper| OutgoingProbe {
            address: helper.address,
            to: helper.id.clone(),
            probe: Probe::PingFor {
                number: pending.number,
                target: pending.target.clone(),
            },
        });
        asked.collect()
    }

    fn acknowledged(&mut self, from: &Name, number: u64) -> Vec<OutgoingProbe> {
        let relayed = self
            .relays
            .remove(&number)
            .filter(|relay| relay.target == *from);
        if let Some(relay) = relayed {
            return vec![OutgoingProbe {
                address: relay.address,
                to: relay.asker,
                probe: Probe::Ack {
                    number: relay.number,
                },
            }];
        }
        // An indirect answer comes from a helper; the number alone ties it to the question.
        let answered = |pending: &mut Pending| {
            pending.number == number && (pending.target == *from || pending.through_others)
        };
        if self.pending.take_if(answered).is_some() {
            self.strain = self.strain.saturating_sub(1);
        }
        Vec::new()
    }

    fn ask_for_another(
        &mut self,
        table: &MemberTable,
        asker: &Name,
        address: SocketAddr,
        number: u64,
        target: &Name,
    ) -> Vec<OutgoingProbe> {
        let Some(member) = table.get(target) else {
            return Vec::new();
        };
        let own = self.next_probe_number();
        self.relays.insert(
            own,
            Relay {
                asker: asker.clone(),
                address,
                number,
                target: target.clone(),
            },
        );
        if self.relays.len() > MOST_RELAYS {
            self.relays.pop_first();
        }
        vec![OutgoingProbe {
            address: member.address,
            to: target.clone(),
            probe: Probe::Ping { number: own },
        }]
    }
}

fn question_to_the_dead(
    table: &MemberTable,
    number: u64,
    rng: &mut impl Rng,
) -> Option<OutgoingProbe> {
    let region = &table.me().place.region;
    let dead: Vec<_> = table
        .members()
        .filter(|member| member.state == State::Dead && member.place.region == *region)
        .collect();
    dead.choose(rng).map(|member| OutgoingProbe {
        address: member.address,
        to: member.id.clone(),
        probe: Probe::Ping { number },
    })
}

fn near(table: &MemberTable) -> impl Iterator<Item = &crank_protocol::member::Member> {
    let me = table.me();
    table.members().filter(move |member| {
        member.id != me.id && member.place.region == me.place.region && is_there(member.state)
    })
}

fn is_there(state: State) -> bool {
    matches!(state, State::Alive | State::Suspect)
}
