//! A randomized soak: real processes, faults from outside, and the promises checked meanwhile.

mod plan;
mod proxy;
mod watch;
mod world;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::{Instant, sleep_until};

use crate::Error;
use crate::calls::{self, Audit, Figures, RequestOutcome};
use world::World;

pub use plan::{LinkCondition, Plan, ScheduledStep, Step};

const READS_PER_SECOND: f64 = 120.0;
const ORDERS_PER_SECOND: f64 = 20.0;
const ORDER_BYTES: usize = 64;
/// Timeout of each request at its caller.
const REQUEST_LIMIT: Duration = Duration::from_secs(10);
/// How long requests are still sent after the last step.
const CALM: Duration = Duration::from_secs(1);
/// Time within which the fleet must have recovered after the last fault.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// The results of a soak run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// The seed from which the plan was generated.
    pub seed: u64,
    /// Reads, which may be repeated.
    pub reads: Figures,
    /// Orders, which run only once.
    pub orders: Figures,
    /// Compares the outcomes reported for reads with the ledgers of the backend servers.
    pub read_audit: Audit,
    /// Compares the outcomes reported for orders with the ledgers of the backend servers.
    pub order_audit: Audit,
    /// Number of edits that the store refused or did not answer in time.
    pub refused_edits: u64,
    /// A description of each invariant that was violated.
    pub broken: Vec<String>,
    /// Time from the last fault until every node served every service, in milliseconds.
    pub recovered_ms: u64,
}

/// Runs a plan on a new fleet; `directory` holds its settings and logs.
///
/// # Errors
/// Returns an error if the plan could not be run; violated invariants are in the outcome.
///
/// ```no_run
/// # use std::{path::Path, time::Duration};
/// # use crank_load::{Error, soak::{self, Plan}};
/// # async fn example() -> Result<(), Error> {
/// let plan = Plan::new(1, 6, Duration::from_secs(10));
/// let outcome = soak::run(&plan, Path::new("target/release"), Path::new("/tmp/soak")).await?;
/// assert!(outcome.broken.is_empty());
/// # Ok(())
/// # }
/// ```
pub async fn run(plan: &Plan, programs: &Path, directory: &Path) -> Result<Outcome, Error> {
    let mut world = World::start(plan.nodes, programs, directory).await?;
    let length = plan.due.last().map_or(0, |due| due.at_ms);
    let time = Duration::from_millis(length) + CALM;
    let reads = tokio::spawn(calls::run(reads(&world, plan.seed, time)));
    let orders = tokio::spawn(calls::run(orders(&world, plan.seed, time)));
    let began = Instant::now();
    for due in &plan.due {
        sleep_until(began + Duration::from_millis(due.at_ms)).await;
        world.take(due.step).await?;
    }
    let recovered = world.recover(RECOVERY_LIMIT).await;
    let (reads, orders) = (joined(reads).await?, joined(orders).await?);
    let runs = world.runs().await?;
    let mut outcome = Outcome {
        seed: plan.seed,
        reads: reads.figures(),
        orders: orders.figures(),
        read_audit: runs.audit(reads.done()),
        order_audit: runs.audit(orders.done()),
        refused_edits: world.refused_edits(),
        broken: world.broken(),
        recovered_ms: 0,
    };
    match recovered {
        Ok(took) => outcome.recovered_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        Err(error) => outcome.broken.push(error.to_string()),
    }
    outcome.judge(plan);
    Ok(outcome)
}

impl Outcome {
    fn judge(&mut self, plan: &Plan) {
        let told = |told: &RequestOutcome| {
            let count = |figures: &Figures| figures.told.get(told).copied().unwrap_or(0);
            count(&self.reads) + count(&self.orders)
        };
        let untrue = self.read_audit.not_run_but_ran + self.order_audit.not_run_but_ran;
        let cut = if plan.is_planned_only {
            told(&RequestOutcome::Cut)
        } else {
            0
        };
        let counts = [
            (self.order_audit.run_twice, "orders ran twice"),
            (untrue, "requests ran that were told not to have run"),
            (
                told(&RequestOutcome::Crossed),
                "answers were not those of their requests",
            ),
            (cut, "answers were cut by planned work"),
        ];
        let broken = counts.iter().filter(|(count, _)| *count > 0);
        let lines = broken.map(|(count, what)| format!("{count} {what}"));
        self.broken.extend(lines);
    }
}

fn load(world: &World, seed: u64, time: Duration) -> calls::Plan {
    calls::Plan {
        targets: world.callers(),
        paths: Vec::new(),
        rate: READS_PER_SECOND,
        time,
        warm_up: Duration::ZERO,
        limit: REQUEST_LIMIT,
        body_bytes: 0,
        keyed: false,
        seed,
    }
}

fn reads(world: &World, seed: u64, time: Duration) -> calls::Plan {
    calls::Plan {
        paths: world::READS.iter().map(|path| Arc::from(*path)).collect(),
        ..load(world, seed, time)
    }
}

fn orders(world: &World, seed: u64, time: Duration) -> calls::Plan {
    calls::Plan {
        paths: vec![Arc::from(world::ORDER)],
        rate: ORDERS_PER_SECOND,
        body_bytes: ORDER_BYTES,
        keyed: true,
        ..load(world, seed, time)
    }
}

async fn joined(
    task: tokio::task::JoinHandle<Result<calls::Tally, Error>>,
) -> Result<calls::Tally, Error> {
    task.await.unwrap_or_else(|error| {
        Err(Error::Broken {
            what: error.to_string().into(),
        })
    })
}
