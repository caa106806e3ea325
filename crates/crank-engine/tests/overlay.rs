//! Neighbours and bridges: a region stays connected, a node opens the same number of connections at
//! any size, and a change of one member moves few connections.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use crank_engine::Moment;
use crank_engine::overlay::{
    BRIDGES_PER_REGION, MAX_NODES_ALL_READ, RENDEZVOUS_NEIGHBOURS, STORE_READERS_PER_REGION,
    bridges, neighbours, publisher_candidates, should_follow_store,
};
use crank_engine::spread::TransferLimiter;
use crank_protocol::member::{Member, Place, State};
use crank_protocol::{Millis, Name};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn fleet(count: usize, regions: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        id: name(&format!("node-{index}")),
        place: Place {
            region: name(&format!("region-{}", index % regions)),
            data_centre: name(&format!("dc-{}", index % 8)),
        },
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        link: 0,
        state: State::Alive,
        endpoint: None,
    };
    (0..count).map(member).collect()
}

type Links = BTreeMap<Name, BTreeSet<Name>>;

/// The connections of each node, whichever side opens them.
fn links(members: &[Member]) -> Links {
    let mut links = Links::new();
    for member in members.iter().filter(|member| member.state == State::Alive) {
        links.entry(member.id.clone()).or_default();
        for other in neighbours(member, members) {
            links
                .entry(member.id.clone())
                .or_default()
                .insert(other.id.clone());
            links
                .entry(other.id.clone())
                .or_default()
                .insert(member.id.clone());
        }
    }
    links
}

/// Returns the distance to the farthest reachable node in hops, and the number of reachable nodes.
fn reach(links: &Links, from: &Name) -> (usize, usize) {
    let (mut reached, mut frontier, mut hops) = (BTreeSet::from([from]), vec![from], 0);
    loop {
        let next: BTreeSet<&Name> = frontier
            .iter()
            .flat_map(|id| &links[*id])
            .filter(|id| !reached.contains(id))
            .collect();
        if next.is_empty() {
            return (hops, reached.len());
        }
        hops += 1;
        reached.extend(&next);
        frontier = next.into_iter().collect();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_region_stays_connected_whichever_nodes_are_dead(
        count in 2..80_usize,
        dead in prop::collection::btree_set(0..80_usize, 0..40),
    ) {
        let mut members = fleet(count, 1);
        for index in dead {
            if let Some(member) = members.get_mut(index) {
                member.state = State::Dead;
            }
        }
        let is_alive = |member: &&Member| member.state == State::Alive;
        let alive = members.iter().filter(is_alive).count();
        if let Some(start) = members.iter().find(is_alive) {
            let (mut ring_length, mut current) = (0, start);
            while let Some(next) = neighbours(current, &members).first() {
                prop_assert_eq!(next.state, State::Alive);
                (ring_length, current) = (ring_length + 1, *next);
                if current.id == start.id || ring_length > alive {
                    break;
                }
            }
            prop_assert!(ring_length == alive || alive == 1, "{ring_length} of {alive} nodes");
        }
        let links = links(&members);
        for from in links.keys() {
            prop_assert_eq!(reach(&links, from).1, links.len());
        }
    }

    #[test]
    fn transfers_stay_within_the_rate_limit(waits in prop::collection::vec(0..400_u64, 1..200)) {
        let (mut limiter, mut now, mut admitted) = (TransferLimiter::default(), Moment(0), 0);
        for wait in waits {
            now = now.after(Millis(wait));
            match limiter.admit(now) {
                Ok(()) => admitted += 1,
                Err(retry_after) => {
                    prop_assert!(limiter.clone().admit(now.after(retry_after)).is_ok());
                }
            }
            prop_assert!(admitted <= 9 + now.since(Moment(0)).0 / 250);
        }
    }
}

#[test]
fn a_node_opens_few_connections_and_paths_stay_short_with_630_nodes() {
    let members = fleet(630, 2);
    let links = links(&members);
    for member in &members {
        assert_eq!(
            neighbours(member, &members).len(),
            RENDEZVOUS_NEIGHBOURS + 1
        );
    }
    let most = links.values().map(BTreeSet::len).max().unwrap();
    let (hops, reached) = reach(&links, &members[0].id);
    assert_eq!(reached, 315);
    assert!(hops <= 8 && most <= 16, "{hops} hops, {most} connections");
}

#[test]
fn a_node_that_dies_moves_few_connections() {
    let members = fleet(200, 1);
    let before = links(&members);
    let mut after = members.clone();
    after[7].state = State::Dead;
    let after = links(&after);
    let count = |links: &Links| links.values().map(BTreeSet::len).sum::<usize>();
    let kept: usize = after
        .iter()
        .map(|(id, others)| others.intersection(&before[id]).count())
        .sum();
    let lost = count(&before) - kept;
    assert!(
        lost <= 4 * before[&members[7].id].len(),
        "{lost} of {}",
        count(&before)
    );
}

#[test]
fn bridges_and_publisher_candidates_are_alive_and_of_the_right_region() {
    let mut members = fleet(40, 2);
    let (own_region, other_region) = (name("region-0"), name("region-1"));
    let first = bridges(&own_region, &other_region, &members)[0].id.clone();
    let publisher = publisher_candidates(&other_region, 3, &members)[0]
        .id
        .clone();
    for member in &mut members {
        if member.id == first || member.id == publisher {
            member.state = State::Dead;
        }
    }
    let chosen = bridges(&own_region, &other_region, &members);
    assert!(
        chosen.len() >= BRIDGES_PER_REGION
            && chosen
                .iter()
                .all(|member| member.place.region == own_region)
    );
    assert!(chosen.iter().all(|member| member.id != first));
    let chosen = publisher_candidates(&other_region, 3, &members);
    assert_eq!(chosen.len(), 3);
    assert!(
        chosen
            .iter()
            .all(|member| member.place.region == other_region && member.id != publisher)
    );
    members.retain(|member| member.place.region == own_region);
    assert_eq!(
        publisher_candidates(&other_region, 3, &members).len(),
        3,
        "the store's region is empty"
    );
}

#[test]
fn in_a_large_region_a_few_nodes_read_the_store_those_with_wide_links_first() {
    let mut members = fleet(90, 3);
    for wide in members.iter_mut().step_by(9) {
        wide.link = 140;
    }
    let readers: Vec<&Member> = members
        .iter()
        .filter(|member| should_follow_store(member, &members))
        .collect();
    assert_eq!(readers.len(), 3 * STORE_READERS_PER_REGION);
    let readers_in = |region: &str| {
        let is_in_region = |member: &&&Member| member.place.region.as_str() == region;
        readers.iter().filter(is_in_region).count()
    };
    assert_eq!(readers_in("region-0"), STORE_READERS_PER_REGION);
    let wide = members.iter().filter(|member| member.link > 0).count();
    let chosen = readers.iter().filter(|member| member.link > 0).count();
    assert_eq!(
        chosen,
        wide.min(STORE_READERS_PER_REGION),
        "all nodes with high-bandwidth links are in one region"
    );
}

#[test]
fn in_a_small_region_all_nodes_follow_the_store_and_a_dead_one_is_replaced() {
    let small = fleet(3 * MAX_NODES_ALL_READ, 3);
    assert!(
        small
            .iter()
            .all(|member| should_follow_store(member, &small))
    );
    let mut large = fleet(30, 1);
    let is_reader = |member: &&Member| should_follow_store(member, &large);
    let first = large.iter().find(is_reader).unwrap().id.clone();
    for member in large.iter_mut().filter(|member| member.id == first) {
        member.state = State::Dead;
    }
    let alive = large.iter().filter(|member| member.state == State::Alive);
    let readers = alive
        .filter(|member| should_follow_store(member, &large))
        .count();
    assert_eq!(readers, STORE_READERS_PER_REGION);
}
