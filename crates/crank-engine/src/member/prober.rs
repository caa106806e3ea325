//! Failure detection by probes between the nodes of a region.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crank_protocol::member::State;
use crank_protocol::wire::Probe;
use crank_protocol::{Millis, Name};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::MemberTable;
use crate::Moment;

/// The time between two probes of a node whose local health score is 0.
const PROBE_INTERVAL: Millis = Millis(1_000);
/// A node that has not acknowledged a direct probe within this time is probed indirectly.
const DIRECT_PROBE_TIMEOUT: Millis = Millis(400);
/// The number of nodes that are asked to probe an unresponsive node.
const INDIRECT_PROBES: usize = 3;
/// When the number of a probe is a multiple of this, a node believed to be dead is probed as well,
/// so that the nodes of both sides find each other again after a network partition.
const DEAD_PROBE_PERIOD: u64 = 8;
/// The highest local health score. The timeouts of a node are multiplied by 1 plus its score.
const MAX_LOCAL_HEALTH_SCORE: u32 = 4;
/// If two ticks are further apart than this, this node was not running in between.
const MAX_TICK_GAP: Millis = Millis(5_000);
/// The number of probes sent on behalf of other nodes that are kept until they are acknowledged.
const MAX_RELAYS: usize = 64;

/// A probe to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingProbe {
    /// The address to send the probe to.
    pub address: SocketAddr,
    /// The name of the node that the probe is meant for.
    pub to: Name,
    /// The content of the probe.
    pub probe: Probe,
}

#[derive(Debug, Clone)]
struct Pending {
    target: Name,
    number: u64,
    sent_at: Moment,
    is_indirect: bool,
}

#[derive(Debug, Clone)]
struct Relay {
    requester: Name,
    address: SocketAddr,
    number: u64,
    target: Name,
}

/// Probes the nodes of its own region in random order, one per interval.
///
/// A node that does not acknowledge a probe is probed through other nodes, then suspected, and
/// declared dead unless it refutes the suspicion in time. A node that is slow itself raises its
/// local health score and thereby its timeouts, so that it does not suspect others wrongly.
#[derive(Debug, Clone, Default)]
pub struct Prober {
    order: Vec<Name>,
    number: u64,
    pending: Option<Pending>,
    relays: BTreeMap<u64, Relay>,
    local_health_score: u32,
    next: Moment,
    last_tick: Moment,
}

impl Prober {
    /// Creates a prober that sends its first probe at the first tick.
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
    /// assert!(prober.tick(&mut table, Moment(0), &mut rng).is_empty(), "no other node to probe");
    /// ```
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            last_tick: now,
            next: now,
            ..Self::default()
        }
    }

    /// Declares expired suspects dead, suspects a node that did not answer, and returns the probes
    /// to send now.
    ///
    /// The caller should call it several times per second.
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
        if now.since(self.last_tick) > MAX_TICK_GAP {
            table.restart_timers(now);
            self.pending = None;
        }
        self.last_tick = now;
        let timeout_factor = 1 + self.local_health_score;
        table.expire(timeout_factor, now);
        if now >= self.next {
            self.next = now.after(Millis(PROBE_INTERVAL.0 * u64::from(timeout_factor)));
            return self.start_round(table, now, rng);
        }
        self.probe_indirectly(table, now, rng)
    }

    /// Handles a probe received from `from` and returns the probes to send in response.
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
            Probe::Ack { number } => self.handle_ack(from, *number),
            Probe::PingFor { number, target } => {
                self.relay_probe(table, from, address, *number, target)
            }
            Probe::Ask { .. } | Probe::Told { .. } | Probe::Message(_) => Vec::new(),
        }
    }

    /// Returns a number that this node has not used for a probe before.
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

    /// Raises the local health score, which lengthens the timeouts of this node.
    ///
    /// To be called when another node wrongly suspected this one, because this node is then likely
    /// to be slow or badly connected itself.
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
        self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
    }

    fn start_round(
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
        if number.is_multiple_of(DEAD_PROBE_PERIOD) {
            let other = self.next_probe_number();
            due.extend(probe_dead_node(table, other, rng));
        }
        let Some(target) = self.next_target(table, rng) else {
            return due;
        };
        let probes = table.get(&target).map(|member| OutgoingProbe {
            address: member.address,
            to: target.clone(),
            probe: Probe::Ping { number },
        });
        due.extend(probes);
        self.pending = Some(Pending {
            target,
            number,
            sent_at: now,
            is_indirect: false,
        });
        due
    }

    fn next_target(&mut self, table: &MemberTable, rng: &mut impl Rng) -> Option<Name> {
        for _ in 0..2 {
            while let Some(id) = self.order.pop() {
                if table
                    .get(&id)
                    .is_some_and(|member| is_running(member.state))
                {
                    return Some(id);
                }
            }
            self.order = others_in_region(table)
                .map(|member| member.id.clone())
                .collect();
            self.order.shuffle(rng);
        }
        None
    }

    fn probe_indirectly(
        &mut self,
        table: &MemberTable,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<OutgoingProbe> {
        let timeout = Millis(DIRECT_PROBE_TIMEOUT.0 * u64::from(1 + self.local_health_score));
        let Some(pending) = self.pending.as_mut() else {
            return Vec::new();
        };
        let target = table.get(&pending.target);
        let is_obsolete = target.is_none_or(|member| !is_running(member.state));
        if is_obsolete || pending.is_indirect || now.since(pending.sent_at) < timeout {
            return Vec::new();
        }
        pending.is_indirect = true;
        let others: Vec<_> = others_in_region(table)
            .filter(|member| member.id != pending.target)
            .collect();
        let chosen = others.sample(rng, INDIRECT_PROBES);
        let probes = chosen.map(|relay| OutgoingProbe {
            address: relay.address,
            to: relay.id.clone(),
            probe: Probe::PingFor {
                number: pending.number,
                target: pending.target.clone(),
            },
        });
        probes.collect()
    }

    fn handle_ack(&mut self, from: &Name, number: u64) -> Vec<OutgoingProbe> {
        let relayed = self
            .relays
            .remove(&number)
            .filter(|relay| relay.target == *from);
        if let Some(relay) = relayed {
            return vec![OutgoingProbe {
                address: relay.address,
                to: relay.requester,
                probe: Probe::Ack {
                    number: relay.number,
                },
            }];
        }
        // An indirect acknowledgement comes from a relay, so only the number matches it to the
        // probe.
        let matches = |pending: &mut Pending| {
            pending.number == number && (pending.target == *from || pending.is_indirect)
        };
        if self.pending.take_if(matches).is_some() {
            self.local_health_score = self.local_health_score.saturating_sub(1);
        }
        Vec::new()
    }

    fn relay_probe(
        &mut self,
        table: &MemberTable,
        requester: &Name,
        address: SocketAddr,
        number: u64,
        target: &Name,
    ) -> Vec<OutgoingProbe> {
        let Some(member) = table.get(target) else {
            return Vec::new();
        };
        let own_number = self.next_probe_number();
        self.relays.insert(
            own_number,
            Relay {
                requester: requester.clone(),
                address,
                number,
                target: target.clone(),
            },
        );
        if self.relays.len() > MAX_RELAYS {
            self.relays.pop_first();
        }
        vec![OutgoingProbe {
            address: member.address,
            to: target.clone(),
            probe: Probe::Ping { number: own_number },
        }]
    }
}

fn probe_dead_node(table: &MemberTable, number: u64, rng: &mut impl Rng) -> Option<OutgoingProbe> {
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

fn others_in_region(table: &MemberTable) -> impl Iterator<Item = &crank_protocol::member::Member> {
    let me = table.me();
    table.members().filter(move |member| {
        member.id != me.id && member.place.region == me.place.region && is_running(member.state)
    })
}

fn is_running(state: State) -> bool {
    matches!(state, State::Alive | State::Suspect)
}
