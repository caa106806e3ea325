//! Load on real processes while some of them fail: what callers are told is true.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crank_load::calls::{self, Done, Plan, Runs, Tally, Told};
use crank_load::fleet::{Fleet, Layout, Signal, wait};
use crank_load::folder;
use crank_load::roster::Roster;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const PATIENCE: Duration = Duration::from_secs(60);
const SERVICE: &str = "recipes";
const RATE: f64 = 120.0;
/// The nodes that callers use; faults only meet the others.
const ENTRIES: usize = 3;

fn programs() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_crank-node"))
        .parent()
        .unwrap()
}

struct Mesh {
    fleet: Fleet,
    roster: Roster,
    http: reqwest::Client,
    _home: TempDir,
}

impl Mesh {
    async fn start() -> Self {
        let home = TempDir::new().unwrap();
        let layout = Layout::new("sutkent", 6, 2, 3, &[SERVICE]);
        let fleet = Fleet::start(layout, programs(), home.path()).await.unwrap();
        folder::fill(&fleet, &[SERVICE]).await.unwrap();
        let roster = Roster::new(&fleet).unwrap();
        roster.ready(PATIENCE).await.unwrap();
        Self {
            fleet,
            roster,
            http: reqwest::Client::new(),
            _home: home,
        }
    }

    /// Sends requests that are not idempotent until it is stopped, through nodes that stay well.
    fn load(&self) -> Load {
        let entries = self.roster.posts.iter().rev().take(ENTRIES);
        let mut plan = Plan {
            targets: entries.map(|post| post.callers.clone()).collect(),
            paths: vec![format!("/{SERVICE}").into()],
            rate: RATE,
            time: Duration::from_secs(1),
            warm_up: Duration::ZERO,
            limit: PATIENCE,
            body_bytes: 2_000,
            keyed: false,
            seed: 7,
        };
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
        Load { stop, sending }
    }

    fn backends(&self) -> Vec<Arc<str>> {
        let posts = self.roster.posts.iter();
        posts.map(|post| post.backend.clone()).collect()
    }

    /// Waits until a backend server has started this much more work.
    async fn worked(&self, node: usize, more: u64) {
        let before = self.started(node).await;
        wait("work", PATIENCE, async || {
            self.started(node).await >= before + more
        })
        .await
        .unwrap();
    }

    async fn started(&self, node: usize) -> u64 {
        let url = format!("{}/ledger/totals", self.roster.posts[node].backend);
        let totals: Value = self
            .http
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        totals["started"].as_u64().unwrap()
    }

    async fn control(&self, node: usize, control: Value) {
        let url = format!("{}/control", self.roster.posts[node].backend);
        let sent = self.http.post(url).json(&control).send().await.unwrap();
        assert_eq!(sent.status(), 204);
    }
}

struct Load {
    stop: CancellationToken,
    sending: JoinHandle<Vec<Tally>>,
}

impl Load {
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
    done: Vec<Done>,
    told: BTreeMap<Told, u64>,
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_servers_and_nodes_make_no_refusal_untrue_and_run_nothing_twice() {
    let mesh = Mesh::start().await;
    let load = mesh.load();
    mesh.worked(1, 10).await;
    mesh.control(1, json!({"drop": true})).await;
    mesh.worked(1, 1).await;
    mesh.control(2, json!({"cut": true})).await;
    mesh.worked(2, 1).await;
    mesh.control(2, json!({"cut": false})).await;
    mesh.fleet.nodes[2].node.signal(Signal::Freeze).unwrap();
    mesh.worked(3, 50).await;
    mesh.fleet.nodes[2].node.signal(Signal::Wake).unwrap();
    mesh.fleet.nodes[0].node.signal(Signal::Kill).unwrap();
    mesh.worked(3, 50).await;
    let outcome = load.stop().await;
    let audit = Runs::read(&mesh.backends()).await.unwrap();
    let audit = audit.audit(&outcome.done);
    let told = |told: Told| outcome.told.get(&told).copied().unwrap_or(0);
    assert_eq!(audit.unread_ledgers, 0);
    assert_eq!(
        (audit.run_twice, audit.not_run_but_ran),
        (0, 0),
        "{audit:?}"
    );
    assert_eq!(audit.whole_but_never_ran, 0, "{audit:?}");
    let untrue = (told(Told::Crossed), told(Told::Unanswered));
    assert_eq!(untrue, (0, 0), "{:?}", outcome.told);
    assert!(
        told(Told::Unknown) > 0,
        "no fault met a request: {:?}",
        outcome.told
    );
    assert!(told(Told::Whole) > 0, "{:?}", outcome.told);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_server_and_a_drained_node_cut_nothing() {
    let mut mesh = Mesh::start().await;
    let load = mesh.load();
    mesh.worked(0, 10).await;
    mesh.fleet.nodes[0]
        .backend
        .signal(Signal::Terminate)
        .unwrap();
    mesh.worked(1, 10).await;
    mesh.fleet.nodes[1].node.signal(Signal::Terminate).unwrap();
    let left = mesh.fleet.nodes[1].node.ended(PATIENCE).await.unwrap();
    let gone = mesh.fleet.nodes[0].backend.ended(PATIENCE).await.unwrap();
    assert_eq!((left, gone), (Some(0), Some(0)));
    let told = load.stop().await.told;
    let others = told
        .keys()
        .filter(|told| !matches!(told, Told::Whole | Told::NotRun));
    assert_eq!(others.count(), 0, "{told:?}");
}
