//! What a node costs in fleets of different sizes: slopes, not points.

use std::path::Path;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::control::{self, Bytes};
use crate::fleet::{Fleet, Layout, Signal};
use crate::roster::Roster;
use crate::{Error, converge, folder, usage};

const REGIONS: usize = 2;
const DATA_CENTRES: usize = 8;
const SERVICES: usize = 59;
/// There and back between regions, for the nodes that do not stand where the store does.
const STORE_DELAYS: &str = r#"{"delays_ms": {"region1": 16}}"#;
const HERD_DATA_CENTRE: &str = "dc1";
const READY_LIMIT: Duration = Duration::from_secs(120);
const SETTLE: Duration = Duration::from_secs(10);
const EDIT_PAUSE: Duration = Duration::from_millis(500);
const EDIT_LIMIT: Duration = Duration::from_secs(30);
const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;

/// What is measured at each size.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The number of nodes.
    pub nodes: usize,
    /// How long the fleet is watched at rest, and during an outage of the store.
    pub rest: Duration,
    /// The number of edits.
    pub edits: u64,
}

/// What a node spends while a fleet is in one condition.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spending {
    /// Control bytes that a node sends in a second.
    pub bytes_per_second: f64,
    /// Those of them that go to another region.
    pub far_bytes_per_second: f64,
    /// The share of a core that a node uses, in percent.
    pub core_percent: f64,
}

/// What one size showed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// The number of nodes.
    pub nodes: usize,
    /// A node at rest.
    pub rest: Spending,
    /// A node while the store is down.
    pub outage: Spending,
    /// How long edits took to be in force everywhere.
    pub edits: converge::Figures,
    /// Control bytes that one edit cost a node, beyond rest.
    pub bytes_per_edit: f64,
    /// Bytes between regions that one edit cost the whole fleet, beyond rest.
    pub far_bytes_per_edit: f64,
    /// How long a data centre that restarted at once took to be ready.
    pub herd_ms: u64,
    /// Reads that the herd cost the store.
    pub herd_reads: u64,
    /// Writes that the herd cost the store.
    pub herd_writes: u64,
    /// Resident memory of a node, in megabytes.
    pub resident_megabytes: f64,
}

/// Starts a fleet of one size, measures it, and stops it.
///
/// # Errors
/// Whatever kept the fleet from running.
///
/// ```no_run
/// # use std::{path::Path, time::Duration};
/// # use crank_load::{Error, capacity::{self, Plan}};
/// # async fn example() -> Result<(), Error> {
/// let plan = Plan { nodes: 24, rest: Duration::from_secs(20), edits: 20 };
/// let figures = capacity::run(&plan, Path::new("target/release"), Path::new("/tmp/fleet")).await?;
/// assert_eq!(figures.nodes, 24);
/// # Ok(())
/// # }
/// ```
pub async fn run(plan: &Plan, programs: &Path, directory: &Path) -> Result<Figures, Error> {
    let names: Vec<String> = (0..SERVICES)
        .map(|number| format!("service{number}"))
        .collect();
    let services: Vec<&str> = names.iter().map(String::as_str).collect();
    let layout = Layout::new("sutkent", plan.nodes, REGIONS, DATA_CENTRES, &services);
    let mut fleet = Fleet::start(layout, programs, directory).await?;
    fleet.switch(STORE_DELAYS).await?;
    folder::fill(&fleet, &services).await?;
    let roster = Roster::new(&fleet)?;
    roster.ready(READY_LIMIT).await?;
    tokio::time::sleep(SETTLE).await;

    let rest = watch(&roster, plan.rest).await;
    let (edits, bytes_per_edit, far_bytes_per_edit) = edit(plan, &roster, rest).await?;
    fleet.switch(r#"{"down": true}"#).await?;
    let outage = watch(&roster, plan.rest).await;
    fleet.switch(r#"{"down": false}"#).await?;
    tokio::time::sleep(SETTLE).await;
    let resident_megabytes = resident(&roster);
    let herd = herd(&mut fleet).await?;
    Ok(Figures {
        nodes: plan.nodes,
        rest,
        outage,
        edits,
        bytes_per_edit,
        far_bytes_per_edit,
        herd_ms: u64::try_from(herd.took.as_millis()).unwrap_or(u64::MAX),
        herd_reads: herd.reads,
        herd_writes: herd.writes,
        resident_megabytes,
    })
}

struct Reading {
    at: Instant,
    bytes: Bytes,
    processor_seconds: f64,
}

async fn reading(roster: &Roster) -> Reading {
    let used = roster
        .posts
        .iter()
        .filter_map(|post| usage::read(post.process));
    Reading {
        at: Instant::now(),
        processor_seconds: used.map(|usage| usage.processor_seconds).sum(),
        bytes: control::read(roster).await,
    }
}

async fn watch(roster: &Roster, time: Duration) -> Spending {
    let before = reading(roster).await;
    tokio::time::sleep(time).await;
    let after = reading(roster).await;
    let node_seconds = (after.at - before.at).as_secs_f64() * roster.posts.len() as f64;
    let sent = after.bytes.since(&before.bytes);
    let used = after.processor_seconds - before.processor_seconds;
    Spending {
        bytes_per_second: sent.total() as f64 / node_seconds,
        far_bytes_per_second: far(&sent) as f64 / node_seconds,
        core_percent: used / node_seconds * 100.0,
    }
}

fn far(bytes: &Bytes) -> u64 {
    bytes
        .0
        .iter()
        .filter(|(kind, _)| kind.ends_with(" far"))
        .map(|(_, bytes)| bytes)
        .sum()
}

async fn edit(
    plan: &Plan,
    roster: &Roster,
    rest: Spending,
) -> Result<(converge::Figures, f64, f64), Error> {
    let before = reading(roster).await;
    let edits = converge::run(&converge::Plan {
        roster: roster.clone(),
        service: "service0".into(),
        changes: plan.edits,
        pause: EDIT_PAUSE,
        limit: EDIT_LIMIT,
    })
    .await?;
    let after = reading(roster).await;
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = roster.posts.len() as f64;
    let sent = after.bytes.since(&before.bytes);
    let a_node = sent.total() as f64 / nodes - rest.bytes_per_second * seconds;
    let all_far = far(&sent) as f64 - rest.far_bytes_per_second * seconds * nodes;
    Ok((
        edits,
        a_node / plan.edits as f64,
        all_far / plan.edits as f64,
    ))
}

fn resident(roster: &Roster) -> f64 {
    let used = roster
        .posts
        .iter()
        .filter_map(|post| usage::read(post.process));
    let bytes: u64 = used.map(|usage| usage.resident_bytes).sum();
    bytes as f64 / BYTES_PER_MEGABYTE / roster.posts.len() as f64
}

struct Herd {
    took: Duration,
    reads: u64,
    writes: u64,
}

/// Kills a whole data centre's nodes and starts them anew.
async fn herd(fleet: &mut Fleet) -> Result<Herd, Error> {
    let placements = fleet.layout.placements.iter().enumerate();
    let herd: Vec<usize> = placements
        .filter(|(_, placement)| &*placement.data_centre == HERD_DATA_CENTRE)
        .map(|(index, _)| index)
        .collect();
    let before = fleet.counts().await?;
    for index in &herd {
        fleet.nodes[*index].node.signal(Signal::Kill)?;
    }
    let began = Instant::now();
    for index in herd {
        fleet.restart(index).await?;
    }
    Roster::new(fleet)?.ready(READY_LIMIT).await?;
    let after = fleet.counts().await?;
    let grown = |name: &str| after[name].as_u64().unwrap_or(0) - before[name].as_u64().unwrap_or(0);
    Ok(Herd {
        took: began.elapsed(),
        reads: grown("reads"),
        writes: grown("writes"),
    })
}
