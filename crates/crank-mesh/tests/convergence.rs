//! Tests that the nodes of a fleet discover each other and that changes reach every node.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use crank_mesh::{Step, StoreHead};
use crank_protocol::member::{Endpoint, Stage};
use crank_protocol::status::NodeReport;
use support::{config_version, name, sees_reachable_members, snapshot, start_fleet, wait_until};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_version_reaches_every_node_of_two_regions() {
    let nodes = start_fleet(24, 2).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 24))
    })
    .await;
    for number in 1..=3 {
        let step = nodes[5]
            .mesh
            .apply_snapshot(snapshot(number))
            .await
            .unwrap();
        assert_eq!(step, Step::Applied);
        let in_force = || {
            nodes
                .iter()
                .all(|node| config_version(node) == Some(number))
        };
        wait_until("the version on every node", in_force).await;
    }
    let head = StoreHead::Accepted(snapshot(3).stamp);
    nodes[7].mesh.report_head(head).await.unwrap();
    let ready = nodes[7].mesh.ready();
    wait_until("ready", || *ready.borrow()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stage_reaches_every_node_and_every_node_answers() {
    let nodes = start_fleet(12, 2).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 12))
    })
    .await;
    for stage in [Stage::Ready, Stage::Draining, Stage::Gone] {
        let endpoint = Endpoint {
            service: name("recipes"),
            stage,
            slots: 6,
            release: None,
        };
        let announced = Some(endpoint);
        nodes[0]
            .mesh
            .announce_endpoint(announced.clone())
            .await
            .unwrap();
        let id = &nodes[0].settings.id;
        let is_announced = || {
            nodes.iter().all(|node| {
                let view = node.mesh.view().borrow().clone();
                view.get(id)
                    .is_some_and(|member| member.endpoint == announced)
            })
        };
        wait_until("the stage on every node", is_announced).await;
    }
    let answers = nodes[3].mesh.query_nodes().await.unwrap();
    let answered = answers
        .iter()
        .filter(|answer| matches!(answer, NodeReport::Node(_)));
    assert_eq!(answered.count(), 12);
}
