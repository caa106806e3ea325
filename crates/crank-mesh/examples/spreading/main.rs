//! Convergence and control bytes of many meshes in one process, over real sockets on loopback.
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

const STAGES: usize = 20;

/// The ways of spreading that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Push along the overlay, with bridges between regions: the product.
    Bridges,
    /// Push along an overlay that knows no regions.
    Flat,
    /// Every node polls the store.
    Poll,
}

impl std::str::FromStr for Way {
    type Err = UnknownWay;

    fn from_str(text: &str) -> Result<Self, UnknownWay> {
        match text {
            "bridges" => Ok(Self::Bridges),
            "flat" => Ok(Self::Flat),
            "poll" => Ok(Self::Poll),
            _ => Err(UnknownWay),
        }
    }
}

/// A way that does not exist.
#[derive(Debug)]
struct UnknownWay;

impl std::fmt::Display for UnknownWay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("use bridges, flat or poll")
    }
}

#[derive(Debug, Clone, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "nodes", default = "24")]
    nodes: usize,
    #[options(help = "regions", default = "2")]
    regions: usize,
    #[options(help = "bridges, flat or poll", default = "bridges")]
    way: Way,
    #[options(help = "configuration changes", default = "40")]
    changes: u64,
    #[options(help = "milliseconds between changes", default = "500")]
    interval: u64,
    #[options(help = "seconds before things count as at rest", default = "30")]
    settle: u64,
    #[options(help = "seconds at rest", default = "30")]
    rest: u64,
    #[options(help = "milliseconds between two polls of a node", default = "1000")]
    period: u64,
    #[options(help = "nodes that restart at once at the end", default = "0")]
    herd: usize,
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut out = std::io::stdout();
    let result = match arguments.way {
        Way::Poll => poll::run(&arguments, &mut out).await,
        Way::Bridges | Way::Flat => push(&arguments, &mut out).await,
    };
    if let Err(error) = result {
        let _ = writeln!(std::io::stderr(), "{error}");
        std::process::exit(1);
    }
}

async fn push(arguments: &Arguments, out: &mut impl Write) -> std::io::Result<()> {
    let mut fleet = Fleet::start(arguments).await?;
    let count = arguments.nodes;
    let way = arguments.way;
    writeln!(
        out,
        "{way:?} nodes={count} joined_ms={}",
        fleet.joined.as_millis()
    )?;

    let rest = Duration::from_secs(arguments.rest);
    let before = fleet.usage();
    let cpu = measure::cpu_seconds();
    tokio::time::sleep(rest).await;
    let spent = measure::cpu_seconds() - cpu;
    let resting = fleet.usage().since(&before);
    resting.print(out, "rest", count, rest)?;
    let share = 100.0 * spent / rest.as_secs_f64() / as_f64(count);
    let memory = measure::resident_bytes() / count;
    writeln!(
        out,
        "rest cpu_percent_of_a_core_per_node={share:.3} rss_per_node={memory}"
    )?;

    let before = fleet.usage();
    let began = std::time::Instant::now();
    let changes = fleet.change(arguments).await;
    let took = began.elapsed();
    let changing = fleet.usage().since(&before);
    changes.print(out, "change")?;
    changing.print(out, "changing", count, took)?;
    let crossed = fleet.crossing(&changing) / as_f64(arguments.changes as usize);
    writeln!(out, "change far_delta_bytes_per_change={crossed:.0}")?;

    let before = fleet.usage();
    let stages = fleet.stages(STAGES).await;
    stages.print(out, "stage")?;
    let news = fleet.usage().since(&before);
    let told = news.of(|kind, _, _| kind == TrafficKind::News) / as_f64(STAGES) / as_f64(count);
    let is_far_news = |kind, reach, direction| {
        kind == TrafficKind::News && reach == Reach::Far && direction == Direction::Sent
    };
    let far = news.of(is_far_news) / as_f64(STAGES);
    writeln!(
        out,
        "stage news_bytes_per_node_per_stage={told:.0} far_news_bytes_per_stage={far:.0}"
    )?;
    if arguments.herd > 0 {
        fleet.herd(arguments.herd, out).await?;
    }
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn as_f64(count: usize) -> f64 {
    count as f64
}

fn milliseconds(latencies: &Latencies, quantile: f64) -> f64 {
    as_f64(latencies.at(quantile)) / 1_000.0
}
