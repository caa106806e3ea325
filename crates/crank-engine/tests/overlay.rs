//! Neighbours and bridges: a region stays connected, costs the same at any size, and moves little.
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

/// Connections in either direction.
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

/// How many steps the farthest node is away, and how many nodes are reached at all.
fn flood(links: &Links, from: &Name) -> (usize, usize) {
    let (mut reached, mut edge, mut steps) = (BTreeSet::from([from]), vec![from], 0);
    loop {
        let next: BTreeSet<&Name> = edge
            .iter()
            .flat_map(|id| &links[*id])
            .filter(|id| !reached.contains(id))
            .collect();
        if next.is_empty() {
            return (steps, reached.len());
        }
        steps += 1;
        reached.extend(&next);
        edge = next.into_iter().collect();
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
    fn a_region_stays_connected_whoever_is_dead(
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
            let (mut ring, mut at) = (0, start);
            while let Some(next) = neighbours(at, &members).first() {
                prop_assert_eq!(next.state, State::Alive);
                (ring, at) = (ring + 1, *next);
                if at.id == start.id || ring > alive {
                    break;
                }
            }
            prop_assert!(ring == alive || alive == 1, "the ring closes after {ring} of {alive}");
        }
        let links = links(&members);
        for from in links.keys() {
            prop_assert_eq!(flood(&links, from).1, links.len());
        }
    }

    #[test]
    fn transfers_stay_within_their_rate(waits in prop::collection::vec(0..400_u64, 1..200)) {
        let (mut gate, mut now, mut admitted) = (TransferLimiter::default(), Moment(0), 0);
        for wait in waits {
            now = now.after(Millis(wait));
            match gate.admit(now) {
                Ok(()) => admitted += 1,
                Err(retry_after) => {
                    prop_assert!(gate.clone().admit(now.after(retry_after)).is_ok());
                }
            }
            prop_assert!(admitted <= 9 + now.since(Moment(0)).0 / 250);
        }
    }
}

#[test]
fn a_node_opens_few_connections_and_the_farthest_is_near_at_the_letters_size() {
    let members = fleet(630, 2);
    let links = links(&members);
    for member in &members {
        assert_eq!(
            neighbours(member, &members).len(),
            RENDEZVOUS_NEIGHBOURS + 1
        );
    }
    let most = links.values().map(BTreeSet::len).max().unwrap();
    let (steps, reached) = flood(&links, &members[0].id);
    assert_eq!(reached, 315);
    assert!(
        steps <= 8 && most <= 16,
        "{steps} steps, {most} connections"
    );
}

#[test]
fn a_node_that_goes_moves_few_connections() {
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
fn bridges_and_publishers_are_few_alive_and_of_the_right_region() {
    let mut members = fleet(40, 2);
    let (here, there) = (name("region-0"), name("region-1"));
    let first = bridges(&here, &there, &members)[0].id.clone();
    let publisher = publisher_candidates(&there, 3, &members)[0].id.clone();
    for member in &mut members {
        if member.id == first || member.id == publisher {
            member.state = State::Dead;
        }
    }
    let chosen = bridges(&here, &there, &members);
    assert!(
        chosen.len() >= BRIDGES_PER_REGION
            && chosen.iter().all(|member| member.place.region == here)
    );
    assert!(chosen.iter().all(|member| member.id != first));
    let chosen = publisher_candidates(&there, 3, &members);
    assert_eq!(chosen.len(), 3);
    assert!(
        chosen
            .iter()
            .all(|member| member.place.region == there && member.id != publisher)
    );
    members.retain(|member| member.place.region == here);
    assert_eq!(
        publisher_candidates(&there, 3, &members).len(),
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
    let region = |wanted: &str| {
        let there = |member: &&&Member| member.place.region.as_str() == wanted;
        readers.iter().filter(there).count()
    };
    assert_eq!(region("region-0"), STORE_READERS_PER_REGION);
    let wide = members.iter().filter(|member| member.link > 0).count();
    let chosen = readers.iter().filter(|member| member.link > 0).count();
    assert_eq!(
        chosen,
        wide.min(STORE_READERS_PER_REGION),
        "all wide links stand in one region"
    );
}

#[test]
fn in_a_small_region_every_node_reads_the_store_and_a_dead_reader_is_replaced() {
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
    let living = large.iter().filter(|member| member.state == State::Alive);
    let readers = living
        .filter(|member| should_follow_store(member, &large))
        .count();
    assert_eq!(readers, STORE_READERS_PER_REGION);
}
