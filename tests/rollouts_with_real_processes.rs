//! Roll-outs that an operator orders with `crankctl`, on a small mesh of real processes.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use crank_load::fleet::{Fleet, Layout, wait};
use tempfile::TempDir;

const PATIENCE: Duration = Duration::from_secs(60);
const NODES: usize = 5;
const NEW_NODES: usize = 2;
const CALLERS: usize = 4;
const GOOD: &str = r#"{"release": "v2"}"#;
const FOLDER: &str = "[account]\nname = sutkent\n[service recipes]\nslots = 6\n\
    [route recipes]\npath = /recipes\nmethods = GET\nservice = recipes\nidempotent = yes\n";

struct Office {
    fleet: Fleet,
    settings: PathBuf,
    client: reqwest::Client,
    _home: TempDir,
}

impl Office {
    /// Starts servers of the release v1 and pushes a configuration.
    async fn open() -> Self {
        let home = TempDir::new().unwrap();
        let layout = Layout::new("sutkent", NODES, 1, 1, &["recipes"]).with_work(6, 0);
        let fleet = Fleet::start(layout, programs(), home.path()).await.unwrap();
        let folder = home.path().join("folder");
        std::fs::create_dir(&folder).unwrap();
        std::fs::write(folder.join("10-all.ini"), FOLDER).unwrap();
        let settings = fleet.store_settings().unwrap();
        let office = Self {
            fleet,
            settings,
            client: reqwest::Client::new(),
            _home: home,
        };
        for node in 0..NODES {
            office.set_backend(node, r#"{"release": "v1"}"#).await;
        }
        let (code, out) = office.crankctl(&["push", folder.to_str().unwrap()]);
        assert_eq!(code, 0, "{out}");
        for node in 0..NODES {
            let is_served = async || office.request(node).await;
            wait("a served request", PATIENCE, is_served).await.unwrap();
        }
        office
    }

    fn crankctl(&self, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(programs().join("crankctl"))
            .args(arguments)
            .args(["--settings", self.settings.to_str().unwrap()])
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code().unwrap(),
            String::from_utf8(text).unwrap(),
        )
    }

    /// Orders v2; once all nodes know, some servers announce it, and behave so.
    async fn order(&self, behaviour: &str) {
        let (code, out) = self.crankctl(&["rollout", "start", "recipes", "v2", "--within", "20s"]);
        assert_eq!(code, 0, "{out}");
        for node in 0..NODES {
            self.until_phase(node, "trial").await;
        }
        for node in NODES - NEW_NODES..NODES {
            self.set_backend(node, behaviour).await;
        }
    }

    async fn until_phase(&self, node: usize, phase: &str) {
        let address = self.fleet.nodes[node].operators();
        let line = format!("crank_rollout{{service=\"recipes\",phase=\"{phase}\"}} 1");
        let is_reached = async || {
            let metrics = self.client.get(format!("{address}/metrics")).send();
            let text = metrics.await.unwrap().text().await.unwrap();
            text.contains(&line)
        };
        wait(phase, PATIENCE, is_reached).await.unwrap();
    }

    async fn set_backend(&self, node: usize, control: &str) {
        let url = format!("{}/control", self.fleet.nodes[node].backend_url());
        let sent = self
            .client
            .post(url)
            .header("content-type", "application/json")
            .body(control.to_owned())
            .send();
        assert!(sent.await.unwrap().status().is_success());
    }

    async fn request(&self, node: usize) -> bool {
        let url = format!("{}/recipes/7", self.fleet.nodes[node].callers());
        let answer = self.client.get(url).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Sends requests until the order has ended; returns what `crankctl` says then.
    async fn send_until_the_end(&self) -> (i32, String) {
        let callers = (0..CALLERS).map(|node| async move {
            loop {
                self.request(node).await;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        let end = async {
            loop {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let (code, out) = self.crankctl(&["rollout", "status", "recipes"]);
                if !out.contains("state    running") && !out.contains("not done yet") {
                    return (code, out);
                }
            }
        };
        tokio::select! {
            ended = tokio::time::timeout(PATIENCE, end) => ended.unwrap(),
            _ = futures::future::join_all(callers) => unreachable!("callers go on"),
        }
    }
}

fn programs() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_crankctl")).parent().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_release_is_completed() {
    let office = Office::open().await;
    office.order(GOOD).await;
    let (code, out) = office.send_until_the_end().await;
    assert_eq!(code, 0, "{out}");
    assert!(out.contains("the old servers may stop"), "{out}");
    office.until_phase(0, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_release_is_rolled_back() {
    let office = Office::open().await;
    office.order(r#"{"release": "v2", "status": 500}"#).await;
    let (code, out) = office.send_until_the_end().await;
    assert_eq!(code, 1, "{out}");
    assert!(out.contains("state    rolled back"), "{out}");
    office.until_phase(0, "rolled_back").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_aborted_order_is_rolled_back_on_every_node() {
    let office = Office::open().await;
    office.order(GOOD).await;
    let (code, out) = office.crankctl(&["rollout", "abort", "recipes", "v2"]);
    assert_eq!(code, 0, "{out}");
    for node in 0..NODES {
        office.until_phase(node, "rolled_back").await;
    }
}
