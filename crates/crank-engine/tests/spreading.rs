//! Replicas that exchange frames over a network that reorders, duplicates and loses them.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use crank_engine::config::{diff, digest};
use crank_engine::spread::{ConfigReplica, Step, VersionComparison};
use crank_protocol::config::{
    Config, Delta, Importance, Method, Owner, Route, Service, Snapshot, Stamp, Version,
};
use crank_protocol::{Millis, Name, Permille};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const NODES: usize = 4;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Returns a snapshot with this version number and this content.
fn snapshot(version: u64, content: u64) -> Snapshot {
    let service = Service {
        slots: 6,
        connections: 110,
        queue: 12,
        timeout: Millis(1_000),
        retry_budget: Permille(100),
        importance: Importance::Normal,
        warm_up: Millis(0),
        drain_grace: Millis(5_000),
        objective: None,
        health: None,
    };
    let route = Route {
        path: format!("/recipes/{content}").into(),
        methods: [Method::Get].into(),
        service: name("recipes"),
        timeout: None,
        idempotent: true,
        once: false,
        host: None,
        split: Vec::new(),
        attempts: None,
        importance: None,
        latency: None,
        public: false,
    };
    let config = Config {
        account: Owner {
            name: name("sutkent"),
            notice_ends: None,
        },
        services: [(name("recipes"), service)].into(),
        routes: [(name(&format!("route-{}", content % 3)), route)].into(),
        clients: Default::default(),
        limits: Default::default(),
    };
    let stamp = Stamp {
        version: Version(version),
        digest: digest(&config),
    };
    Snapshot { stamp, config }
}

#[derive(Debug, Clone)]
enum Event {
    /// A new version is accepted, and a node receives it from the store.
    Accept { node: usize, content: u64 },
    /// A node sends the stamp of its version to another node.
    SendStamp { from: usize, to: usize },
    /// A frame is delivered; if `again` is set, it may be delivered once more.
    Deliver { frame: usize, again: bool },
    /// A frame is lost.
    Lose { frame: usize },
    /// A node receives a frame with other content for an existing version number.
    Forge { node: usize, version: u64 },
    /// A node receives a frame whose content does not match its digest.
    Tamper { node: usize },
    /// A node restarts and loses its state.
    Restart { node: usize },
}

#[derive(Debug, Clone)]
enum Frame {
    Holds(Option<Stamp>),
    Want(Option<Stamp>),
    Delta(Delta),
    Snapshot(Snapshot),
}

struct Accepted;

impl ReferenceStateMachine for Accepted {
    type State = Vec<Snapshot>;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(vec![snapshot(1, 0)]).boxed()
    }

    fn transitions(accepted: &Self::State) -> BoxedStrategy<Event> {
        let highest = accepted.len() as u64;
        let node = 0..NODES;
        prop_oneof![
            2 => (node.clone(), 1..9_u64).prop_map(|(node, content)| Event::Accept { node, content }),
            5 => (node.clone(), node.clone()).prop_map(|(from, to)| Event::SendStamp { from, to }),
            9 => (0..64_usize, any::<bool>()).prop_map(|(frame, again)| Event::Deliver { frame, again }),
            2 => (0..64_usize).prop_map(|frame| Event::Lose { frame }),
            1 => (node.clone(), 1..=highest).prop_map(|(node, version)| Event::Forge { node, version }),
            1 => node.clone().prop_map(|node| Event::Tamper { node }),
            1 => node.prop_map(|node| Event::Restart { node }),
        ]
        .boxed()
    }

    fn apply(mut accepted: Self::State, event: &Event) -> Self::State {
        if let Event::Accept { content, .. } = event {
            accepted.push(snapshot(accepted.len() as u64 + 1, *content));
        }
        accepted
    }
}

#[derive(Default)]
struct Network {
    nodes: Vec<ConfigReplica>,
    /// The highest version that each node has held since it started.
    highest: Vec<Version>,
    frames: Vec<(usize, usize, Frame)>,
}

impl Network {
    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if from != to {
            self.frames.push((from, to, frame));
        }
    }

    fn send_stamp(&mut self, from: usize, to: usize) {
        let stamp = self.nodes[from].stamp().cloned();
        self.send(from, to, Frame::Holds(stamp));
    }

    fn push(&mut self, from: usize) {
        let last = self.nodes[from].last_delta().cloned();
        for to in 0..NODES {
            match &last {
                Some(delta) => self.send(from, to, Frame::Delta(delta.clone())),
                None => self.send_stamp(from, to),
            }
        }
    }

    fn deliver(&mut self, (from, to, frame): (usize, usize, Frame)) {
        let replica = &mut self.nodes[to];
        let step = match frame {
            Frame::Holds(stamp) => {
                if replica.compare(stamp.as_ref()) == VersionComparison::PeerAhead {
                    let held = replica.stamp().cloned();
                    self.send(to, from, Frame::Want(held));
                }
                return;
            }
            Frame::Want(base) => return self.send_missing(to, from, base),
            Frame::Delta(delta) => replica.apply_delta(&delta),
            Frame::Snapshot(snapshot) => replica.apply_snapshot(snapshot),
        };
        match step {
            Step::Applied => self.push(to),
            Step::NeedWhole | Step::Bad(_) => self.send(to, from, Frame::Want(None)),
            Step::Old | Step::Conflict => {}
        }
    }

    fn send_missing(&mut self, from: usize, to: usize, base: Option<Stamp>) {
        let replica = &self.nodes[from];
        let Some(held) = replica.snapshot().cloned() else {
            return;
        };
        match base.and_then(|base| replica.deltas_since(&base)) {
            Some(deltas) => {
                for delta in deltas {
                    self.send(from, to, Frame::Delta(delta));
                }
            }
            None => self.send(from, to, Frame::Snapshot(Snapshot::clone(&held))),
        }
    }

    fn apply(&mut self, event: &Event, accepted: &[Snapshot]) {
        match event {
            Event::Accept { node, .. } => {
                let snapshot = accepted.last().unwrap().clone();
                assert_eq!(self.nodes[*node].apply_snapshot(snapshot), Step::Applied);
                self.push(*node);
            }
            Event::SendStamp { from, to } => self.send_stamp(*from, *to),
            Event::Deliver { frame, again } if !self.frames.is_empty() => {
                let index = frame % self.frames.len();
                let taken = self.frames[index].clone();
                if !again {
                    self.frames.swap_remove(index);
                }
                self.deliver(taken);
            }
            Event::Lose { frame } if !self.frames.is_empty() => {
                self.frames.swap_remove(frame % self.frames.len());
            }
            Event::Deliver { .. } | Event::Lose { .. } => {}
            Event::Forge { node, version } => self.forge(*node, snapshot(*version, 77)),
            Event::Tamper { node } => self.tamper(*node, accepted),
            Event::Restart { node } => {
                self.nodes[*node] = ConfigReplica::default();
                self.highest[*node] = Version::default();
            }
        }
    }

    /// Checks that other content for the version in force, or for an older one, is never applied.
    fn forge(&mut self, node: usize, forged: Snapshot) {
        let replica = &mut self.nodes[node];
        let Some(held) = replica.snapshot().cloned() else {
            return;
        };
        if forged.stamp.version <= held.stamp.version {
            let delta = diff(&held, &forged);
            assert!(matches!(
                replica.apply_delta(&delta),
                Step::Old | Step::Conflict
            ));
            assert!(matches!(
                replica.apply_snapshot(forged),
                Step::Old | Step::Conflict
            ));
            assert_eq!(replica.snapshot(), Some(&held));
        }
    }

    /// Checks that a newer version is refused if its content does not match its digest.
    fn tamper(&mut self, node: usize, accepted: &[Snapshot]) {
        let replica = &mut self.nodes[node];
        let before = replica.snapshot().cloned();
        let mut tampered = snapshot(accepted.len() as u64 + 9, 5);
        tampered.config.routes.clear();
        let step = replica.apply_snapshot(tampered.clone());
        assert!(matches!(step, Step::Bad(_)));
        if let Some(held) = &before {
            let delta = diff(held, &tampered);
            assert!(matches!(replica.apply_delta(&delta), Step::Bad(_)));
        }
        assert_eq!(replica.snapshot(), before.as_ref());
    }

    fn check(&self, accepted: &[Snapshot]) {
        for (replica, highest) in self.nodes.iter().zip(&self.highest) {
            let Some(held) = replica.snapshot() else {
                assert_eq!(*highest, Version::default(), "a node lost its version");
                continue;
            };
            let number = held.stamp.version;
            assert!(number >= *highest, "a node went back to an older version");
            let index = usize::try_from(number.0).unwrap() - 1;
            assert_eq!(
                **held, accepted[index],
                "a version has other content than accepted"
            );
        }
    }
}

struct Spreading;

impl StateMachineTest for Spreading {
    type SystemUnderTest = Network;
    type Reference = Accepted;

    fn init_test(accepted: &Vec<Snapshot>) -> Network {
        let mut network = Network {
            nodes: vec![ConfigReplica::default(); NODES],
            highest: vec![Version::default(); NODES],
            frames: Vec::new(),
        };
        network.nodes[0].apply_snapshot(accepted[0].clone());
        network
    }

    fn apply(mut network: Network, accepted: &Vec<Snapshot>, event: Event) -> Network {
        network.apply(&event, accepted);
        network.check(accepted);
        for (replica, highest) in network.nodes.iter().zip(network.highest.iter_mut()) {
            *highest = replica.stamp().map_or(*highest, |stamp| stamp.version);
        }
        network
    }

    /// Checks that, if all frames are delivered, all nodes reach the highest version that any node
    /// still has.
    fn teardown(mut network: Network, accepted: Vec<Snapshot>) {
        let held = |network: &Network| -> BTreeMap<usize, Option<Version>> {
            let versions = network.nodes.iter().map(|replica| {
                let stamp = replica.stamp();
                stamp.map(|stamp| stamp.version)
            });
            versions.enumerate().collect()
        };
        let highest = held(&network).into_values().max().unwrap();
        network.frames.clear();
        for from in 0..NODES {
            for to in 0..NODES {
                network.send_stamp(from, to);
            }
        }
        while let Some(frame) = network.frames.pop() {
            network.deliver(frame);
            network.check(&accepted);
        }
        let versions = held(&network);
        assert!(
            versions.values().all(|version| *version == highest),
            "{versions:?}"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_node_moves_back_and_all_converge(sequential 1..60 => Spreading);
}

#[test]
fn a_route_without_its_service_is_refused_whole() {
    let mut replica = ConfigReplica::default();
    replica.apply_snapshot(snapshot(1, 1));
    let mut dangling = snapshot(2, 1);
    dangling.config.services.clear();
    dangling.stamp.digest = digest(&dangling.config);
    let delta = diff(&snapshot(1, 1), &dangling);
    assert!(matches!(replica.apply_delta(&delta), Step::Bad(_)));
    assert!(matches!(replica.apply_snapshot(dangling), Step::Bad(_)));
    assert_eq!(replica.stamp(), Some(&snapshot(1, 1).stamp));
}

#[test]
fn a_delta_applies_to_its_exact_base_only() {
    let mut replica = ConfigReplica::default();
    replica.apply_snapshot(snapshot(1, 1));
    // The same content with another version number is another base, although the digest of the
    // result would match.
    let delta = diff(&snapshot(2, 1), &snapshot(3, 2));
    assert_eq!(replica.apply_delta(&delta), Step::NeedWhole);
    assert_eq!(replica.stamp(), Some(&snapshot(1, 1).stamp));
}
