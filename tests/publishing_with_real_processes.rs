//! Publishing by real nodes that are frozen, killed and cut off from the store.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

use std::path::Path;
use std::time::Duration;

use crank_engine::folder::{File, merge};
use crank_load::fleet::{Fleet, Layout, Signal, wait};
use crank_operator::Client;
use crank_platform_client::{Access, Condition, Error, Platform, Remote, folder, head, lease};
use crank_protocol::config::Digest;
use crank_protocol::status::{MeshStatus, NodeReport};
use crank_protocol::{Millis, Name};
use tempfile::TempDir;

const PATIENCE: Duration = Duration::from_secs(60);
const NODES: usize = 3;
const FILE: &str = "all.ini";

/// A mesh, and a client of its store that is not slowed down when the nodes are.
struct Scene {
    fleet: Fleet,
    store: Remote,
    account: Name,
    _home: TempDir,
}

impl Scene {
    async fn open() -> Self {
        let home = TempDir::new().unwrap();
        let programs = Path::new(env!("CARGO_BIN_EXE_crank-node"))
            .parent()
            .unwrap();
        let layout = Layout::new("sutkent", NODES, 1, NODES, &["recipes"]);
        let fleet = Fleet::start(layout, programs, home.path()).await.unwrap();
        let url = fleet.platform_url();
        let store = Remote::new(&Access {
            objects: url.as_str().into(),
            rows: url.as_str().into(),
            region: "region0".into(),
            bucket: "crank".into(),
            table: "crank".into(),
            access_key: "operator".into(),
            secret_key: "none".into(),
            timeout: Millis(10_000),
        });
        let scene = Self {
            fleet,
            store: store.unwrap(),
            account: Name::new("sutkent").unwrap(),
            _home: home,
        };
        scene.edit(1).await;
        scene.until_in_force(1).await;
        scene
    }

    async fn edit(&self, number: u32) {
        let text = text(number).into();
        let written = folder::write(&self.store, &self.account, FILE, text, Condition::Always);
        // The stand-in loses answers only of writes that took effect, the operator's too.
        let written = written.await;
        assert!(
            matches!(written, Ok(_) | Err(Error::AnswerLost { .. })),
            "{written:?}"
        );
    }

    async fn switch(&self, switches: &str) {
        self.fleet.switch(switches).await.unwrap();
    }

    /// What the platform has counted.
    async fn count(&self, pointer: &str) -> u64 {
        let counts = self.fleet.counts().await.unwrap();
        counts.pointer(pointer).unwrap().as_u64().unwrap()
    }

    async fn holder(&self) -> usize {
        let lease = lease::read(&self.store, &self.account)
            .await
            .unwrap()
            .unwrap();
        let placements = self.fleet.layout.placements.iter();
        let names: Vec<&str> = placements.map(|placement| &*placement.name).collect();
        let holder = names.iter().position(|name| *name == lease.holder.as_str());
        holder.unwrap()
    }

    async fn accepted(&self) -> Vec<u32> {
        let history = head::history(&self.store, &self.account, 100)
            .await
            .unwrap();
        let numbers = history
            .iter()
            .rev()
            .map(|entry| number_of(&entry.stamp.digest));
        numbers.collect()
    }

    async fn status(&self, asked: usize) -> Option<MeshStatus> {
        let client = Client::new(&self.fleet.nodes[asked].operators()).ok()?;
        client.status().await.ok()
    }

    /// Waits until a node says that an edit is in force on it and on all others that answer.
    async fn until_in_force_as_seen_by(&self, asked: usize, number: u32, nodes: usize) {
        let wanted = digest(number);
        let what = format!("edit {number} in force");
        let reached = wait(&what, PATIENCE, async || {
            let Some(mesh) = self.status(asked).await else {
                return false;
            };
            let holds = |answer: &&NodeReport| match answer {
                NodeReport::Node(node) => {
                    let applied = node.applied.as_ref();
                    node.ready && applied.is_some_and(|stamp| stamp.digest == wanted)
                }
                NodeReport::Silent(_) => false,
            };
            mesh.nodes.iter().filter(holds).count() == nodes
        });
        reached.await.unwrap();
    }

    async fn until_in_force(&self, number: u32) {
        self.until_in_force_as_seen_by(0, number, NODES).await;
    }
}

fn text(number: u32) -> String {
    format!("[account]\nname = sutkent\n[service recipes]\nslots = {number}\n")
}

fn digest(number: u32) -> Digest {
    let file = File {
        name: FILE.into(),
        content: text(number).into(),
    };
    crank_engine::config::digest(&merge(&[file]).unwrap().config)
}

fn number_of(given: &Digest) -> u32 {
    (1..=9).find(|number| digest(*number) == *given).unwrap()
}

#[tokio::test]
async fn a_publisher_frozen_past_its_lease_puts_nothing_old_back_when_it_wakes() {
    let scene = Scene::open().await;
    let holder = scene.holder().await;
    let other = (holder + 1) % NODES;
    scene.switch(r#"{"delays_ms": {"region0": 300}}"#).await;
    let reads = scene.count("/operations/GetObject").await;
    scene.edit(2).await;
    let read = async || scene.count("/operations/GetObject").await > reads;
    wait("the publisher's reading", PATIENCE, read)
        .await
        .unwrap();
    // It is now somewhere between its reading of the folder and its move of the head.
    scene.fleet.nodes[holder]
        .node
        .signal(Signal::Freeze)
        .unwrap();
    scene.switch(r#"{"delays_ms": {}}"#).await;
    scene.edit(3).await;
    scene.until_in_force_as_seen_by(other, 3, NODES - 1).await;
    scene.fleet.nodes[holder].node.signal(Signal::Wake).unwrap();
    scene.until_in_force(3).await;
    scene.edit(4).await;
    scene.until_in_force(4).await;
    let accepted = scene.accepted().await;
    assert!(accepted.is_sorted(), "{accepted:?}");
    assert!(accepted.ends_with(&[3, 4]), "{accepted:?}");
}

#[tokio::test]
async fn a_publisher_killed_between_object_and_head_is_replaced() {
    let scene = Scene::open().await;
    let holder = scene.holder().await;
    let other = (holder + 1) % NODES;
    scene
        .switch(r#"{"down_operations": ["TransactWriteItems"]}"#)
        .await;
    scene.edit(2).await;
    let object = format!("sutkent/configs/{}", digest(2));
    let written = wait("the object of edit 2", PATIENCE, async || {
        scene.store.read(&object).await.unwrap().is_some()
    });
    written.await.unwrap();
    scene.fleet.nodes[holder].node.signal(Signal::Kill).unwrap();
    assert_eq!(scene.accepted().await, [1]);
    scene.switch(r#"{"down_operations": []}"#).await;
    scene.until_in_force_as_seen_by(other, 2, NODES - 1).await;
    assert_eq!(scene.accepted().await, [1, 2]);
}

#[tokio::test]
async fn lost_answers_and_an_outage_give_each_edit_one_version() {
    let scene = Scene::open().await;
    scene.switch(r#"{"lose_answers": 13}"#).await;
    scene.edit(2).await;
    scene.until_in_force(2).await;
    scene.switch(r#"{"lose_answers": 0, "down": true}"#).await;
    let refused = async || scene.count("/refused").await > 10;
    wait("nodes that find the store down", PATIENCE, refused)
        .await
        .unwrap();
    let mesh = scene.status(0).await.unwrap();
    assert_eq!(mesh.nodes.len(), NODES);
    scene.switch(r#"{"down": false}"#).await;
    scene.edit(3).await;
    scene.until_in_force(3).await;
    assert_eq!(scene.accepted().await, [1, 2, 3]);
}
