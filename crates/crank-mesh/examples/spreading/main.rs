//! Measures convergence and control traffic of many meshes in one process, over loopback sockets.
//!
//! `cargo run --release -p crank-mesh --example spreading -- --nodes 48 --way bridges`

mod measure;
mod poll;
mod scene;

use std::io::Write;
use std::time::Duration;

use crank_mesh::{Direction, Reach, TrafficKind};
use gumdrop::Options;
use measure::Latencies;
use scene::Fleet;

/// The number of endpoint stage changes that are measured.
const STAGE_CHANGES: usize = 20;

/// The distribution strategies that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// Push along the overlay with bridges between regions, as the product does.
    Bridges,
    /// Push along an overlay that ignores regions.
    Flat,
    /// Every node polls the store.
    Poll,
}

impl std::str::FromStr for Strategy {
    type Err = UnknownStrategy;

    fn from_str(text: &str) -> Result<Self, UnknownStrategy> {
        match text {
            "bridges" => Ok(Self::Bridges),
            "flat" => Ok(Self::Flat),
            "poll" => Ok(Self::Poll),
            _ => Err(UnknownStrategy),
        }
    }
}

/// The error for an unknown strategy name.
#[derive(Debug)]
struct UnknownStrategy;

impl std::fmt::Display for UnknownStrategy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("use bridges, flat or poll")
    }
}

#[derive(Debug, Clone, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of nodes", default = "24")]
    nodes: usize,
    #[options(help = "number of regions", default = "2")]
    regions: usize,
    #[options(
        short = "w",
        long = "way",
        meta = "WAY",
        help = "distribution strategy: bridges, flat or poll",
        default = "bridges"
    )]
    strategy: Strategy,
    #[options(help = "number of configuration changes", default = "40")]
    changes: u64,
    #[options(help = "milliseconds between changes", default = "500")]
    interval: u64,
    #[options(help = "seconds to wait before the idle measurement", default = "30")]
    settle: u64,
    #[options(help = "seconds of the idle measurement", default = "30")]
    rest: u64,
    #[options(help = "milliseconds between two polls of a node", default = "1000")]
    period: u64,
    #[options(help = "number of nodes to restart at once at the end", default = "0")]
    herd: usize,
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut out = std::io::stdout();
    let result = match arguments.strategy {
        Strategy::Poll => poll::run(&arguments, &mut out).await,
        Strategy::Bridges | Strategy::Flat => push(&arguments, &mut out).await,
    };
    if let Err(error) = result {
        let _ = writeln!(std::io::stderr(), "{error}");
        std::process::exit(1);
    }
}

/// Measures a strategy that pushes changes between the nodes.
async fn push(arguments: &Arguments, out: &mut impl Write) -> std::io::Result<()> {
    let mut fleet = Fleet::start(arguments).await?;
    let count = arguments.nodes;
    let strategy = arguments.strategy;
    writeln!(
        out,
        "{strategy:?} nodes={count} joined_ms={}",
        fleet.joined.as_millis()
    )?;

    let rest = Duration::from_secs(arguments.rest);
    let before = fleet.control_bytes();
    let cpu = measure::cpu_seconds();
    tokio::time::sleep(rest).await;
    let cpu_spent = measure::cpu_seconds() - cpu;
    let idle_bytes = fleet.control_bytes().since(&before);
    idle_bytes.print(out, "rest", count, rest)?;
    let share = 100.0 * cpu_spent / rest.as_secs_f64() / as_f64(count);
    let memory = measure::resident_bytes() / count;
    writeln!(
        out,
        "rest cpu_percent_of_a_core_per_node={share:.3} rss_per_node={memory}"
    )?;

    let before = fleet.control_bytes();
    let started = std::time::Instant::now();
    let latencies = fleet.apply_changes(arguments).await;
    let elapsed = started.elapsed();
    let change_bytes = fleet.control_bytes().since(&before);
    latencies.print(out, "change")?;
    change_bytes.print(out, "changing", count, elapsed)?;
    let far_bytes = fleet.far_delta_bytes(&change_bytes) / as_f64(arguments.changes as usize);
    writeln!(out, "change far_delta_bytes_per_change={far_bytes:.0}")?;

    let before = fleet.control_bytes();
    let latencies = fleet.change_stages(STAGE_CHANGES).await;
    latencies.print(out, "stage")?;
    let bytes = fleet.control_bytes().since(&before);
    let per_node =
        bytes.sum(|kind, _, _| kind == TrafficKind::News) / as_f64(STAGE_CHANGES) / as_f64(count);
    let is_far_news = |kind, reach, direction| {
        kind == TrafficKind::News && reach == Reach::Far && direction == Direction::Sent
    };
    let far = bytes.sum(is_far_news) / as_f64(STAGE_CHANGES);
    writeln!(
        out,
        "stage news_bytes_per_node_per_stage={per_node:.0} far_news_bytes_per_stage={far:.0}"
    )?;
    if arguments.herd > 0 {
        fleet.restart_nodes(arguments.herd, out).await?;
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn as_f64(count: usize) -> f64 {
    count as f64
}

/// Returns a quantile of latencies in milliseconds.
fn milliseconds(latencies: &Latencies, quantile: f64) -> f64 {
    as_f64(latencies.at(quantile)) / 1_000.0
}
