//! Admission at the target's node, and its behaviour while the node or the backend server drains.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    FakeServer, LONG_TIMEOUT, announcement, body_text, head, name, target_node, wait_until,
};
use crank_engine::account::KeyDigest;
use crank_engine::drain::{DrainProgress, INTERNAL_CALL_GRACE};
use crank_platform_client::Memory;
use crank_protocol::Millis;
use crank_protocol::call::{Outcome, Refusal, RequestHead};
use crank_protocol::config::{ClientAccount, Snapshot, Version};
use crank_protocol::member::Stage;

#[tokio::test]
async fn what_is_refused_as_not_run_never_reaches_the_backend_server() {
    let server = FakeServer::blocked();
    let node = target_node("orders", Memory::new(), server.clone());
    let mut tasks = Vec::new();
    for request in 0..20 {
        let target = node.target.clone();
        let head = head("orders", request, None);
        tasks.push(tokio::spawn(async move {
            (request, target.run(head, "12 t".into()).await.err())
        }));
    }
    wait_until(|| server.runs() == 2 && node.target.load().waiting == 2).await;
    server.answers.add_permits(20);
    let mut refused = 0;
    for task in tasks {
        let (request, error) = task.await.unwrap();
        if let Some(error) = error {
            assert_eq!(error.outcome, Outcome::NotRun);
            assert!(!server.runs.lock().contains_key(&request));
            refused += 1;
        }
    }
    assert_eq!(refused, 16);
}

#[tokio::test]
async fn a_drain_of_the_node_cuts_nothing_in_flight_and_takes_nothing_new() {
    let server = FakeServer::blocked();
    let node = target_node("orders", Memory::new(), server.clone());
    let mut tasks = Vec::new();
    for request in 0..4 {
        let target = node.target.clone();
        let head = head("orders", request, None);
        tasks.push(tokio::spawn(async move {
            body_text(target.run(head, "12 t".into()).await.ok().unwrap()).await
        }));
    }
    wait_until(|| server.runs() == 2 && node.target.load().waiting == 2).await;
    node.target.start_drain(Millis(0));
    let new = node.target.run(head("orders", 9, None), "".into()).await;
    assert_eq!(new.err().unwrap().refusal, Refusal::Leaving);
    let progress = node.target.progress();
    assert!(matches!(
        progress,
        DrainProgress::Overdue { in_flight: 4, .. }
    ));
    server.answers.add_permits(4);
    for task in tasks {
        assert_eq!(task.await.unwrap().unwrap(), "confirmed");
    }
    assert_eq!(node.target.progress(), DrainProgress::Drained);
    assert!(!server.runs.lock().contains_key(&9));
}

#[tokio::test]
async fn an_internal_call_is_still_accepted_shortly_after_a_drain_starts() {
    let server = FakeServer::new();
    let node = target_node("orders", Memory::new(), server.clone());
    let started_at = Instant::now();
    node.target.start_drain(LONG_TIMEOUT);
    let caller = node.target.run(head("orders", 1, None), "".into()).await;
    assert_eq!(caller.err().unwrap().refusal, Refusal::Leaving);
    let mut internal = head("orders", 2, None);
    internal.depth = 1;
    let result = node.target.run(internal, "".into()).await;
    let is_within_grace = started_at.elapsed() < Duration::from(INTERNAL_CALL_GRACE);
    assert!(result.is_ok() || !is_within_grace);
}

#[tokio::test]
async fn a_drain_of_the_backend_server_gives_it_none_of_what_waits() {
    let server = FakeServer::blocked();
    let node = target_node("orders", Memory::new(), server.clone());
    tokio::spawn(node.target.clone().track_changes());
    let mut tasks = Vec::new();
    for request in 0..4 {
        let target = node.target.clone();
        let head = head("orders", request, None);
        tasks.push(tokio::spawn(async move {
            match target.run(head, "12 t".into()).await {
                Ok(answer) => body_text(answer).await,
                Err(refused) => Err(refused.refusal),
            }
        }));
    }
    wait_until(|| server.runs() == 2 && node.target.load().waiting == 2).await;
    let draining = announcement("orders", Stage::Draining);
    node.announced.send_replace(Some(draining));
    wait_until(|| node.target.load().waiting == 0).await;
    server.answers.add_permits(4);
    let mut answered = 0;
    for task in tasks {
        match task.await.unwrap() {
            Ok(_) => answered += 1,
            Err(refusal) => assert_eq!(refusal, Refusal::Leaving),
        }
    }
    assert_eq!(answered, 2);
    assert_eq!(server.runs(), 2);
}

#[tokio::test]
async fn a_request_for_another_service_is_not_run() {
    let server = FakeServer::new();
    let node = target_node("orders", Memory::new(), server.clone());
    let refused = node.target.run(head("lookups", 1, None), "".into()).await;
    assert_eq!(refused.err().unwrap().outcome, Outcome::NotRun);
    assert_eq!(server.runs(), 0);
}

/// Returns a configuration whose only client account has these keys.
fn with_keys(version: u64, keys: &[&[u8]]) -> Arc<Snapshot> {
    let mut snapshot = (*common::snapshot()).clone();
    let keys = keys.iter().map(|key| KeyDigest::of(key).to_config());
    let client = ClientAccount {
        keys: keys.collect(),
        ..ClientAccount::default()
    };
    snapshot.stamp.version = Version(version);
    snapshot.config.clients = [(name("mill-7"), client)].into();
    Arc::new(snapshot)
}

fn head_with_key(request: u128, key: &[u8]) -> RequestHead {
    RequestHead {
        account: Some(name("mill-7")),
        key_tag: Some(KeyDigest::of(key).tag()),
        ..head("orders", request, None)
    }
}

#[tokio::test]
async fn a_request_whose_key_is_taken_back_while_it_waits_does_not_run() {
    let server = FakeServer::blocked();
    let node = target_node("orders", Memory::new(), server.clone());
    node.config
        .send_replace(Some(with_keys(1, &[b"kept", b"lost"])));
    let mut tasks = Vec::new();
    for (request, key) in [(1, "kept"), (2, "lost"), (3, "kept"), (4, "lost")] {
        let target = node.target.clone();
        let head = head_with_key(request, key.as_bytes());
        tasks.push(tokio::spawn(async move {
            target.run(head, "".into()).await.err()
        }));
        wait_until(|| node.target.load().running + node.target.load().waiting == request as u32)
            .await;
    }
    wait_until(|| server.runs() == 2).await;
    node.config.send_replace(Some(with_keys(2, &[b"kept"])));
    server.answers.add_permits(4);
    let mut refused = Vec::new();
    for task in tasks {
        refused.push(task.await.unwrap());
    }
    // The first two ran already; of those that waited, one has lost its key.
    let refusals = refused
        .iter()
        .map(|refused| refused.as_ref().map(|refused| &refused.refusal));
    let expected = [None, None, None, Some(&Refusal::Unauthorized)];
    assert!(refusals.eq(expected));
    assert_eq!(refused[3].as_ref().unwrap().outcome, Outcome::NotRun);
    assert!(!server.runs.lock().contains_key(&4));
    wait_until(|| node.target.load().running == 0).await;
}

#[tokio::test]
async fn a_request_that_an_entry_with_a_newer_version_sends_is_not_checked_by_an_older_one() {
    let server = FakeServer::new();
    let node = target_node("orders", Memory::new(), server.clone());
    node.config.send_replace(Some(with_keys(1, &[b"old"])));
    let mut head = head_with_key(1, b"new");
    head.version = Version(2);
    assert!(node.target.run(head, "".into()).await.is_ok());
}
