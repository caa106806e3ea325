//! Member tables that exchange updates over a network that reorders, duplicates and loses them.
#![allow(clippy::unwrap_used)]

use crank_engine::Moment;
use crank_engine::member::{LearnOutcome, MemberTable, Prober};
use crank_protocol::member::{Endpoint, Member, Place, Stage, State};
use crank_protocol::wire::Probe;
use crank_protocol::{Millis, Name};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NODES: usize = 5;

fn member(index: usize, region: &str) -> Member {
    Member {
        id: Name::new(&format!("node-{index}")).unwrap(),
        place: Place {
            region: Name::new(region).unwrap(),
            data_centre: Name::new(&format!("{region}-1")).unwrap(),
        },
        address: format!("127.0.0.1:{}", 1_000 + index).parse().unwrap(),
        incarnation: 1,
        link: 0,
        state: State::Alive,
        endpoint: None,
    }
}

#[derive(Debug, Clone)]
enum Event {
    Gossip { from: usize, to: usize },
    Deliver { index: usize, again: bool },
    Suspect { by: usize, of: usize },
    Expire { by: usize },
    Announce { by: usize, slots: u32 },
    Restart { node: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), node.clone()).prop_map(|(from, to)| Event::Gossip { from, to }),
        9 => (0..64_usize, any::<bool>()).prop_map(|(index, again)| Event::Deliver { index, again }),
        2 => (node.clone(), node.clone()).prop_map(|(by, of)| Event::Suspect { by, of }),
        1 => node.clone().prop_map(|by| Event::Expire { by }),
        2 => (node.clone(), 1..9_u32).prop_map(|(by, slots)| Event::Announce { by, slots }),
        1 => node.prop_map(|node| Event::Restart { node }),
    ]
}

struct Network {
    tables: Vec<MemberTable>,
    updates: Vec<(usize, Member)>,
    now: Moment,
}

impl Network {
    fn apply(&mut self, event: &Event) {
        self.now = self.now.after(Millis(10));
        match event {
            Event::Gossip { from, to } => {
                let receiver = member(*to, "r").id;
                let updates = self.tables[*from].gossip(Some(&receiver), 3);
                self.updates
                    .extend(updates.into_iter().map(|update| (*to, update)));
            }
            Event::Deliver { index, again } if !self.updates.is_empty() => {
                let index = index % self.updates.len();
                let (to, update) = self.updates[index].clone();
                if !again {
                    self.updates.swap_remove(index);
                }
                self.learn(to, update);
            }
            Event::Deliver { .. } => {}
            Event::Suspect { by, of } => {
                self.tables[*by].suspect(&member(*of, "r").id, self.now);
            }
            Event::Expire { by } => {
                let later = self.now.after(Millis(10_000));
                self.tables[*by].expire(1, later);
            }
            Event::Announce { by, slots } => {
                let endpoint = Endpoint {
                    service: Name::new("recipes").unwrap(),
                    stage: Stage::Ready,
                    slots: *slots,
                    release: None,
                };
                self.tables[*by].announce(Some(endpoint), self.now);
            }
            Event::Restart { node } => {
                self.tables[*node] = MemberTable::new(member(*node, "r"), self.now);
            }
        }
    }

    /// Applies an update and checks that an entry is never replaced by one with a lower
    /// incarnation, or by one with a better state of the same incarnation.
    fn learn(&mut self, to: usize, update: Member) {
        let table = &mut self.tables[to];
        let precedence = |member: &Member| (member.incarnation, member.state);
        let before = table.get(&update.id).map(precedence);
        let learned = table.learn(update.clone(), None, self.now);
        let after = table.get(&update.id).map(precedence);
        assert!(after >= before);
        assert_eq!(learned == LearnOutcome::Unchanged, after == before);
        assert_eq!(table.me().state, State::Alive);
    }

    /// Sends every entry of every table to every other table until nothing changes any more.
    fn exchange_all(&mut self) {
        let mut learned = true;
        while learned {
            learned = false;
            for from in 0..NODES {
                let all: Vec<Member> = self.tables[from].members().cloned().collect();
                for table in &mut self.tables {
                    for update in &all {
                        let step = table.learn(update.clone(), None, self.now);
                        learned |= step != LearnOutcome::Unchanged;
                    }
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_never_go_back_and_all_tables_converge(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let tables = (0..NODES).map(|index| MemberTable::new(member(index, "r"), Moment(0)));
        let mut network = Network { tables: tables.collect(), updates: Vec::new(), now: Moment(0) };
        for event in &events {
            network.apply(event);
        }
        network.exchange_all();
        let first: Vec<&Member> = network.tables[0].members().collect();
        prop_assert_eq!(first.len(), NODES);
        for table in &network.tables {
            prop_assert_eq!(table.checksum(), network.tables[0].checksum());
            prop_assert!(table.members().eq(first.iter().copied()));
            prop_assert!(table.members().all(|member| member.state == State::Alive));
            let own_entries: Vec<&Member> = network.tables.iter().map(MemberTable::me).collect();
            prop_assert!(table.members().eq(own_entries));
        }
    }
}

#[test]
fn an_unresponsive_node_is_probed_indirectly_then_suspected_then_dead() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut table = MemberTable::new(member(0, "r"), Moment(0));
    for index in 1..4 {
        table.learn(member(index, "r"), None, Moment(0));
    }
    table.learn(member(4, "far"), None, Moment(0));
    let mut prober = Prober::new(Moment(0));
    let (mut direct_probes, mut indirect_probes, mut suspected) = (0, 0, 0);
    let mut now = Moment(0);
    while table.members().any(|member| {
        member.place.region.as_str() == "r"
            && member.id.as_str() != "node-0"
            && member.state != State::Dead
    }) {
        for outgoing in prober.tick(&mut table, now, &mut rng) {
            assert_ne!(
                outgoing.to.as_str(),
                "node-4",
                "a node of another region must not be probed"
            );
            match outgoing.probe {
                Probe::Ping { .. } => direct_probes += 1,
                Probe::PingFor { .. } => indirect_probes += 1,
                _ => {}
            }
        }
        let suspects = table
            .members()
            .filter(|member| member.state == State::Suspect);
        suspected = suspected.max(suspects.count());
        now = now.after(Millis(200));
        assert!(
            now < Moment(0).after(Millis(600_000)),
            "the unresponsive nodes were not declared dead"
        );
    }
    assert!(
        direct_probes >= 3 && indirect_probes >= 2 && suspected >= 1,
        "{direct_probes} {indirect_probes} {suspected}"
    );
    let far = table.get(&member(4, "far").id).unwrap();
    assert_eq!(far.state, State::Alive);
}

#[test]
fn a_node_that_was_not_running_declares_nobody_dead() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut table = MemberTable::new(member(0, "r"), Moment(0));
    table.learn(member(1, "r"), None, Moment(0));
    let mut prober = Prober::new(Moment(0));
    prober.tick(&mut table, Moment(0), &mut rng);
    table.suspect(&member(1, "r").id, Moment(0));
    let resumed_at = Moment(0).after(Millis(3_600_000));
    prober.tick(&mut table, resumed_at, &mut rng);
    let entry = table.get(&member(1, "r").id).unwrap();
    assert_eq!(entry.state, State::Suspect);
}

#[test]
fn two_processes_with_one_name_reclaim_it_with_increasing_delays() {
    let mut tables = [0, 1].map(|port| {
        let me = Member {
            address: format!("127.0.0.1:{}", 1_000 + port).parse().unwrap(),
            ..member(0, "r")
        };
        MemberTable::new(me, Moment(0))
    });
    let mut now = Moment(0);
    let mut reclaims = 0;
    for _ in 0..6_000 {
        now = now.after(Millis(100));
        for index in 0..2 {
            let update = tables[1 - index].me().clone();
            let before = tables[index].me().incarnation;
            tables[index].learn(update, None, now);
            tables[index].expire(1, now);
            reclaims += usize::from(tables[index].me().incarnation > before);
        }
    }
    assert!(
        (2..40).contains(&reclaims),
        "{reclaims} reclaims in ten minutes"
    );
}
