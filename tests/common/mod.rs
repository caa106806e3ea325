//! A small mesh of real processes and what tests do to it.

#![allow(
    dead_code,
    unreachable_pub,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic
)]

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::ini::Document;
use crank_load::calls::{Plan, RunCounts};
use crank_load::fleet::{Fleet, Layout, wait};
use crank_load::roster::Roster;
use crank_platform_client::{Condition, Remote, Settings, folder};
use crank_protocol::status::{HistoryEntry, MeshStatus as Status};
use reqwest::{Client, Response};
use tempfile::TempDir;

pub const PATIENCE: Duration = Duration::from_secs(60);
pub const SERVICES: [&str; 3] = ["recipes", "panels", "batches"];

/// A route for requests that are neither idempotent nor claimed.
const ORDERS: &str = "[route orders]\npath = /orders\nmethods = POST\nservice = panels\n";

/// A running mesh with a folder in force.
pub struct Mesh {
    pub fleet: Fleet,
    pub client: Client,
    remote: Remote,
    settings: Settings,
    _home: TempDir,
}

impl Mesh {
    /// Waits until every node routes what the last file of the folder says.
    async fn routes(&self) {
        let all: Vec<usize> = (0..self.fleet.nodes.len()).collect();
        wait("the whole folder", PATIENCE, async || {
            for index in &all {
                let answer = self
                    .client
                    .post(format!("{}/orders", self.fleet.nodes[*index].callers()));
                if !answer
                    .send()
                    .await
                    .is_ok_and(|answer| answer.status() == 200)
                {
                    return false;
                }
            }
            true
        })
        .await
        .unwrap();
    }

    pub async fn start(nodes: usize, regions: usize, data_centres: usize) -> Self {
        Self::with_layout(Layout::new(
            "sutkent",
            nodes,
            regions,
            data_centres,
            &SERVICES,
        ))
        .await
    }

    pub async fn with_layout(layout: Layout) -> Self {
        let home = TempDir::new().unwrap();
        let programs = Path::new(env!("CARGO_BIN_EXE_crank-node"))
            .parent()
            .unwrap();
        let fleet = Fleet::start(layout, programs, home.path()).await.unwrap();
        let path = fleet.store_settings().unwrap();
        let document = Document::parse("store.ini".into(), &std::fs::read(path).unwrap()).unwrap();
        let settings = Settings::read("store.ini", &document).unwrap();
        let remote = Remote::new(&settings.access()).unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        let mesh = Self {
            fleet,
            client,
            remote,
            settings,
            _home: home,
        };
        for name in [
            "10-account.ini",
            "20-recipes.ini",
            "30-panels.ini",
            "40-batches.ini",
        ] {
            let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/folder");
            mesh.put(name, &std::fs::read_to_string(folder.join(name)).unwrap())
                .await;
        }
        mesh.put("50-orders.ini", ORDERS).await;
        mesh.roster().ready(PATIENCE).await.unwrap();
        mesh.routes().await;
        mesh
    }

    /// Puts a file into the folder in the store.
    pub async fn put(&self, name: &str, text: &str) {
        let text = text.to_owned().into();
        let account = &self.settings.account;
        folder::write(&self.remote, account, name, text, Condition::Always)
            .await
            .unwrap();
    }

    /// An edit that differs from every other one of another number.
    pub async fn edit(&self, number: u64) {
        let text = format!("[service recipes]\ntimeout = {}ms\n", 1_000 + number);
        self.put("90-edit.ini", &text).await;
    }

    /// Sets switches of the platform's stand-in.
    pub async fn platform(&self, switches: &str) {
        self.fleet.switch(switches).await.unwrap();
    }

    /// Sets switches of the backend server beside a node.
    pub async fn backend(&self, index: usize, switches: &str) {
        let url = format!("{}/control", self.fleet.nodes[index].backend_url());
        let set = self
            .client
            .post(url)
            .body(switches.to_owned())
            .send()
            .await
            .unwrap();
        assert!(set.status().is_success(), "{}", set.text().await.unwrap());
    }

    /// Sets switches of every backend server of a service.
    pub async fn backends(&self, service: &str, switches: &str) {
        for (index, placement) in self.fleet.layout.placements.iter().enumerate() {
            if &*placement.service == service {
                self.backend(index, switches).await;
            }
        }
    }

    pub fn roster(&self) -> Roster {
        Roster::new(&self.fleet).unwrap()
    }

    /// The roster without the nodes of these indices.
    pub fn roster_without(&self, indices: &[usize]) -> Roster {
        let names: Vec<String> = indices.iter().map(|index| format!("node{index}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        self.roster().without(&names)
    }

    /// The version in force at a node; 0 where it does not answer.
    pub async fn version(&self, index: usize) -> u64 {
        let url = format!("{}/metrics", self.fleet.nodes[index].operators());
        let Ok(answer) = self
            .client
            .get(url)
            .timeout(Duration::from_secs(2))
            .send()
            .await
        else {
            return 0;
        };
        let text = answer.text().await.unwrap_or_default();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("crank_config_version "));
        line.and_then(|value| value.trim().parse().ok())
            .unwrap_or(0)
    }

    /// Waits until these nodes hold at least this version.
    pub async fn holds(&self, indices: &[usize], version: u64) {
        wait(
            &format!("version {version} on {indices:?}"),
            PATIENCE,
            async || {
                for index in indices {
                    if self.version(*index).await < version {
                        return false;
                    }
                }
                true
            },
        )
        .await
        .unwrap();
    }

    pub async fn status(&self, index: usize) -> Status {
        let url = format!("{}/status", self.fleet.nodes[index].operators());
        self.client
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    pub async fn history(&self, index: usize) -> Vec<HistoryEntry> {
        let url = format!("{}/history", self.fleet.nodes[index].operators());
        self.client
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    /// The index of the node that published last.
    pub async fn publisher(&self, asked: usize) -> usize {
        let last = self.history(asked).await.remove(0);
        let placements = self.fleet.layout.placements.iter();
        placements
            .clone()
            .position(|placement| *placement.name == *last.publisher.as_str())
            .unwrap()
    }

    /// Sends a request to a node and gives the whole answer.
    pub async fn get(&self, index: usize, path: &str) -> reqwest::Result<Response> {
        self.client
            .get(format!("{}{path}", self.fleet.nodes[index].callers()))
            .send()
            .await
    }

    /// Sends a release order with a key.
    pub async fn release(&self, index: usize, key: &str, timeout_ms: u64) -> Response {
        let url = format!("{}/batches/release", self.fleet.nodes[index].callers());
        let request = self
            .client
            .post(url)
            .body("apricot")
            .header("idempotency-key", key);
        request
            .header("crank-timeout-ms", timeout_ms)
            .send()
            .await
            .unwrap()
    }

    /// How often each idempotency key ran, over all backend servers that answer.
    pub async fn keys(&self) -> BTreeMap<String, u64> {
        let mut keys = BTreeMap::new();
        for node in &self.fleet.nodes {
            let url = format!("{}/ledger", node.backend_url());
            let Ok(answer) = self.client.get(url).send().await else {
                continue;
            };
            let ledger: serde_json::Value = answer.json().await.unwrap();
            for (key, count) in ledger["keys"].as_object().unwrap() {
                *keys.entry(key.clone()).or_default() += count.as_u64().unwrap();
            }
        }
        keys
    }

    /// The runs that all backend servers counted that still answer.
    pub async fn runs(&self) -> RunCounts {
        let posts = self.roster().posts;
        let backends: Vec<Arc<str>> = posts.iter().map(|post| post.backend.clone()).collect();
        RunCounts::read(&backends).await.unwrap()
    }
}

/// Requests at a modest rate to the nodes of a roster.
pub fn load(roster: &Roster, path: &str, time: Duration) -> Plan {
    Plan {
        targets: roster
            .posts
            .iter()
            .map(|post| post.callers.clone())
            .collect(),
        paths: vec![path.into()],
        rate: 100.0,
        time,
        warm_up: Duration::ZERO,
        limit: Duration::from_secs(20),
        body_bytes: 0,
        keyed: false,
        seed: 7,
    }
}

/// The same as non-idempotent orders.
pub fn orders(roster: &Roster, path: &str, time: Duration) -> Plan {
    Plan {
        body_bytes: 64,
        seed: 8,
        ..load(roster, path, time)
    }
}

pub fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    response
        .headers()
        .get(name)
        .map_or("", |value| value.to_str().unwrap())
}
