//! Tests the orders of roll-outs: start, progress, abort, and what is refused.

#![allow(clippy::unwrap_used)]
#![allow(dead_code, reason = "the support is shared with other tests")]

mod support;

use crank_platform_client::rollouts::{self as rows, Decision};
use crank_protocol::config::Revision;
use crank_protocol::rollout::Phase;
use support::{Session, name};

const RECIPES: &str = "[service recipes]\nslots = 6\n\
    [route recipes]\npath = /recipes\nmethods = GET\nservice = recipes\n";
const DONE: u8 = 0;
const NO: u8 = 1;
const USAGE: u8 = 2;

/// A session in which the service `recipes` is configured.
async fn session() -> Session {
    let mut session = Session::new();
    session.put("anna/10-account.ini", "[account]\nname = sutkent\n");
    session.put("anna/20-recipes.ini", RECIPES);
    session.crankctl("push @anna --settings @store.ini").await;
    session.publish().await;
    session
}

async fn rollout(session: &mut Session, line: &str) -> u8 {
    let line = format!("rollout {line} --settings @store.ini");
    session.crankctl(&line).await
}

fn assert_last(session: &Session, text: &str) {
    let transcript = session.transcript();
    let last = transcript.rsplit("$ crankctl").next().unwrap();
    assert!(last.contains(text), "{last}");
}

/// Records a verdict, as a node does.
async fn decide(session: &Session, order: u64, phase: Phase, reported: bool) {
    let (platform, account) = (&session.desktop.platform, name("sutkent"));
    let service = name("recipes");
    let held = rows::read(platform, &account, &service).await.unwrap();
    let decision = Decision {
        order: Revision(order),
        target: "v2".into(),
        phase,
        reported,
    };
    rows::write(platform, &account, &service, held.as_ref(), &decision)
        .await
        .unwrap();
}

#[tokio::test]
async fn an_order_runs_until_its_verdict() {
    let mut session = session().await;
    assert_eq!(
        rollout(&mut session, "start recipes v2 --within 10m").await,
        DONE
    );
    assert_last(&session, "recipes moves to v2 within 10m (order 1)");
    assert_eq!(rollout(&mut session, "status recipes").await, NO);
    assert_last(&session, "state    running");
    decide(&session, 1, Phase::Completed, false).await;
    assert_eq!(rollout(&mut session, "status recipes").await, NO);
    assert_last(&session, "requests at the old servers are not done yet");
    decide(&session, 1, Phase::Completed, true).await;
    assert_eq!(rollout(&mut session, "status recipes").await, DONE);
    assert_last(&session, "the old servers may stop");
    assert_eq!(rollout(&mut session, "abort recipes v2").await, NO);
    assert_last(&session, "has already been completed");
}

#[tokio::test]
async fn a_running_order_is_neither_replaced_nor_repeated() {
    let mut session = session().await;
    rollout(&mut session, "start recipes v2 --within 10m").await;
    for release in ["v2", "v3"] {
        let again = format!("start recipes {release} --within 10m");
        assert_eq!(rollout(&mut session, &again).await, NO);
        assert_last(&session, "a roll-out of recipes to v2 is running");
    }
}

#[tokio::test]
async fn an_aborted_order_is_rolled_back_and_may_be_given_again() {
    let mut session = session().await;
    rollout(&mut session, "start recipes v2 --within 10m").await;
    assert_eq!(rollout(&mut session, "abort recipes v3").await, NO);
    assert_last(&session, "moves recipes to v2, not to v3");
    assert_eq!(rollout(&mut session, "abort recipes v2").await, DONE);
    let (platform, account) = (session.desktop.platform.clone(), name("sutkent"));
    let decision = rows::read(&platform, &account, &name("recipes")).await;
    assert_eq!(decision.unwrap().unwrap().phase, Phase::RolledBack);
    assert_eq!(rollout(&mut session, "status recipes").await, NO);
    assert_last(&session, "state    rolled back");
    assert_eq!(
        rollout(&mut session, "start recipes v2 --within 90s").await,
        DONE
    );
    assert_last(&session, "within 90s (order 2)");
    assert_eq!(rollout(&mut session, "status recipes").await, NO);
    assert_last(&session, "state    running");
}

#[tokio::test]
async fn what_cannot_be_ordered_is_refused() {
    let mut session = session().await;
    assert_eq!(
        rollout(&mut session, "start panels v2 --within 10m").await,
        NO
    );
    assert_last(&session, "no service panels");
    assert_eq!(rollout(&mut session, "status recipes").await, NO);
    assert_last(&session, "no roll-out of recipes was ordered");
    for line in [
        "start recipes v2",
        "start recipes v2 --within 10",
        "start recipes v2 --within 1s",
        "start recipes --within 10m",
        "start",
        "status",
        "abort recipes",
    ] {
        assert_eq!(rollout(&mut session, line).await, USAGE, "{line}");
    }
}

#[tokio::test]
async fn an_order_whose_answer_was_lost_counts_once() {
    let mut session = session().await;
    session.desktop.platform.lose_answers(1);
    assert_eq!(
        rollout(&mut session, "start recipes v2 --within 10m").await,
        DONE
    );
    session.desktop.platform.lose_answers(1);
    assert_eq!(rollout(&mut session, "abort recipes v2").await, DONE);
}
