//! Nodes that die, freeze and return, regions that lose each other, herds that restart.

mod support;

use std::net::SocketAddr;

use crank_engine::overlay::bridges;
use crank_mesh::{Step, StoreHead};
use crank_protocol::member::{Endpoint, Member, Stage, State};
use support::{Node, fleet, knows, launch, name, settings, snapshot, until, version};

fn state(node: &Node, id: &str) -> Option<State> {
    let view = node.mesh.view().borrow().clone();
    view.get(&name(id)).map(|member| member.state)
}

fn draining() -> Endpoint {
    Endpoint {
        service: name("recipes"),
        stage: Stage::Draining,
        slots: 6,
    }
}

fn addresses(nodes: &[Node]) -> Vec<SocketAddr> {
    nodes.iter().map(|node| node.mesh.address()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_node_is_dead_to_the_others_and_returns_to_the_latest_version() {
    let nodes = fleet(6, 1).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 6))).await;
    nodes[0].mesh.apply_snapshot(snapshot(1)).await.unwrap();
    until("version 1", || {
        nodes.iter().all(|node| version(node) == Some(1))
    })
    .await;

    let (frozen, others) = nodes.split_last().unwrap();
    frozen.blocked.set(addresses(others));
    let id = frozen.settings.id.as_str();
    let all_say = |wanted| others.iter().all(|node| state(node, id) == Some(wanted));
    until("dead everywhere", || all_say(State::Dead)).await;
    nodes[0].mesh.apply_snapshot(snapshot(2)).await.unwrap();
    until("version 2", || {
        others.iter().all(|node| version(node) == Some(2))
    })
    .await;
    assert_eq!(version(frozen), Some(1));

    frozen.blocked.set([]);
    until("alive everywhere", || all_say(State::Alive)).await;
    until("caught up", || version(frozen) == Some(2)).await;
    assert_eq!(
        frozen.mesh.apply_snapshot(snapshot(1)).await.unwrap(),
        Step::Old
    );
    assert_eq!(version(frozen), Some(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_node_takes_over_its_name_at_another_address() {
    let mut nodes = fleet(6, 2).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 6))).await;
    let killed = nodes.pop().unwrap();
    let old = killed.mesh.address();
    drop(killed);
    let seeds = addresses(&nodes[..2]);
    let restarted = launch(settings(5, 2, seeds)).await;
    let new = restarted.mesh.address();
    assert_ne!(old, new);
    nodes.push(restarted);
    let taken_over = || {
        nodes.iter().all(|node| {
            let view = node.mesh.view().borrow().clone();
            let member = view.get(&name("node-005")).cloned();
            member.is_some_and(|member| member.address == new && member.state == State::Alive)
        })
    };
    until("the new address everywhere", taken_over).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_node_is_gone_everywhere() {
    let mut nodes = fleet(6, 2).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 6))).await;
    nodes.pop().unwrap().mesh.leave().await;
    let left = || {
        let says = |node: &Node| state(node, "node-005") == Some(State::Left);
        nodes.iter().all(says)
    };
    until("left everywhere", left).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regions_that_lose_each_other_forget_nobody_and_heal() {
    let nodes = fleet(12, 2).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 12))).await;
    nodes[0].mesh.apply_snapshot(snapshot(1)).await.unwrap();
    until("version 1", || {
        nodes.iter().all(|node| version(node) == Some(1))
    })
    .await;

    let (even, odd): (Vec<_>, Vec<_>) = nodes.iter().enumerate().partition(|(i, _)| i % 2 == 0);
    for (mine, theirs) in [(&even, &odd), (&odd, &even)] {
        for (_, node) in mine.iter() {
            node.blocked
                .set(theirs.iter().map(|(_, other)| other.mesh.address()));
        }
    }
    for (_, node) in &even {
        node.mesh.announce_endpoint(Some(draining())).await.unwrap();
    }
    until("unreachable", || nodes.iter().all(|node| knows(node, 6))).await;
    nodes[0].mesh.apply_snapshot(snapshot(2)).await.unwrap();
    until("version 2 here", || {
        even.iter().all(|(_, node)| version(node) == Some(2))
    })
    .await;
    for node in &nodes {
        let view = node.mesh.view().borrow().clone();
        assert!(view.members().all(|member| member.state == State::Alive));
    }
    assert!(odd.iter().all(|(_, node)| version(node) == Some(1)));

    nodes.iter().for_each(|node| node.blocked.set([]));
    until("version 2", || {
        nodes.iter().all(|node| version(node) == Some(2))
    })
    .await;
    until("reachable", || nodes.iter().all(|node| knows(node, 12))).await;
    let told = || {
        odd.iter().all(|(_, node)| {
            let view = node.mesh.view().borrow().clone();
            let draining = |member: &&Member| member.endpoint == Some(draining());
            view.members().filter(draining).count() == 6
        })
    };
    until("what was announced meanwhile", told).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_centres_that_declared_each_other_dead_find_each_other_again() {
    let nodes = fleet(8, 1).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 8))).await;
    // Seeds would heal the cut too; without them the dead must be asked.
    for node in &nodes {
        node.mesh.set_seeds(Vec::new()).await.unwrap();
    }
    let (even, odd): (Vec<_>, Vec<_>) = nodes.iter().enumerate().partition(|(i, _)| i % 2 == 0);
    for (mine, theirs) in [(&even, &odd), (&odd, &even)] {
        for (_, node) in mine.iter() {
            node.blocked
                .set(theirs.iter().map(|(_, other)| other.mesh.address()));
        }
    }
    until("dead", || nodes.iter().all(|node| knows(node, 4))).await;
    nodes.iter().for_each(|node| node.blocked.set([]));
    until("alive", || nodes.iter().all(|node| knows(node, 8))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_herd_that_restarts_without_the_store_is_ready_only_with_the_latest_version() {
    let mut nodes = fleet(16, 1).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 16))).await;
    nodes[0].mesh.apply_snapshot(snapshot(3)).await.unwrap();
    for node in &nodes {
        node.mesh
            .report_head(StoreHead::Accepted(snapshot(3).stamp))
            .await
            .unwrap();
    }
    let is_ready = |node: &Node| *node.mesh.ready().borrow();
    until("ready", || nodes.iter().all(is_ready)).await;

    // Odd nodes stand in the second data centre.
    let seeds = addresses(&nodes[..1]);
    let mut herd = Vec::new();
    for index in (0..8).map(|index| 15 - 2 * index) {
        drop(nodes.remove(index));
        herd.push(index);
    }
    let mut restarted = Vec::new();
    for index in herd {
        let node = launch(settings(index, 1, seeds.clone())).await;
        node.mesh.report_head(StoreHead::Unavailable).await.unwrap();
        restarted.push(node);
    }
    for node in &restarted {
        until("ready again", || is_ready(node)).await;
        assert_eq!(version(node), Some(3));
    }
    nodes.append(&mut restarted);
    until("full tables", || nodes.iter().all(|node| knows(node, 16))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_without_store_and_versions_is_not_ready() {
    let nodes = fleet(4, 1).await;
    for node in &nodes {
        node.mesh.report_head(StoreHead::Unavailable).await.unwrap();
    }
    until("full tables", || nodes.iter().all(|node| knows(node, 4))).await;
    nodes[0].mesh.query_nodes().await.unwrap();
    assert!(nodes.iter().all(|node| !*node.mesh.ready().borrow()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_crosses_regions_while_the_first_bridge_is_frozen() {
    let nodes = fleet(12, 2).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 12))).await;
    nodes[0].mesh.apply_snapshot(snapshot(1)).await.unwrap();
    until("version 1", || {
        nodes.iter().all(|node| version(node) == Some(1))
    })
    .await;
    let view = nodes[0].mesh.view().borrow().clone();
    let (here, there) = (name("region-0"), name("region-1"));
    let first = &bridges(&here, &there, view.members())[0].id;
    let frozen = |node: &&Node| node.settings.id == *first;
    let frozen = nodes.iter().find(frozen).unwrap();
    let rest: Vec<&Node> = nodes
        .iter()
        .filter(|node| node.settings.id != *first)
        .collect();
    frozen
        .blocked
        .set(rest.iter().map(|node| node.mesh.address()));
    let publisher = rest.iter().find(|node| node.settings.place.region == here);
    publisher
        .unwrap()
        .mesh
        .apply_snapshot(snapshot(2))
        .await
        .unwrap();
    until("version 2", || {
        rest.iter().all(|node| version(node) == Some(2))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_goes_round_a_cut_between_two_of_three_regions() {
    let nodes = fleet(12, 3).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 12))).await;
    let of = |region: usize| nodes.iter().skip(region).step_by(3);
    for (here, there) in [(0, 2), (2, 0)] {
        for node in of(here) {
            node.blocked
                .set(of(there).map(|other| other.mesh.address()));
        }
    }
    for number in 1..=2 {
        nodes[0]
            .mesh
            .apply_snapshot(snapshot(number))
            .await
            .unwrap();
        until("the version everywhere", || {
            nodes.iter().all(|node| version(node) == Some(number))
        })
        .await;
    }
}
