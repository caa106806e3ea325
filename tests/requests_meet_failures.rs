//! Requests under load while processes die, freeze and leave.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{Mesh, header, load, orders};
use crank_load::calls::{self, RequestOutcome};
use crank_load::fleet::Signal;

const LOAD: Duration = Duration::from_secs(4);
/// What the fleet's backend servers take for a request.
const WORK_MS: u64 = 5;
const BEFORE: Duration = Duration::from_millis(1_200);

/// Sends orders and lookups side by side.
async fn both(orders: calls::Plan, lookups: calls::Plan) -> (calls::Tally, calls::Tally) {
    let (orders, lookups) = tokio::join!(calls::run(orders), calls::run(lookups));
    (orders.unwrap(), lookups.unwrap())
}

/// Nothing ran twice, and nothing ran that a caller was told was not run.
fn assert_sound(audit: &calls::Audit) {
    assert!(audit.is_clean(), "{audit:?}");
}

fn told(tally: &calls::Tally, told: &RequestOutcome) -> u64 {
    tally.figures().told.get(told).copied().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_makes_nothing_run_twice_and_no_refusal_untrue() {
    let mesh = Mesh::start(6, 2, 3).await;
    let living = mesh.roster_without(&[2]);
    let sent = both(
        orders(&living, "/orders", LOAD),
        load(&living, "/recipes/apricot", LOAD),
    );
    let sent = tokio::spawn(sent);
    tokio::time::sleep(BEFORE).await;
    mesh.fleet.nodes[2].node.signal(Signal::Kill).unwrap();
    let (writes, reads) = sent.await.unwrap();

    let runs = mesh.runs().await;
    let audit = runs.audit(writes.done());
    assert_sound(&audit);
    assert_eq!(audit.unread_ledgers, 0);
    assert_eq!(runs.audit(reads.done()).not_run_but_ran, 0);
    assert_eq!(
        told(&reads, &RequestOutcome::Crossed) + told(&writes, &RequestOutcome::Crossed),
        0
    );
    assert_eq!(
        told(&reads, &RequestOutcome::Whole),
        reads.figures().requests,
        "{:?}",
        reads.figures()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_told_to_leave_cuts_nothing() {
    let mut mesh = Mesh::start(6, 2, 3).await;
    let staying = mesh.roster_without(&[1]);
    let sent = both(
        orders(&staying, "/orders", LOAD),
        load(&staying, "/recipes/apricot", LOAD),
    );
    let sent = tokio::spawn(sent);
    tokio::time::sleep(BEFORE).await;
    mesh.fleet.nodes[1].node.signal(Signal::Terminate).unwrap();
    let code = mesh.fleet.nodes[1]
        .node
        .wait_for_exit(common::PATIENCE)
        .await
        .unwrap();
    let (writes, reads) = sent.await.unwrap();

    assert_eq!(code, Some(0));
    for tally in [&writes, &reads] {
        let figures = tally.figures();
        assert_eq!(
            told(tally, &RequestOutcome::Whole),
            figures.requests,
            "{figures:?}"
        );
    }
    let audit = mesh.runs().await.audit(writes.done());
    assert_sound(&audit);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_drains_cuts_nothing_and_gets_nothing_new() {
    let mut mesh = Mesh::start(6, 2, 3).await;
    let all = mesh.roster();
    let writes = tokio::spawn(calls::run(orders(&all, "/orders", LOAD)));
    tokio::time::sleep(BEFORE).await;
    let leaving = mesh
        .fleet
        .layout
        .placements
        .iter()
        .position(|placement| &*placement.service == "panels");
    let leaving = leaving.unwrap();
    mesh.fleet.nodes[leaving]
        .backend
        .signal(Signal::Terminate)
        .unwrap();
    let code = mesh.fleet.nodes[leaving]
        .backend
        .wait_for_exit(common::PATIENCE)
        .await
        .unwrap();
    let writes = writes.await.unwrap().unwrap();

    assert_eq!(code, Some(0));
    let figures = writes.figures();
    assert_eq!(
        told(&writes, &RequestOutcome::Whole),
        figures.requests,
        "{figures:?}"
    );
    let staying = mesh.roster_without(&[leaving]);
    let backends: Vec<_> = staying
        .posts
        .iter()
        .map(|post| post.backend.clone())
        .collect();
    let mut runs = calls::RunCounts::read(&backends).await.unwrap();
    runs.add_line(&mesh.fleet.nodes[leaving].backend.last_line());
    let audit = runs.audit(writes.done());
    assert_sound(&audit);
    assert_eq!((audit.unread_ledgers, audit.runs), (0, figures.requests));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_frozen_in_the_middle_of_a_request_makes_it_unknown_and_never_twice() {
    let mesh = Mesh::start(6, 2, 3).await;
    let placements = &mesh.fleet.layout.placements;
    let frozen = placements
        .iter()
        .position(|placement| &*placement.service == "panels")
        .unwrap();
    let living = mesh.roster_without(&[frozen]);
    let mut plan = orders(&living, "/orders", LOAD);
    plan.limit = Duration::from_secs(30);
    let writes = tokio::spawn(calls::run(plan));
    tokio::time::sleep(BEFORE).await;
    mesh.fleet.nodes[frozen]
        .node
        .signal(Signal::Freeze)
        .unwrap();
    let writes = writes.await.unwrap().unwrap();
    mesh.fleet.nodes[frozen].node.signal(Signal::Wake).unwrap();
    mesh.roster().ready(common::PATIENCE).await.unwrap();

    let audit = mesh.runs().await.audit(writes.done());
    assert_sound(&audit);
    assert_eq!(audit.unread_ledgers, 0);
    let figures = writes.figures();
    assert_eq!(
        told(&writes, &RequestOutcome::Crossed) + told(&writes, &RequestOutcome::Cut),
        0,
        "{figures:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_restarts_at_once_comes_back_whole() {
    let mut mesh = Mesh::start(9, 2, 3).await;
    let start = mesh.version(0).await;
    mesh.edit(1).await;
    let all: Vec<usize> = (0..9).collect();
    mesh.holds(&all, start + 1).await;
    let herd = [1, 4, 7];
    let staying = mesh.roster_without(&herd);
    let writes = tokio::spawn(calls::run(orders(&staying, "/orders", LOAD)));
    for index in herd {
        mesh.fleet.nodes[index].node.signal(Signal::Kill).unwrap();
    }
    for index in herd {
        mesh.fleet.restart(index).await.unwrap();
    }
    mesh.holds(&all, start + 1).await;
    mesh.roster().ready(common::PATIENCE).await.unwrap();
    let writes = writes.await.unwrap().unwrap();

    let audit = mesh.runs().await.audit(writes.done());
    assert_sound(&audit);
    mesh.edit(2).await;
    mesh.holds(&all, start + 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_sent_to_every_node_at_once_runs_once() {
    let mesh = Mesh::start(6, 2, 3).await;
    for round in 0..5 {
        let key = format!("order-{round}");
        let sent = (0..6).map(|index| mesh.release(index, &key, 10_000));
        let answers = futures::future::join_all(sent).await;
        let ran = answers
            .iter()
            .filter(|answer| answer.status() == 200)
            .count();
        assert!(ran >= 1, "somebody gets the answer");
        for answer in &answers {
            let told = (answer.status().as_u16(), header(answer, "crank-refusal"));
            assert!(matches!(told, (200, "") | (409, "key_in_use")), "{told:?}");
        }
        assert_eq!(mesh.keys().await[&key], 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_thirty_times_as_slow_holds_up_nobody_else() {
    let mesh = Mesh::start(6, 2, 3).await;
    let slow = WORK_MS * 30;
    mesh.backends("panels", &format!(r#"{{"work_ms": {slow}}}"#))
        .await;
    let all = mesh.roster();
    let mut plan = orders(&all, "/orders", LOAD);
    plan.rate *= 4.0;
    let sent = tokio::spawn(both(plan, load(&all, "/recipes/apricot", LOAD)));
    let (writes, reads) = sent.await.unwrap();

    let figures = reads.figures();
    assert_eq!(
        told(&reads, &RequestOutcome::Whole),
        figures.requests,
        "{figures:?}"
    );
    let audit = mesh.runs().await.audit(writes.done());
    assert_sound(&audit);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_fails_while_it_calls_itself_ready_makes_no_refusal_untrue() {
    let mesh = Mesh::start(6, 2, 3).await;
    let placements = mesh.fleet.layout.placements.iter();
    let lying = placements
        .clone()
        .position(|placement| &*placement.service == "recipes")
        .unwrap();
    mesh.backend(lying, r#"{"lie": true, "drop": true}"#).await;
    let all = mesh.roster();
    let sent = both(
        orders(&all, "/orders", LOAD),
        load(&all, "/recipes/apricot", LOAD),
    );
    let sent = tokio::spawn(sent);
    let (writes, reads) = sent.await.unwrap();

    let runs = mesh.runs().await;
    let audit = runs.audit(writes.done());
    assert_sound(&audit);
    assert_eq!(runs.audit(reads.done()).not_run_but_ran, 0);
    let figures = reads.figures();
    assert_eq!(
        told(&reads, &RequestOutcome::Whole),
        figures.requests,
        "{figures:?}"
    );
}
