//! Claims of requests that run only once: two nodes, a faulty store and callers that disconnect.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{FakeServer, body_text, head, target_node, wait_until};
use crank_platform_client::{
    Condition, Error, Etag, Key, Listing, Memory, Object, Platform, Row, RowWrite, Rows,
};
use crank_protocol::Millis;
use crank_protocol::call::{Outcome, Refusal};

const KEY: Option<&str> = Some("ticket-7");

#[tokio::test]
async fn two_nodes_with_one_key_run_it_once_even_when_the_store_loses_answers() {
    for lost in 0..4 {
        let (platform, server) = (Memory::new(), FakeServer::new());
        platform.lose_answers(lost);
        let one = target_node("tickets", platform.clone(), server.clone());
        let other = target_node("tickets", platform, server.clone());
        let (first, second) = tokio::join!(
            one.target.run(head("tickets", 1, KEY), "12 t".into()),
            other.target.run(head("tickets", 2, KEY), "12 t".into()),
        );
        assert_eq!(server.runs(), 1, "with {lost} answers lost");
        for result in [first, second] {
            match result {
                Ok(answer) => assert_eq!(body_text(answer).await.unwrap(), "confirmed"),
                Err(refused) => assert_ne!(refused.outcome, Outcome::NotRun),
            }
        }
    }
}

#[tokio::test]
async fn a_repeat_at_another_node_gets_the_recorded_answer() {
    let (platform, server) = (Memory::new(), FakeServer::new());
    for request in 1..=3 {
        let node = target_node("tickets", platform.clone(), server.clone());
        let run = node
            .target
            .run(head("tickets", request, KEY), "12 t".into());
        assert_eq!(
            body_text(run.await.ok().unwrap()).await.unwrap(),
            "confirmed"
        );
    }
    assert_eq!(server.runs(), 1);
}

// Guards against a record in the store whose status is none: it ran, and its answer is lost.
#[tokio::test]
async fn a_recorded_answer_without_a_final_status_is_not_replayed() {
    for status in [0, 101, 199, 600, 999] {
        let (platform, server) = (Memory::new(), FakeServer::new());
        *server.status.lock() = status;
        let node = target_node("tickets", platform, server.clone());
        let first = node.target.run(head("tickets", 1, KEY), "12 t".into());
        drop(first.await);
        let again = node.target.run(head("tickets", 2, KEY), "12 t".into());
        let refused = again.await.err().unwrap();
        assert_eq!(refused.refusal, Refusal::Cut, "{status}");
        assert_eq!(server.runs(), 1);
    }
}

#[tokio::test]
async fn a_key_that_was_used_for_another_request_is_refused() {
    let (platform, server) = (Memory::new(), FakeServer::new());
    let node = target_node("tickets", platform, server.clone());
    let first = node.target.run(head("tickets", 1, KEY), "12 t".into());
    assert!(first.await.is_ok());
    let other = node.target.run(head("tickets", 2, KEY), "13 t".into());
    let refused = other.await.err().unwrap();
    assert_eq!(refused.refusal, Refusal::KeyMismatch);
    assert_eq!(server.runs(), 1);
}

#[tokio::test]
async fn a_request_is_not_run_while_the_store_is_down() {
    let (platform, server) = (Memory::new(), FakeServer::new());
    platform.set_down(true);
    let node = target_node("tickets", platform, server.clone());
    let run = node.target.run(head("tickets", 1, KEY), "12 t".into());
    let refused = run.await.err().unwrap();
    assert_eq!(refused.refusal, Refusal::StoreDown);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(server.runs(), 0);
}

#[tokio::test]
async fn a_request_claimed_after_its_deadline_is_not_run_and_frees_its_key() {
    let (platform, server) = (Memory::new(), FakeServer::new());
    let node = target_node("tickets", platform.clone(), server.clone());
    let mut time_left = 20;
    loop {
        platform.set_delay(Duration::from_millis(3 * time_left));
        let mut hurried = head("tickets", 1, KEY);
        hurried.time_left = Millis(time_left);
        let refused = node.target.run(hurried, "12 t".into()).await.err().unwrap();
        assert_eq!(refused.outcome, Outcome::NotRun);
        assert_eq!(server.runs(), 0);
        if refused.refusal == Refusal::StoreDown {
            break;
        }
        time_left *= 2;
    }
    platform.set_delay(Duration::ZERO);
    wait_until(|| node.target.unsettled_claims() == 0).await;
    let again = node.target.run(head("tickets", 2, KEY), "12 t".into());
    assert!(again.await.is_ok());
    assert_eq!(server.runs(), 1);
}

#[tokio::test]
async fn a_node_frozen_past_the_deadline_does_not_run_the_request_and_frees_the_key() {
    let (platform, server) = (Memory::new(), FakeServer::new());
    let freezing = FreezingPlatform(platform.clone());
    let frozen = target_node("tickets", freezing, server.clone());
    let mut hurried = head("tickets", 1, KEY);
    hurried.time_left = Millis(20);
    let refused = frozen.target.run(hurried, "12 t".into()).await;
    assert_eq!(refused.err().unwrap().outcome, Outcome::NotRun);
    assert_eq!(server.runs(), 0);
    wait_until(|| frozen.target.unsettled_claims() == 0).await;
    let awake = target_node("tickets", platform, server.clone());
    let again = awake.target.run(head("tickets", 2, KEY), "12 t".into());
    assert!(again.await.is_ok());
}

/// A platform that blocks the thread after each transaction, as if the process were frozen.
#[derive(Clone)]
struct FreezingPlatform(Memory);

impl Platform for FreezingPlatform {
    async fn list(&self, prefix: &str) -> Result<Vec<Listing>, Error> {
        self.0.list(prefix).await
    }

    async fn read(&self, key: &str) -> Result<Option<Object>, Error> {
        self.0.read(key).await
    }

    async fn write(&self, key: &str, content: Bytes, condition: Condition) -> Result<Etag, Error> {
        self.0.write(key, content, condition).await
    }
}

impl Rows for FreezingPlatform {
    async fn row(&self, key: &Key) -> Result<Option<Row>, Error> {
        self.0.row(key).await
    }

    async fn rows(&self, partition: &str, limit: u32) -> Result<Vec<Row>, Error> {
        self.0.rows(partition, limit).await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<(), Error> {
        let written = self.0.transact(writes).await;
        std::thread::sleep(Duration::from_millis(60));
        written
    }
}

#[tokio::test]
async fn a_backend_server_that_was_not_reached_frees_the_key() {
    let (platform, server) = (Memory::new(), FakeServer::new());
    *server.refusal.lock() = Some(Refusal::NotSent);
    let node = target_node("tickets", platform, server.clone());
    let run = node.target.run(head("tickets", 1, KEY), "12 t".into());
    assert_eq!(run.await.err().unwrap().outcome, Outcome::NotRun);
    *server.refusal.lock() = None;
    let again = node.target.run(head("tickets", 2, KEY), "12 t".into());
    assert!(again.await.is_ok());
}

#[tokio::test]
async fn a_run_whose_answer_is_lost_keeps_its_key() {
    let (platform, server) = (Memory::new(), FakeServer::new());
    *server.refusal.lock() = Some(Refusal::Lost);
    let node = target_node("tickets", platform, server.clone());
    let run = node.target.run(head("tickets", 1, KEY), "12 t".into());
    assert_eq!(run.await.err().unwrap().outcome, Outcome::Unknown);
    *server.refusal.lock() = None;
    let again = node.target.run(head("tickets", 2, KEY), "12 t".into());
    let refused = again.await.err().unwrap();
    assert_eq!(refused.refusal, Refusal::KeyInUse);
    assert_eq!(refused.outcome, Outcome::Unknown);
    assert_eq!(server.runs(), 0);
}

#[tokio::test]
async fn the_answer_is_recorded_even_when_the_caller_has_left() {
    let (platform, server) = (Memory::new(), FakeServer::blocked());
    let node = target_node("tickets", platform, server.clone());
    let target = node.target.clone();
    let caller = tokio::spawn(async move {
        let run = target.run(head("tickets", 1, KEY), "12 t".into());
        run.await.is_ok()
    });
    wait_until(|| server.runs() == 1).await;
    caller.abort();
    server.answers.add_permits(1);
    wait_until(|| node.target.load().running == 0 && node.target.unsettled_claims() == 0).await;
    let again = node.target.run(head("tickets", 2, KEY), "12 t".into());
    assert_eq!(
        body_text(again.await.ok().unwrap()).await.unwrap(),
        "confirmed"
    );
    assert_eq!(server.runs(), 1);
}
