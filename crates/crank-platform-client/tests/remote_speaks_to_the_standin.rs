//! The client of the real services against the stand-in: what it writes, reads, and says of faults.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use common::{Standin, name};
use crank_engine::Nonce;
use crank_engine::claim::{ClaimResult, Fingerprint};
use crank_engine::publish::{HeadUpdateOutcome, head_update, head_update_outcome};
use crank_platform_client::{
    Condition, Error, Key, Memory, Platform, Row, RowCondition, RowWrite, Rows, Value, claims,
    folder, head,
};
use crank_protocol::Millis;
use crank_protocol::config::Digest;
use crank_protocol::status::HistoryEntry;

const TIMEOUT: Millis = Millis(10_000);

fn put(sort: &str, value: u64, condition: RowCondition) -> RowWrite {
    let key = Key {
        partition: "p/one".into(),
        sort: sort.into(),
    };
    let attributes = BTreeMap::from([
        ("number".into(), Value::Number(value)),
        ("text".into(), Value::Text("ü & <b>".into())),
        ("bytes".into(), Value::Bytes(vec![0, 255])),
    ]);
    let row = Row { key, attributes };
    RowWrite { row, condition }
}

fn number(value: u64) -> RowCondition {
    RowCondition::Equal(BTreeMap::from([("number".into(), Value::Number(value))]))
}

async fn keeps_the_contract(platform: &impl Platform) {
    let first = put("a", 1, RowCondition::Absent);
    platform.transact(vec![first.clone()]).await.unwrap();
    let again = platform.transact(vec![first.clone()]).await;
    assert_eq!(again, Err(Error::ConditionFailed));
    let half = vec![put("b", 1, RowCondition::Absent), put("a", 2, number(7))];
    let refused = platform.transact(half).await;
    assert_eq!(refused, Err(Error::ConditionFailed));
    let found = platform.row(&first.row.key).await.unwrap();
    assert_eq!(found, Some(first.row));
    let whole = vec![put("b", 1, RowCondition::Absent), put("a", 2, number(1))];
    platform.transact(whole).await.unwrap();
    let rows = platform.rows("p/one", 10).await.unwrap();
    let sorts: Vec<&str> = rows.iter().map(|row| &*row.key.sort).collect();
    assert_eq!(sorts, ["b", "a"]);

    let content = Bytes::from_static(b"[account]\xff");
    let absent = Condition::Absent;
    let etag = platform
        .write("x/1 ~a", content.clone(), absent.clone())
        .await
        .unwrap();
    let again = platform.write("x/1 ~a", Bytes::new(), absent).await;
    assert_eq!(again, Err(Error::ConditionFailed));
    let read = platform.read("x/1 ~a").await.unwrap().unwrap();
    assert_eq!((read.etag, read.content), (etag.clone(), content));
    let unchanged = Condition::Unchanged(etag);
    platform
        .write("x/1 ~a", "new".into(), unchanged.clone())
        .await
        .unwrap();
    let stale = platform
        .write("x/1 ~a", "old".into(), unchanged.clone())
        .await;
    assert_eq!(stale, Err(Error::ConditionFailed));
    let nothing = platform.write("x/none", "old".into(), unchanged).await;
    assert_eq!(nothing, Err(Error::ConditionFailed));
    assert_eq!(platform.read("x/none").await, Ok(None));
    assert_eq!(platform.list("x/").await.unwrap()[0].size, 3);
}

#[tokio::test]
async fn client_and_fake_keep_the_same_contract() {
    keeps_the_contract(&Memory::new()).await;
    let standin = Standin::start().await;
    keeps_the_contract(&standin.client(TIMEOUT)).await;
}

#[tokio::test]
async fn a_listing_of_several_pages_is_whole_and_in_byte_order() {
    let standin = Standin::start().await;
    standin.switch(r#"{"page_objects": 2}"#).await;
    let (client, account) = (standin.client(TIMEOUT), name("sutkent"));
    for file in ["b.ini", "A.ini", "a.ini", "10.ini", "é.ini"] {
        let write = folder::write(&client, &account, file, "[a]".into(), Condition::Always);
        write.await.unwrap();
    }
    let other = name("sutkent-2");
    folder::write(&client, &other, "z", "[a]".into(), Condition::Always)
        .await
        .unwrap();
    let files = folder::list(&client, &account).await.unwrap();
    let names: Vec<&str> = files.iter().map(|file| &*file.name).collect();
    assert_eq!(names, ["10.ini", "A.ini", "a.ini", "b.ini", "é.ini"]);
}

#[tokio::test]
async fn a_lost_answer_to_the_head_is_settled_by_its_nonce_and_sent_once() {
    let standin = Standin::start().await;
    let (client, account) = (standin.client(TIMEOUT), name("sutkent"));
    // A library may send again by itself on a connection that was used before.
    assert_eq!(head::read(&client, &account).await, Ok(None));
    standin.switch(r#"{"lose_answers": 1}"#).await;
    let step = head_update(None, &Digest::new(&"0a".repeat(32)).unwrap(), Nonce(7)).unwrap();
    let entry = HistoryEntry {
        stamp: step.to.stamp.clone(),
        at: time::OffsetDateTime::UNIX_EPOCH,
        publisher: name("n1"),
    };
    let written = head::advance(&client, &account, &step, &entry).await;
    assert!(
        matches!(written, Err(Error::AnswerLost { .. })),
        "{written:?}"
    );
    let found = head::read(&client, &account).await.unwrap();
    assert_eq!(
        head_update_outcome(&step, found.as_ref()),
        HeadUpdateOutcome::Accepted
    );
    assert_eq!(head::history(&client, &account, 9).await, Ok(vec![entry]));
    assert_eq!(standin.counts().await.operations["TransactWriteItems"], 1);
}

#[tokio::test]
async fn a_lost_answer_of_an_object_is_said_and_the_object_sent_once() {
    let standin = Standin::start().await;
    let client = standin.client(TIMEOUT);
    assert_eq!(client.read("x/a").await, Ok(None));
    standin.switch(r#"{"lose_answers": 1}"#).await;
    let written = client.write("x/a", "a".into(), Condition::Absent).await;
    assert!(
        matches!(written, Err(Error::AnswerLost { .. })),
        "{written:?}"
    );
    assert_eq!(standin.counts().await.operations["PutObject"], 1);
    assert!(client.read("x/a").await.unwrap().is_some());
}

#[tokio::test]
async fn a_lost_answer_to_a_claim_is_settled_by_its_nonce() {
    let standin = Standin::start().await;
    let (client, account) = (standin.client(TIMEOUT), name("lenha-viva"));
    standin.switch(r#"{"lose_answers": 1}"#).await;
    let claim = |nonce| {
        let print = Fingerprint("ticket 7".into());
        claims::claim(&client, &account, "key/1 ü", Nonce(nonce), print, TIMEOUT)
    };
    assert_eq!(claim(1).await, Ok(ClaimResult::Won));
    assert_eq!(claim(2).await, Ok(ClaimResult::InUse));
}

#[tokio::test]
async fn a_store_that_is_down_or_throttles_has_taken_nothing() {
    let standin = Standin::start().await;
    let client = standin.client(TIMEOUT);
    standin.switch(r#"{"down": true}"#).await;
    let row = || vec![put("a", 1, RowCondition::Always)];
    let down = client.transact(row()).await;
    assert!(matches!(down, Err(Error::Unavailable { .. })), "{down:?}");
    assert!(client.list("x/").await.is_err());
    standin
        .switch(r#"{"down": false, "writes_per_second": 0}"#)
        .await;
    let throttled = client.transact(row()).await;
    assert!(
        matches!(throttled, Err(Error::Unavailable { .. })),
        "{throttled:?}"
    );
    assert_eq!(standin.counts().await.throttled, 1);
    assert_eq!(client.rows("p/one", 9).await, Ok(Vec::new()));
}

#[tokio::test]
async fn a_closed_port_is_unavailable_and_a_slow_store_ends_at_the_time_limit() {
    let standin = Standin::start().await;
    standin.switch(r#"{"delays_ms": {"n1": 60000}}"#).await;
    let impatient = standin.client(Millis(50));
    let slow = impatient.transact(vec![put("a", 1, RowCondition::Absent)]);
    assert!(matches!(slow.await, Err(Error::AnswerLost { .. })));
    let closed = Standin {
        address: "127.0.0.1:1".parse().unwrap(),
    };
    let client = closed.client(TIMEOUT);
    let refused = client.transact(vec![put("a", 1, RowCondition::Absent)]);
    let refused = refused.await;
    assert!(
        matches!(refused, Err(Error::Unavailable { .. })),
        "{refused:?}"
    );
    let object = client.write("x/a", "a".into(), Condition::Always).await;
    assert!(
        matches!(object, Err(Error::Unavailable { .. })),
        "{object:?}"
    );
}

#[tokio::test]
async fn what_the_standin_does_not_serve_gets_a_clear_error() {
    let standin = Standin::start().await;
    let url = format!("http://{}/crank/a", standin.address);
    let answer = reqwest::Client::new().delete(url).send().await.unwrap();
    assert_eq!(answer.status(), 501);
    assert!(
        answer
            .text()
            .await
            .unwrap()
            .contains("the stand-in serves PUT and GET")
    );
}
