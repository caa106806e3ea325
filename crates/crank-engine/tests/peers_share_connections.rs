//! The connections of other nodes are bounded, and a node with few finds room beside one with many.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use crank_engine::caller_budget::{Bounds as Connections, MachineLimits};
use crank_engine::peer_budget::{Bounds, Call, Verdict, decide};
use crank_protocol::Name;
use proptest::prelude::*;

/// The smallest machine of a deployment, and the most nodes of one.
const SMALLEST_DESCRIPTORS: u32 = 4_100;
const NODES: usize = 300;

fn machine(descriptors: u32) -> MachineLimits {
    MachineLimits {
        memory_bytes: None,
        descriptors: Some(descriptors),
    }
}

fn peer(number: usize) -> Name {
    Name::new(&format!("node-{number}")).unwrap()
}

/// Opens call connections one after the other; returns those that are open in the end.
fn open_all(bounds: Bounds, peers: impl IntoIterator<Item = usize>) -> Vec<Call> {
    let mut open: Vec<Call> = Vec::new();
    for (id, number) in (0..).zip(peers) {
        let peer = peer(number);
        match decide(bounds, &peer, &open) {
            Verdict::Accepted => {}
            Verdict::Replaces(replaced) => open.retain(|call| call.id != replaced),
            Verdict::Refused => continue,
        }
        open.push(Call { id, peer });
    }
    open
}

#[test]
fn the_largest_deployment_stays_far_inside_the_bounds_of_its_smallest_machine() {
    let bounds = Bounds::new(machine(SMALLEST_DESCRIPTORS));
    // All connections go silent, and each node replaces its own.
    assert!(bounds.calls >= 2 * NODES, "{bounds:?}");
    assert!(bounds.controls >= 256, "{bounds:?}");
    let newcomers = Connections::for_newcomers(machine(SMALLEST_DESCRIPTORS));
    assert!(newcomers.connections >= 256, "{newcomers:?}");
    let again = (0..NODES).chain(0..NODES);
    assert_eq!(open_all(bounds, again).len(), 2 * NODES);
}

#[test]
fn all_listeners_together_leave_descriptors_for_connections_to_others() {
    const OTHER_LISTENERS: usize = 3;
    for descriptors in [512, 1_024, SMALLEST_DESCRIPTORS, 8_192] {
        let machine = machine(descriptors);
        let bounds = Bounds::new(machine);
        let all = Connections::for_callers(machine).connections
            + OTHER_LISTENERS * Connections::for_neighbours(machine).connections
            + Connections::for_newcomers(machine).connections
            + bounds.calls
            + bounds.controls;
        assert!(all < descriptors as usize, "{all} of {descriptors}");
    }
}

#[test]
fn a_node_that_opens_more_than_its_own_loses_its_oldest() {
    let bounds = Bounds::new(machine(256));
    let open = open_all(bounds, vec![1; 2 * bounds.calls_by_peer]);
    let ids: Vec<_> = open.iter().map(|call| call.id).collect();
    let newest: Vec<_> = (bounds.calls_by_peer as u64..2 * bounds.calls_by_peer as u64).collect();
    assert_eq!(ids, newest);
}

#[test]
fn a_node_without_connections_finds_room_beside_those_with_many() {
    let bounds = Bounds::new(machine(256));
    let crowd = (0..bounds.calls).map(|id| id / bounds.calls_by_peer);
    let open = open_all(bounds, crowd.chain([1_000]));
    assert_eq!(open.len(), bounds.calls);
    assert!(open.iter().any(|call| call.peer == peer(1_000)));
}

#[test]
fn a_node_is_refused_where_all_have_as_few_as_it_would_have() {
    let bounds = Bounds::new(machine(256));
    let open = open_all(bounds, 0..bounds.calls);
    assert_eq!(decide(bounds, &peer(1_000), &open), Verdict::Refused);
    // One that has a connection replaces it.
    assert_eq!(decide(bounds, &peer(3), &open), Verdict::Replaces(3));
}

proptest! {
    #[test]
    fn the_bounds_hold_whoever_opens_connections(
        peers in proptest::collection::vec(0_usize..40, 0..300),
        descriptors in 64_u32..2_048,
    ) {
        let bounds = Bounds::new(machine(descriptors));
        let open = open_all(bounds, peers);
        prop_assert!(open.len() <= bounds.calls);
        let mut counts = BTreeMap::<&Name, usize>::new();
        for call in &open {
            *counts.entry(&call.peer).or_default() += 1;
        }
        prop_assert!(counts.values().all(|count| *count <= bounds.calls_by_peer));
    }
}
