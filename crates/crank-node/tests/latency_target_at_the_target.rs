//! A request queues at its target only while it can still meet its latency target.

mod common;

use bytes::Bytes;
use common::{FakeServer, head, target_node, wait_until};
use crank_platform_client::Memory;
use crank_protocol::Millis;
use crank_protocol::call::{Outcome, Refusal};

#[tokio::test]
async fn a_request_that_cannot_meet_its_latency_target_is_refused_at_once() {
    let server = FakeServer::blocked();
    let node = target_node("lookups", Memory::new(), server.clone());
    let mut running = Vec::new();
    for request in 1..=2 {
        let target = node.target.clone();
        let run = async move {
            target
                .run(head("lookups", request, None), Bytes::new())
                .await
        };
        running.push(tokio::spawn(run));
    }
    wait_until(|| server.runs() == 2).await;
    let mut late = head("lookups", 3, None);
    late.latency_target = Some(Millis(0));
    let refused = node.target.run(late, Bytes::new()).await.err().unwrap();
    assert!(matches!(refused.refusal, Refusal::Overloaded { .. }));
    assert_eq!((refused.outcome, refused.reached), (Outcome::NotRun, false));
    server.answers.add_permits(2);
    for run in running {
        assert!(run.await.unwrap().is_ok());
    }
    assert_eq!(server.runs(), 2);
}

#[tokio::test]
async fn a_request_that_may_not_queue_is_refused_when_no_slot_is_free() {
    let server = FakeServer::blocked();
    let node = target_node("lookups", Memory::new(), server.clone());
    let mut running = Vec::new();
    for request in 1..=2 {
        let target = node.target.clone();
        let mut head = head("lookups", request, None);
        head.may_queue = false;
        running.push(tokio::spawn(
            async move { target.run(head, Bytes::new()).await },
        ));
    }
    wait_until(|| server.runs() == 2).await;
    let mut third = head("lookups", 3, None);
    third.may_queue = false;
    let refused = node.target.run(third, Bytes::new()).await.err().unwrap();
    assert!(matches!(refused.refusal, Refusal::Overloaded { .. }));
    assert_eq!((refused.outcome, refused.reached), (Outcome::NotRun, false));
    let load = refused.load.unwrap();
    assert_eq!((load.running, load.waiting), (2, 0));
    server.answers.add_permits(2);
    for run in running {
        assert!(run.await.unwrap().is_ok());
    }
}

#[tokio::test]
async fn a_short_request_queues_behind_long_ones_if_its_run_time_allows() {
    let server = FakeServer::blocked();
    let node = target_node("lookups", Memory::new(), server.clone());
    let run = |request| {
        let target = node.target.clone();
        let head = head("lookups", request, None);
        tokio::spawn(async move { target.run(head, Bytes::new()).await })
    };
    let long = [run(1), run(2)];
    wait_until(|| server.runs() == 2).await;
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    server.answers.add_permits(2);
    for run in long {
        assert!(run.await.unwrap().is_ok());
    }
    let others = [run(3), run(4)];
    wait_until(|| server.runs() == 4).await;
    // The first requests ran for 300 ms, so by the mean run time alone no queued request can
    // finish within 200 ms.
    let mut short = head("lookups", 5, None);
    short.latency_target = Some(Millis(2_000));
    short.expected_run_time = Some(Millis(10));
    let target = node.target.clone();
    let queued = tokio::spawn(async move { target.run(short, Bytes::new()).await });
    wait_until(|| node.target.load().waiting == 1).await;
    let mut unknown = head("lookups", 6, None);
    unknown.latency_target = Some(Millis(200));
    let refused = node.target.run(unknown, Bytes::new()).await.err().unwrap();
    assert!(matches!(refused.refusal, Refusal::Overloaded { .. }));
    server.answers.add_permits(4);
    assert!(queued.await.unwrap().is_ok());
    for run in others {
        assert!(run.await.unwrap().is_ok());
    }
}
