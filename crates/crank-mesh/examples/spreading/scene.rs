//! A fleet of meshes and the scenarios that are measured on it.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crank_engine::config::digest;
use crank_engine::overlay;
use crank_mesh::{Direction, Handle, Reach, Settings, StoreHead, TrafficKind, start};
use crank_protocol::config::{
    Config, Importance, Method, Owner, Route, Service, Snapshot, Stamp, Version,
};
use crank_protocol::member::{Endpoint, Place, Stage, State};
use crank_protocol::{Millis, Name, Permille};
use tokio::sync::mpsc;

use crate::measure::{Bytes, Latencies};
use crate::{Arguments, Strategy};

/// The number of data centres of a region in the largest deployment designed for.
const DATA_CENTRES: usize = 4;
/// The number of nodes through which the others join.
const SEEDS: usize = 5;
const SERVICES: usize = 59;
const ROUTES: usize = 177;
/// How long a scenario may take.
const TIMEOUT: Duration = Duration::from_secs(120);
/// The interval of the checks whether an announcement has arrived.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The nodes of a fleet.
pub(crate) struct Fleet {
    nodes: Vec<Node>,
    strategy: Strategy,
    seeds: Vec<SocketAddr>,
    version: u64,
    /// How long it took until every node knew all others.
    pub(crate) joined: Duration,
}

struct Node {
    mesh: Handle,
    settings: Settings,
    region: usize,
}

impl Fleet {
    /// Starts the nodes, waits until each knows all others and has the first version, and lets the
    /// traffic settle.
    pub(crate) async fn start(arguments: &Arguments) -> std::io::Result<Self> {
        let started = Instant::now();
        let mut fleet = Self {
            nodes: Vec::new(),
            strategy: arguments.strategy,
            seeds: Vec::new(),
            version: 1,
            joined: Duration::ZERO,
        };
        for index in 0..arguments.nodes {
            let region = index % arguments.regions;
            let node = fleet.start_node(index, region).await?;
            if index < SEEDS {
                fleet.seeds.push(node.mesh.address());
            }
            fleet.nodes.push(node);
        }
        fleet
            .wait(|fleet| fleet.nodes.iter().all(|node| fleet.knows_all_nodes(node)))
            .await?;
        fleet.joined = started.elapsed();
        let first = snapshot(1);
        let _ = fleet.nodes[0].mesh.apply_snapshot(first.clone()).await;
        for node in &fleet.nodes {
            let _ = node
                .mesh
                .report_head(StoreHead::Accepted(first.stamp.clone()))
                .await;
        }
        fleet
            .wait(|fleet| fleet.nodes.iter().all(|node| version(&node.mesh) == 1))
            .await?;
        tokio::time::sleep(Duration::from_secs(arguments.settle)).await;
        Ok(fleet)
    }

    async fn start_node(&self, index: usize, region: usize) -> std::io::Result<Node> {
        let reported_region = match self.strategy {
            Strategy::Flat => 0,
            Strategy::Bridges | Strategy::Poll => region,
        };
        let data_centre = (index / 2) % DATA_CENTRES;
        let place = Place {
            region: name(&format!("region-{reported_region}")),
            data_centre: name(&format!("region-{region}-{data_centre}")),
        };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let id = name(&format!("node-{index:04}"));
        let settings = Settings::new(name("sutkent"), id, place, listen)
            .with_seeds(self.seeds.clone())
            .with_random_seed(index as u64);
        let (calls, _accepted) = mpsc::channel(1);
        let mesh = start(settings.clone(), calls).await;
        let mesh = mesh.map_err(std::io::Error::other)?;
        Ok(Node {
            mesh,
            settings,
            region,
        })
    }

    fn knows_all_nodes(&self, node: &Node) -> bool {
        let view = node.mesh.view().borrow().clone();
        let alive = view.members().filter(|member| member.state == State::Alive);
        alive.count() == self.nodes.len()
    }

    /// Returns how many entries of the member tables are missing, suspect or dead, as an error
    /// text.
    fn describe_gaps(&self) -> String {
        let (mut missing, mut suspect, mut dead) = (0, 0, 0);
        for node in &self.nodes {
            let view = node.mesh.view().borrow().clone();
            missing += self.nodes.len().saturating_sub(view.members().count());
            for member in view.members() {
                suspect += usize::from(member.state == State::Suspect);
                dead += usize::from(member.state == State::Dead);
            }
        }
        format!("timed out: {missing} missing, {suspect} suspect, {dead} dead member table entries")
    }

    async fn wait(&self, condition: impl Fn(&Self) -> bool) -> std::io::Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        while !condition(self) {
            if Instant::now() > deadline {
                return Err(std::io::Error::other(self.describe_gaps()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Returns the control bytes of all nodes.
    pub(crate) fn control_bytes(&self) -> Bytes {
        let mut bytes = Bytes::default();
        for node in &self.nodes {
            node.mesh
                .traffic()
                .byte_counts()
                .for_each(|count| bytes.add(count));
        }
        bytes
    }

    /// Publishes changes at one node, and measures when each is in force on each node.
    pub(crate) async fn apply_changes(&mut self, arguments: &Arguments) -> Latencies {
        let (sender, mut seen) = mpsc::unbounded_channel();
        for node in &self.nodes {
            let mut config = node.mesh.config();
            let sender = sender.clone();
            tokio::spawn(async move {
                while config.changed().await.is_ok() {
                    let version = config
                        .borrow_and_update()
                        .as_ref()
                        .map_or(0, |s| s.stamp.version.0);
                    if sender.send((version, Instant::now())).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        let mut offered = BTreeMap::new();
        let mut latencies = Latencies::default();
        for _ in 0..arguments.changes {
            self.version += 1;
            let next = snapshot(self.version);
            offered.insert(self.version, Instant::now());
            let _ = self.nodes[0].mesh.apply_snapshot(next).await;
            tokio::time::sleep(Duration::from_millis(arguments.interval)).await;
        }
        let target_version = self.version;
        let _ = self
            .wait(|fleet| {
                fleet
                    .nodes
                    .iter()
                    .all(|node| version(&node.mesh) == target_version)
            })
            .await;
        while let Ok((version, at)) = seen.try_recv() {
            if let Some(since) = offered.get(&version) {
                latencies.record(*since, at);
            }
        }
        latencies
    }

    /// Returns the delta bytes sent between regions.
    ///
    /// If the overlay ignores regions, they are estimated from the share of its connections that
    /// cross regions.
    pub(crate) fn far_delta_bytes(&self, bytes: &Bytes) -> f64 {
        let sent = |selected: Reach| {
            bytes.sum(|kind, reach, direction| {
                kind == TrafficKind::Delta && reach == selected && direction == Direction::Sent
            })
        };
        match self.strategy {
            Strategy::Flat => sent(Reach::Near) * self.far_connection_share(),
            Strategy::Bridges | Strategy::Poll => sent(Reach::Far),
        }
    }

    fn far_connection_share(&self) -> f64 {
        let regions: BTreeMap<&Name, usize> = self
            .nodes
            .iter()
            .map(|node| (&node.settings.id, node.region))
            .collect();
        let view = self.nodes[0].mesh.view().borrow().clone();
        let mut connections = BTreeSet::new();
        for member in view.members() {
            for other in overlay::neighbours(member, view.members()) {
                let pair = if member.id < other.id {
                    (&member.id, &other.id)
                } else {
                    (&other.id, &member.id)
                };
                connections.insert(pair);
            }
        }
        let far_connections = connections
            .iter()
            .filter(|(a, b)| regions.get(a) != regions.get(b));
        crate::as_f64(far_connections.count()) / crate::as_f64(connections.len())
    }

    /// Changes the stage of backend servers, and measures when each node knows it.
    pub(crate) async fn change_stages(&self, count: usize) -> Latencies {
        let mut latencies = Latencies::default();
        for index in 0..count {
            let announcer = &self.nodes[index % self.nodes.len()];
            let endpoint = Some(Endpoint {
                service: name("recipes"),
                stage: if index % 2 == 0 {
                    Stage::Ready
                } else {
                    Stage::Draining
                },
                slots: 6 + u32::try_from(index).unwrap_or(0),
                release: None,
            });
            let since = Instant::now();
            let _ = announcer.mesh.announce_endpoint(endpoint.clone()).await;
            let mut waiting: Vec<&Node> = self.nodes.iter().collect();
            while !waiting.is_empty() && since.elapsed() < TIMEOUT {
                waiting.retain(|node| {
                    let view = node.mesh.view().borrow().clone();
                    let known = view.get(&announcer.settings.id);
                    let is_current = known.is_some_and(|member| member.endpoint == endpoint);
                    if is_current {
                        latencies.record(since, Instant::now());
                    }
                    !is_current
                });
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
        latencies
    }

    /// Stops nodes, restarts them all at once, and measures when each is ready again.
    pub(crate) async fn restart_nodes(
        &mut self,
        count: usize,
        out: &mut impl Write,
    ) -> std::io::Result<()> {
        let target_version = self.version;
        let first = self.nodes.len() - count.min(self.nodes.len() - SEEDS);
        let stopped: Vec<Node> = self.nodes.drain(first..).collect();
        let restarts: Vec<(usize, usize)> = stopped
            .iter()
            .enumerate()
            .map(|(offset, node)| (first + offset, node.region))
            .collect();
        drop(stopped);
        let before = self.control_bytes();
        let head = snapshot(target_version).stamp;
        let since = Instant::now();
        let (sender, mut ready) = mpsc::unbounded_channel();
        for (index, region) in restarts {
            let node = self.start_node(index, region).await?;
            let _ = node
                .mesh
                .report_head(StoreHead::Accepted(head.clone()))
                .await;
            let (mut is_ready, sender) = (node.mesh.ready(), sender.clone());
            tokio::spawn(async move {
                if is_ready.wait_for(|ready| *ready).await.is_ok() {
                    let _ = sender.send(Instant::now());
                }
            });
            self.nodes.push(node);
        }
        drop(sender);
        let mut latencies = Latencies::default();
        while let Ok(Some(at)) = tokio::time::timeout(TIMEOUT, ready.recv()).await {
            latencies.record(since, at);
        }
        latencies.print(out, "herd ready")?;
        self.wait(|fleet| fleet.nodes.iter().all(|node| fleet.knows_all_nodes(node)))
            .await?;
        writeln!(out, "herd full_tables_ms={}", since.elapsed().as_millis())?;
        let elapsed = since.elapsed();
        self.control_bytes()
            .since(&before)
            .print(out, "herd", self.nodes.len(), elapsed)
    }
}

pub(crate) fn name(text: &str) -> Name {
    match Name::new(text) {
        Ok(name) => name,
        Err(error) => unreachable!("{error}"),
    }
}

fn version(mesh: &Handle) -> u64 {
    let config = mesh.config().borrow().clone();
    config.map_or(0, |snapshot| snapshot.stamp.version.0)
}

/// Returns a configuration of the size in the requirements; each version changes one route.
pub(crate) fn snapshot(version: u64) -> Snapshot {
    let service = |index: usize| Service {
        slots: 6,
        connections: 110,
        queue: 12,
        timeout: Millis(1_000 + index as u64),
        retry_budget: Permille(100),
        importance: Importance::Normal,
        warm_up: Millis(5_000),
        drain_grace: Millis(30_000),
        objective: None,
        health: None,
    };
    let route = |index: usize| Route {
        path: format!("/service-{}/part-{index}", index % SERVICES).into(),
        methods: [Method::Get, Method::Post].into(),
        service: name(&format!("service-{}", index % SERVICES)),
        timeout: (index as u64 == version % ROUTES as u64).then_some(Millis(version)),
        idempotent: index.is_multiple_of(2),
        once: !index.is_multiple_of(2),
        host: None,
        split: Vec::new(),
        attempts: None,
        importance: None,
        latency: None,
        public: false,
    };
    let config = Config {
        account: Owner {
            name: name("sutkent"),
            notice_ends: None,
        },
        services: (0..SERVICES)
            .map(|index| (name(&format!("service-{index}")), service(index)))
            .collect(),
        routes: (0..ROUTES)
            .map(|index| (name(&format!("route-{index}")), route(index)))
            .collect(),
        clients: Default::default(),
        limits: Default::default(),
    };
    let stamp = Stamp {
        version: Version(version),
        digest: digest(&config),
    };
    Snapshot { stamp, config }
}
