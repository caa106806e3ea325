//! A fleet of meshes and the work that is put on it.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crank_engine::config::digest;
use crank_engine::overlay;
use crank_mesh::{Direction, Handle, Reach, Settings, StoreHead, TrafficKind, start};
use crank_protocol::config::{
    Account, Config, Importance, Method, Route, Service, Snapshot, Stamp, Version,
};
use crank_protocol::member::{Endpoint, Place, Stage, State};
use crank_protocol::{Millis, Name, Permille};
use tokio::sync::mpsc;

use crate::measure::{Bytes, Latencies};
use crate::{Arguments, Way};

/// Data centres of a region at the size to design for.
const DATA_CENTRES: usize = 4;
const SEEDS: usize = 5;
const SERVICES: usize = 59;
const ROUTES: usize = 177;
const PATIENCE: Duration = Duration::from_secs(120);
const LOOK: Duration = Duration::from_millis(1);

pub(crate) struct Fleet {
    nodes: Vec<Node>,
    way: Way,
    seeds: Vec<SocketAddr>,
    version: u64,
    pub(crate) joined: Duration,
}

struct Node {
    mesh: Handle,
    settings: Settings,
    region: usize,
}

impl Fleet {
    /// Starts the nodes, and waits until each knows all and things are quiet.
    pub(crate) async fn start(arguments: &Arguments) -> std::io::Result<Self> {
        let began = Instant::now();
        let mut fleet = Self {
            nodes: Vec::new(),
            way: arguments.way,
            seeds: Vec::new(),
            version: 1,
            joined: Duration::ZERO,
        };
        for index in 0..arguments.nodes {
            let region = index % arguments.regions;
            let node = fleet.launch(index, region).await?;
            if index < SEEDS {
                fleet.seeds.push(node.mesh.address());
            }
            fleet.nodes.push(node);
        }
        fleet
            .wait(|fleet| fleet.nodes.iter().all(|node| fleet.is_full(node)))
            .await?;
        fleet.joined = began.elapsed();
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

    async fn launch(&self, index: usize, region: usize) -> std::io::Result<Node> {
        let shown = match self.way {
            Way::Flat => 0,
            Way::Bridges | Way::Poll => region,
        };
        let data_centre = (index / 2) % DATA_CENTRES;
        let place = Place {
            region: name(&format!("region-{shown}")),
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

    fn is_full(&self, node: &Node) -> bool {
        let view = node.mesh.view().borrow().clone();
        let alive = view.members().filter(|member| member.state == State::Alive);
        alive.count() == self.nodes.len()
    }

    /// How many beliefs are missing or not of life.
    fn gaps(&self) -> String {
        let (mut missing, mut suspect, mut dead) = (0, 0, 0);
        for node in &self.nodes {
            let view = node.mesh.view().borrow().clone();
            missing += self.nodes.len().saturating_sub(view.members().count());
            for member in view.members() {
                suspect += usize::from(member.state == State::Suspect);
                dead += usize::from(member.state == State::Dead);
            }
        }
        format!("timed out: {missing} missing, {suspect} suspect, {dead} dead of all beliefs")
    }

    async fn wait(&self, condition: impl Fn(&Self) -> bool) -> std::io::Result<()> {
        let deadline = Instant::now() + PATIENCE;
        while !condition(self) {
            if Instant::now() > deadline {
                return Err(std::io::Error::other(self.gaps()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    pub(crate) fn usage(&self) -> Bytes {
        let mut bytes = Bytes::default();
        for node in &self.nodes {
            node.mesh
                .traffic()
                .byte_counts()
                .for_each(|usage| bytes.add(usage));
        }
        bytes
    }

    /// Publishes changes at one node, and notes when each node has each in force.
    pub(crate) async fn change(&mut self, arguments: &Arguments) -> Latencies {
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
        let wanted = self.version;
        let _ = self
            .wait(|fleet| fleet.nodes.iter().all(|node| version(&node.mesh) == wanted))
            .await;
        while let Ok((version, at)) = seen.try_recv() {
            if let Some(since) = offered.get(&version) {
                latencies.record(*since, at);
            }
        }
        latencies
    }

    /// The bytes of deltas that crossed regions; without regions in the overlay, by the share of
    /// its connections that cross.
    pub(crate) fn crossing(&self, bytes: &Bytes) -> f64 {
        let sent = |wanted: Reach| {
            bytes.of(|kind, reach, direction| {
                kind == TrafficKind::Delta && reach == wanted && direction == Direction::Sent
            })
        };
        match self.way {
            Way::Flat => sent(Reach::Near) * self.crossing_share(),
            Way::Bridges | Way::Poll => sent(Reach::Far),
        }
    }

    fn crossing_share(&self) -> f64 {
        let regions: BTreeMap<&Name, usize> = self
            .nodes
            .iter()
            .map(|node| (&node.settings.id, node.region))
            .collect();
        let view = self.nodes[0].mesh.view().borrow().clone();
        let mut links = BTreeSet::new();
        for member in view.members() {
            for other in overlay::neighbours(member, view.members()) {
                let pair = if member.id < other.id {
                    (&member.id, &other.id)
                } else {
                    (&other.id, &member.id)
                };
                links.insert(pair);
            }
        }
        let across = links
            .iter()
            .filter(|(a, b)| regions.get(a) != regions.get(b));
        crate::as_f64(across.count()) / crate::as_f64(links.len())
    }

    /// Changes the stage of backend servers, and notes when each node knows.
    pub(crate) async fn stages(&self, count: usize) -> Latencies {
        let mut latencies = Latencies::default();
        for turn in 0..count {
            let announcer = &self.nodes[turn % self.nodes.len()];
            let endpoint = Some(Endpoint {
                service: name("recipes"),
                stage: if turn % 2 == 0 {
                    Stage::Ready
                } else {
                    Stage::Draining
                },
                slots: 6 + u32::try_from(turn).unwrap_or(0),
            });
            let since = Instant::now();
            let _ = announcer.mesh.announce_endpoint(endpoint.clone()).await;
            let mut waiting: Vec<&Node> = self.nodes.iter().collect();
            while !waiting.is_empty() && since.elapsed() < PATIENCE {
                waiting.retain(|node| {
                    let view = node.mesh.view().borrow().clone();
                    let told = view.get(&announcer.settings.id);
                    let knows = told.is_some_and(|member| member.endpoint == endpoint);
                    if knows {
                        latencies.record(since, Instant::now());
                    }
                    !knows
                });
                tokio::time::sleep(LOOK).await;
            }
        }
        latencies
    }

    /// Kills nodes and starts them again at once, and notes when each is ready again.
    pub(crate) async fn herd(&mut self, count: usize, out: &mut impl Write) -> std::io::Result<()> {
        let wanted = self.version;
        let first = self.nodes.len() - count.min(self.nodes.len() - SEEDS);
        let killed: Vec<Node> = self.nodes.drain(first..).collect();
        let plans: Vec<(usize, usize)> = killed
            .iter()
            .enumerate()
            .map(|(offset, node)| (first + offset, node.region))
            .collect();
        drop(killed);
        let before = self.usage();
        let head = snapshot(wanted).stamp;
        let since = Instant::now();
        let (sender, mut ready) = mpsc::unbounded_channel();
        for (index, region) in plans {
            let node = self.launch(index, region).await?;
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
        while let Ok(Some(at)) = tokio::time::timeout(PATIENCE, ready.recv()).await {
            latencies.record(since, at);
        }
        latencies.print(out, "herd ready")?;
        self.wait(|fleet| fleet.nodes.iter().all(|node| fleet.is_full(node)))
            .await?;
        writeln!(out, "herd full_tables_ms={}", since.elapsed().as_millis())?;
        let time = since.elapsed();
        self.usage()
            .since(&before)
            .print(out, "herd", self.nodes.len(), time)
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

/// A configuration of the letter's size, of which each version changes one route.
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
    };
    let config = Config {
        account: Account {
            name: name("sutkent"),
            notice_ends: None,
        },
        services: (0..SERVICES)
            .map(|index| (name(&format!("service-{index}")), service(index)))
            .collect(),
        routes: (0..ROUTES)
            .map(|index| (name(&format!("route-{index}")), route(index)))
            .collect(),
    };
    let stamp = Stamp {
        version: Version(version),
        digest: digest(&config),
    };
    Snapshot { stamp, config }
}
