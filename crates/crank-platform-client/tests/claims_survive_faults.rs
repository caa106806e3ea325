//! Claims on the in-memory platform: lost answers, outages, repeats.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

use crank_engine::Nonce;
use crank_engine::claim::{ClaimResult, Fingerprint, RecordedAnswer};
use crank_platform_client::{Error, Key, Memory, Rows, Value, claims};
use crank_protocol::call::{Load, ResponseHead};
use crank_protocol::{Millis, Name};
use serde_bytes::ByteBuf;

const TIME: Millis = Millis(10_000);

struct Desk {
    memory: Memory,
    account: Name,
}

impl Desk {
    fn new() -> Self {
        Self {
            memory: Memory::new(),
            account: Name::new("lenha-viva").unwrap(),
        }
    }

    async fn claim(&self, nonce: u128, text: &str) -> Result<ClaimResult, Error> {
        let print = Fingerprint(text.into());
        claims::claim(&self.memory, &self.account, "k", Nonce(nonce), print, TIME).await
    }

    async fn record(&self, nonce: u128, text: &str) -> Result<(), Error> {
        let print = Fingerprint(text.into());
        let (memory, account) = (&self.memory, &self.account);
        claims::record(memory, account, "k", Nonce(nonce), print, answer(), TIME).await
    }

    async fn release(&self, nonce: u128, text: &str) -> Result<(), Error> {
        let print = Fingerprint(text.into());
        claims::release(&self.memory, &self.account, "k", Nonce(nonce), print, TIME).await
    }
}

fn answer() -> RecordedAnswer {
    let head = ResponseHead {
        status: 201,
        headers: Vec::new(),
        length: Some(3),
        load: Load::default(),
    };
    let body = Some(ByteBuf::from(vec![0, 255, 7]));
    RecordedAnswer { head, body }
}

#[tokio::test]
async fn a_repeat_is_given_the_recorded_answer_and_another_request_a_mismatch() {
    let desk = Desk::new();
    assert_eq!(desk.claim(1, "a").await, Ok(ClaimResult::Won));
    desk.record(1, "a").await.unwrap();
    assert_eq!(
        desk.claim(2, "a").await,
        Ok(ClaimResult::Recorded(answer().into()))
    );
    assert_eq!(desk.claim(3, "b").await, Ok(ClaimResult::Mismatch));
}

#[tokio::test]
async fn a_recorded_body_is_kept_as_bytes() {
    let desk = Desk::new();
    desk.claim(1, "a").await.unwrap();
    desk.record(1, "a").await.unwrap();
    let key = Key {
        partition: "lenha-viva/claims/k".into(),
        sort: "claims".into(),
    };
    let row = desk.memory.row(&key).await.unwrap().unwrap();
    assert_eq!(
        row.attributes.get("body"),
        Some(&Value::Bytes(vec![0, 255, 7]))
    );
}

#[tokio::test]
async fn answers_lost_before_and_after_the_effect_change_no_verdict() {
    let desk = Desk::new();
    desk.memory.lose_writes(2);
    assert_eq!(desk.claim(1, "a").await, Ok(ClaimResult::Won));
    desk.memory.lose_answers(1);
    desk.record(1, "a").await.unwrap();
    desk.memory.lose_answers(1);
    assert_eq!(
        desk.claim(2, "a").await,
        Ok(ClaimResult::Recorded(answer().into()))
    );
}

#[tokio::test]
async fn with_the_store_down_nothing_is_won() {
    let desk = Desk::new();
    desk.memory.set_down(true);
    let down = desk.claim(1, "a").await;
    assert!(matches!(down, Err(Error::Unavailable { .. })), "{down:?}");
    desk.memory.set_down(false);
    assert_eq!(desk.claim(2, "a").await, Ok(ClaimResult::Won));
}

#[tokio::test]
async fn only_the_holder_may_free_a_key_and_only_once() {
    let desk = Desk::new();
    assert_eq!(desk.claim(1, "a").await, Ok(ClaimResult::Won));
    assert_eq!(desk.release(2, "a").await, Err(Error::ConditionFailed));
    desk.release(1, "a").await.unwrap();
    assert_eq!(desk.claim(2, "b").await, Ok(ClaimResult::Won));
    assert_eq!(desk.release(1, "a").await, Err(Error::ConditionFailed));
    assert_eq!(desk.record(1, "a").await, Err(Error::ConditionFailed));
    assert_eq!(desk.claim(3, "b").await, Ok(ClaimResult::InUse));
}
