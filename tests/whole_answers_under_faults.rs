//! Load on real processes while some of them fail: what callers are told is true.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Mesh, PATIENCE, orders};
use crank_load::calls::{self, CompletedRequest, RequestOutcome};
use crank_load::fleet::{Layout, Signal, wait};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The nodes that faults meet; callers use the others.
const TARGETS: [usize; 3] = [0, 1, 2];

async fn start() -> Mesh {
    Mesh::with_layout(Layout::new("sutkent", 6, 2, 3, &["panels"])).await
}

/// Waits until a backend server has started this much more work.
async fn worked(mesh: &Mesh, node: usize, more: u64) {
    let before = started(mesh, node).await;
    wait("work", PATIENCE, async || {
        started(mesh, node).await >= before + more
    })
    .await
    .unwrap();
}

async fn started(mesh: &Mesh, node: usize) -> u64 {
    let url = format!("{}/ledger/totals", mesh.fleet.nodes[node].backend_url());
    let totals = mesh.client.get(url).send().await.unwrap();
    let totals: Value = totals.json().await.unwrap();
    totals["started"].as_u64().unwrap()
}

async fn control(mesh: &Mesh, node: usize, control: Value) {
    let url = format!("{}/control", mesh.fleet.nodes[node].backend_url());
    let sent = mesh.client.post(url).json(&control).send().await.unwrap();
    assert_eq!(sent.status(), 204);
}

/// Requests that are not idempotent, sent until they are stopped.
struct Load {
    stop: CancellationToken,
    sending: JoinHandle<Vec<calls::Tally>>,
}

impl Load {
    fn start(mesh: &Mesh) -> Self {
        let entries = mesh.roster_without(&TARGETS);
        let mut plan = orders(&entries, "/orders", Duration::from_secs(1));
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let sending = tokio::spawn(async move {
            let mut tallies = Vec::new();
            while !stopped.is_cancelled() {
                tallies.push(calls::run(plan.clone()).await.unwrap());
                plan.seed += 1;
            }
            tallies
        });
        Self { stop, sending }
    }

    async fn stop(self) -> Outcome {
        self.stop.cancel();
        let mut outcome = Outcome::default();
        for tally in self.sending.await.unwrap() {
            outcome.done.extend_from_slice(tally.done());
            for (told, count) in tally.figures().told {
                *outcome.told.entry(told).or_default() += count;
            }
        }
        outcome
    }
}

#[derive(Debug, Default)]
struct Outcome {
    done: Vec<CompletedRequest>,
    told: BTreeMap<RequestOutcome, u64>,
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_servers_and_nodes_make_no_refusal_untrue_and_run_nothing_twice() {
    let mesh = start().await;
    let load = Load::start(&mesh);
    worked(&mesh, 1, 10).await;
    control(&mesh, 1, json!({"drop": true})).await;
    worked(&mesh, 1, 1).await;
    control(&mesh, 2, json!({"cut": true})).await;
    worked(&mesh, 2, 1).await;
    control(&mesh, 2, json!({"cut": false})).await;
    mesh.fleet.nodes[2].node.signal(Signal::Freeze).unwrap();
    worked(&mesh, 3, 50).await;
    mesh.fleet.nodes[2].node.signal(Signal::Wake).unwrap();
    mesh.fleet.nodes[0].node.signal(Signal::Kill).unwrap();
    worked(&mesh, 3, 50).await;
    let outcome = load.stop().await;
    let audit = mesh.runs().await.audit(&outcome.done);
    let told = |told: RequestOutcome| outcome.told.get(&told).copied().unwrap_or(0);
    assert_eq!(audit.unread_ledgers, 0);
    assert_eq!(
        (audit.run_twice, audit.not_run_but_ran),
        (0, 0),
        "{audit:?}"
    );
    assert_eq!(audit.whole_but_never_ran, 0, "{audit:?}");
    let untrue = (
        told(RequestOutcome::Crossed),
        told(RequestOutcome::Unanswered),
    );
    assert_eq!(untrue, (0, 0), "{:?}", outcome.told);
    assert!(
        told(RequestOutcome::Unknown) > 0,
        "no fault met a request: {:?}",
        outcome.told
    );
    assert!(told(RequestOutcome::Whole) > 0, "{:?}", outcome.told);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_server_and_a_drained_node_cut_nothing() {
    let mut mesh = start().await;
    let load = Load::start(&mesh);
    worked(&mesh, 0, 10).await;
    mesh.fleet.nodes[0]
        .backend
        .signal(Signal::Terminate)
        .unwrap();
    worked(&mesh, 1, 10).await;
    mesh.fleet.nodes[1].node.signal(Signal::Terminate).unwrap();
    let left = mesh.fleet.nodes[1]
        .node
        .wait_for_exit(PATIENCE)
        .await
        .unwrap();
    let gone = mesh.fleet.nodes[0]
        .backend
        .wait_for_exit(PATIENCE)
        .await
        .unwrap();
    assert_eq!((left, gone), (Some(0), Some(0)));
    let told = load.stop().await.told;
    let others = told
        .keys()
        .filter(|told| !matches!(told, RequestOutcome::Whole | RequestOutcome::NotRun));
    assert_eq!(others.count(), 0, "{told:?}");
}
