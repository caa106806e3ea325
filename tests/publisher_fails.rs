//! Whatever becomes of the publisher and the store, each accepted version is in force once.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use std::time::Duration;

use common::Mesh;
use crank_load::fleet::Signal;
use crank_protocol::status::HistoryEntry;

const LEASE: Duration = Duration::from_secs(3);

/// Each version once, without a gap, newest first.
fn assert_one_line(history: &[HistoryEntry]) {
    let versions: Vec<u64> = history.iter().map(|entry| entry.stamp.version.0).collect();
    let highest = versions[0];
    let expected: Vec<u64> = (1..=highest).rev().collect();
    assert_eq!(versions, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_publisher_blocks_nobody_and_never_moves_back() {
    let mesh = Mesh::start(6, 2, 3).await;
    let start = mesh.version(0).await;
    mesh.edit(1).await;
    mesh.holds(&[0, 1, 2, 3, 4, 5], start + 1).await;
    let frozen = mesh.publisher(0).await;
    let others: Vec<usize> = (0..6).filter(|index| *index != frozen).collect();

    mesh.fleet.nodes[frozen]
        .node
        .signal(Signal::Freeze)
        .unwrap();
    mesh.edit(2).await;
    mesh.holds(&others, start + 2).await;
    mesh.fleet.nodes[frozen].node.signal(Signal::Wake).unwrap();

    let mut highest = 0;
    let watch = tokio::time::Instant::now() + LEASE * 2;
    while tokio::time::Instant::now() < watch || highest < start + 2 {
        let version = mesh.version(frozen).await;
        assert!(version >= highest, "moved back from {highest} to {version}");
        highest = version;
    }
    assert_one_line(&mesh.history(others[0]).await);
    mesh.edit(3).await;
    mesh.holds(&[0, 1, 2, 3, 4, 5], start + 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_the_last_version_stays_and_requests_go_on() {
    let mut mesh = Mesh::start(6, 2, 3).await;
    let start = mesh.version(0).await;
    mesh.edit(1).await;
    mesh.holds(&[0, 1, 2, 3, 4, 5], start + 1).await;
    mesh.platform(r#"{"down": true}"#).await;

    for index in 0..6 {
        let answer = mesh.get(index, "/recipes/apricot").await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    let refused = mesh.release(0, "down", 2_000).await;
    assert_eq!(common::header(&refused, "crank-outcome"), "not-run");
    assert_eq!(common::header(&refused, "crank-refusal"), "store_down");

    mesh.fleet.restart(4).await.unwrap();
    mesh.holds(&[4], start + 1).await;
    mesh.roster().ready(common::PATIENCE).await.unwrap();
    assert_eq!(mesh.keys().await.get("down"), None, "not run means not run");

    mesh.platform(r#"{"down": false}"#).await;
    mesh.edit(2).await;
    mesh.holds(&[0, 1, 2, 3, 4, 5], start + 2).await;
    assert_one_line(&mesh.history(0).await);
}
