//! Helpers for tests with many meshes in one process.
#![allow(clippy::unwrap_used, dead_code, missing_docs, unreachable_pub)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crank_engine::config::digest;
use crank_mesh::{BlockedAddresses, Handle, Settings, start};
use crank_protocol::config::{
    Config, Importance, Method, Owner, Route, Service, Snapshot, Stamp, Version,
};
use crank_protocol::member::Place;
use crank_protocol::{Millis, Name, Permille};
use tokio::sync::mpsc;

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub struct Node {
    pub mesh: Handle,
    pub blocked: BlockedAddresses,
    pub settings: Settings,
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Returns the settings of node `index` of a fleet with this number of regions, each with two data
/// centres.
pub fn settings(index: usize, regions: usize, seeds: Vec<SocketAddr>) -> Settings {
    let region = format!("region-{}", index % regions);
    let data_centre = format!("{region}-{}", (index / regions) % 2);
    let place = Place {
        region: name(&region),
        data_centre: name(&data_centre),
    };
    let id = name(&format!("node-{index:03}"));
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings::new(name("sutkent"), id, place, listen)
        .with_seeds(seeds)
        .with_random_seed(index as u64)
}

pub async fn start_node(settings: Settings) -> Node {
    let (calls, _accepted) = mpsc::channel(16);
    let blocked = BlockedAddresses::default();
    let settings = settings.with_blocked_addresses(blocked.clone());
    let mesh = start(settings.clone(), calls).await.unwrap();
    Node {
        mesh,
        blocked,
        settings,
    }
}

pub async fn start_fleet(count: usize, regions: usize) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for index in 0..count {
        let seeds = nodes.iter().take(3).map(|node| node.mesh.address());
        nodes.push(start_node(settings(index, regions, seeds.collect())).await);
    }
    nodes
}

/// Waits until a condition holds; panics after a timeout that only a failing test reaches.
pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting for {description}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub fn sees_reachable_members(node: &Node, count: usize) -> bool {
    let view = node.mesh.view().borrow().clone();
    view.members()
        .filter(|member| view.is_reachable(member))
        .count()
        == count
}

pub fn config_version(node: &Node) -> Option<u64> {
    let config = node.mesh.config().borrow().clone();
    config.map(|snapshot| snapshot.stamp.version.0)
}

/// Returns a configuration with one service and as many routes as its version number.
pub fn snapshot(version: u64) -> Snapshot {
    let service = Service {
        slots: 6,
        connections: 110,
        queue: 12,
        timeout: Millis(1_000),
        retry_budget: Permille(100),
        importance: Importance::Normal,
        warm_up: Millis(0),
        drain_grace: Millis(5_000),
        objective: None,
        health: None,
    };
    let route = |index: u64| Route {
        path: format!("/recipes/{index}").into(),
        methods: [Method::Get].into(),
        service: name("recipes"),
        timeout: None,
        idempotent: true,
        once: false,
        host: None,
        split: Vec::new(),
        attempts: None,
        importance: None,
        latency: None,
        public: false,
    };
    let routes: BTreeMap<Name, Route> = (0..version)
        .map(|index| (name(&format!("route-{index}")), route(index)))
        .collect();
    let config = Config {
        account: Owner {
            name: name("sutkent"),
            notice_ends: None,
        },
        services: [(name("recipes"), service)].into(),
        routes,
        clients: Default::default(),
        limits: Default::default(),
    };
    let stamp = Stamp {
        version: Version(version),
        digest: digest(&config),
    };
    Snapshot { stamp, config }
}
