//! Tests of failures: nodes that die, freeze and return, partitions between regions, and many nodes
//! that restart at once.

mod support;

use std::net::SocketAddr;

use crank_engine::overlay::bridges;
use crank_mesh::{Step, StoreHead};
use crank_protocol::member::{Endpoint, Member, Stage, State};
use support::{
    Node, config_version, name, sees_reachable_members, settings, snapshot, start_fleet,
    start_node, wait_until,
};

fn state(node: &Node, id: &str) -> Option<State> {
    let view = node.mesh.view().borrow().clone();
    view.get(&name(id)).map(|member| member.state)
}

fn draining() -> Endpoint {
    Endpoint {
        service: name("recipes"),
        stage: Stage::Draining,
        slots: 6,
        release: None,
    }
}

fn addresses(nodes: &[Node]) -> Vec<SocketAddr> {
    nodes.iter().map(|node| node.mesh.address()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_node_is_dead_to_the_others_and_returns_to_the_latest_version() {
    let nodes = start_fleet(6, 1).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 6))
    })
    .await;
    nodes[0].mesh.apply_snapshot(snapshot(1)).await.unwrap();
    wait_until("version 1", || {
        nodes.iter().all(|node| config_version(node) == Some(1))
    })
    .await;

    let (frozen, others) = nodes.split_last().unwrap();
    frozen.blocked.set(addresses(others));
    let id = frozen.settings.id.as_str();
    let all_see = |expected| others.iter().all(|node| state(node, id) == Some(expected));
    wait_until("dead on every node", || all_see(State::Dead)).await;
    nodes[0].mesh.apply_snapshot(snapshot(2)).await.unwrap();
    wait_until("version 2", || {
        others.iter().all(|node| config_version(node) == Some(2))
    })
    .await;
    assert_eq!(config_version(frozen), Some(1));

    frozen.blocked.set([]);
    wait_until("alive on every node", || all_see(State::Alive)).await;
    wait_until("caught up", || config_version(frozen) == Some(2)).await;
    assert_eq!(
        frozen.mesh.apply_snapshot(snapshot(1)).await.unwrap(),
        Step::Old
    );
    assert_eq!(config_version(frozen), Some(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_node_keeps_its_name_at_a_new_address() {
    let mut nodes = start_fleet(6, 2).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 6))
    })
    .await;
    let stopped_node = nodes.pop().unwrap();
    let old = stopped_node.mesh.address();
    drop(stopped_node);
    let seeds = addresses(&nodes[..2]);
    let restarted = start_node(settings(5, 2, seeds)).await;
    let new = restarted.mesh.address();
    assert_ne!(old, new);
    nodes.push(restarted);
    let has_new_address = || {
        nodes.iter().all(|node| {
            let view = node.mesh.view().borrow().clone();
            let member = view.get(&name("node-005")).cloned();
            member.is_some_and(|member| member.address == new && member.state == State::Alive)
        })
    };
    wait_until("the new address on every node", has_new_address).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_node_is_marked_as_left_on_every_node() {
    let mut nodes = start_fleet(6, 2).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 6))
    })
    .await;
    nodes.pop().unwrap().mesh.leave().await;
    let left = || {
        let has_left = |node: &Node| state(node, "node-005") == Some(State::Left);
        nodes.iter().all(has_left)
    };
    wait_until("left on every node", left).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regions_that_lose_each_other_forget_nobody_and_heal() {
    let nodes = start_fleet(12, 2).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 12))
    })
    .await;
    nodes[0].mesh.apply_snapshot(snapshot(1)).await.unwrap();
    wait_until("version 1", || {
        nodes.iter().all(|node| config_version(node) == Some(1))
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
    wait_until("unreachable", || {
        nodes.iter().all(|node| sees_reachable_members(node, 6))
    })
    .await;
    nodes[0].mesh.apply_snapshot(snapshot(2)).await.unwrap();
    wait_until("version 2 in the first region", || {
        even.iter().all(|(_, node)| config_version(node) == Some(2))
    })
    .await;
    for node in &nodes {
        let view = node.mesh.view().borrow().clone();
        assert!(view.members().all(|member| member.state == State::Alive));
    }
    assert!(odd.iter().all(|(_, node)| config_version(node) == Some(1)));

    nodes.iter().for_each(|node| node.blocked.set([]));
    wait_until("version 2", || {
        nodes.iter().all(|node| config_version(node) == Some(2))
    })
    .await;
    wait_until("reachable", || {
        nodes.iter().all(|node| sees_reachable_members(node, 12))
    })
    .await;
    let is_announced = || {
        odd.iter().all(|(_, node)| {
            let view = node.mesh.view().borrow().clone();
            let draining = |member: &&Member| member.endpoint == Some(draining());
            view.members().filter(draining).count() == 6
        })
    };
    wait_until("the endpoints announced during the partition", is_announced).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_centres_that_declared_each_other_dead_reconnect() {
    let nodes = start_fleet(8, 1).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 8))
    })
    .await;
    // Seeds would also end the partition. Without them, nodes must probe the members they consider
    // dead.
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
    wait_until("dead", || {
        nodes.iter().all(|node| sees_reachable_members(node, 4))
    })
    .await;
    nodes.iter().for_each(|node| node.blocked.set([]));
    wait_until("alive", || {
        nodes.iter().all(|node| sees_reachable_members(node, 8))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_restarted_together_without_the_store_become_ready_with_the_latest_version() {
    let mut nodes = start_fleet(16, 1).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 16))
    })
    .await;
    nodes[0].mesh.apply_snapshot(snapshot(3)).await.unwrap();
    for node in &nodes {
        node.mesh
            .report_head(StoreHead::Accepted(snapshot(3).stamp))
            .await
            .unwrap();
    }
    let is_ready = |node: &Node| *node.mesh.ready().borrow();
    wait_until("ready", || nodes.iter().all(is_ready)).await;

    // Restarts the odd nodes, which are those of the second data centre.
    let seeds = addresses(&nodes[..1]);
    let mut stopped = Vec::new();
    for index in (0..8).map(|index| 15 - 2 * index) {
        drop(nodes.remove(index));
        stopped.push(index);
    }
    let mut restarted = Vec::new();
    for index in stopped {
        let node = start_node(settings(index, 1, seeds.clone())).await;
        node.mesh.report_head(StoreHead::Unavailable).await.unwrap();
        restarted.push(node);
    }
    for node in &restarted {
        wait_until("ready again", || is_ready(node)).await;
        assert_eq!(config_version(node), Some(3));
    }
    nodes.append(&mut restarted);
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 16))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_without_the_store_and_without_a_version_is_not_ready() {
    let nodes = start_fleet(4, 1).await;
    for node in &nodes {
        node.mesh.report_head(StoreHead::Unavailable).await.unwrap();
    }
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 4))
    })
    .await;
    nodes[0].mesh.query_nodes().await.unwrap();
    assert!(nodes.iter().all(|node| !*node.mesh.ready().borrow()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_crosses_regions_while_the_active_bridge_is_frozen() {
    let nodes = start_fleet(12, 2).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 12))
    })
    .await;
    nodes[0].mesh.apply_snapshot(snapshot(1)).await.unwrap();
    wait_until("version 1", || {
        nodes.iter().all(|node| config_version(node) == Some(1))
    })
    .await;
    let view = nodes[0].mesh.view().borrow().clone();
    let (here, there) = (name("region-0"), name("region-1"));
    let active = &bridges(&here, &there, view.members())[0].id;
    let frozen = |node: &&Node| node.settings.id == *active;
    let frozen = nodes.iter().find(frozen).unwrap();
    let rest: Vec<&Node> = nodes
        .iter()
        .filter(|node| node.settings.id != *active)
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
    wait_until("version 2", || {
        rest.iter().all(|node| config_version(node) == Some(2))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_routed_around_a_partition_between_two_of_three_regions() {
    let nodes = start_fleet(12, 3).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 12))
    })
    .await;
    let nodes_of = |region: usize| nodes.iter().skip(region).step_by(3);
    for (here, there) in [(0, 2), (2, 0)] {
        for node in nodes_of(here) {
            node.blocked
                .set(nodes_of(there).map(|other| other.mesh.address()));
        }
    }
    for number in 1..=2 {
        nodes[0]
            .mesh
            .apply_snapshot(snapshot(number))
            .await
            .unwrap();
        wait_until("the version on every node", || {
            nodes
                .iter()
                .all(|node| config_version(node) == Some(number))
        })
        .await;
    }
}
