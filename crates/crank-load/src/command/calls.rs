//! `crank-load calls`: requests at a rate.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use gumdrop::Options;
use serde::Serialize;

use super::print;
use crate::calls::{self, Audit, Figures, Plan, RunCounts, Tally};
use crate::roster::{Roster, RosterEntry};
use crate::{Error, usage};

const DIRECT_SEED: u64 = 0x5EED;

#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "base URLs to send to, in place of a roster's nodes")]
    targets: Vec<String>,
    #[options(help = "the roster file that `crank-load fleet` wrote", meta = "FILE")]
    roster: Option<PathBuf>,
    #[options(
        help = "path prefix of the requests; a roster's services otherwise",
        meta = "PATH"
    )]
    path: Option<String>,
    #[options(
        no_short,
        help = "requests a second in all",
        meta = "N",
        default = "100"
    )]
    rate: f64,
    #[options(
        help = "how long requests are counted",
        meta = "SECONDS",
        default = "10"
    )]
    seconds: f64,
    #[options(
        no_short,
        help = "how long before that they are not",
        meta = "SECONDS",
        default = "2"
    )]
    warm_up: f64,
    #[options(
        no_short,
        help = "the longest a request may take",
        meta = "MS",
        default = "10000"
    )]
    limit_ms: u64,
    #[options(
        no_short,
        help = "length of a request's body; 0 sends GET",
        meta = "N",
        default = "0"
    )]
    body_bytes: usize,
    #[options(no_short, help = "give each request an idempotency key")]
    keyed: bool,
    #[options(
        no_short,
        help = "send as much straight to the backend servers, in the same run"
    )]
    direct: bool,
    #[options(no_short, help = "send through one node only: the first of the roster")]
    one: bool,
    #[options(
        no_short,
        help = "compare with the backend servers' ledgers afterwards"
    )]
    audit: bool,
    #[options(no_short, help = "fixes the arrival times", meta = "N", default = "1")]
    seed: u64,
}

/// What a run came to.
#[derive(Serialize)]
struct Report {
    rate: f64,
    seconds: f64,
    targets: usize,
    through_nodes: Figures,
    #[serde(skip_serializing_if = "Option::is_none")]
    direct: Option<Figures>,
    #[serde(skip_serializing_if = "Option::is_none")]
    added: Option<Added>,
    #[serde(skip_serializing_if = "Option::is_none")]
    nodes: Option<Nodes>,
    #[serde(skip_serializing_if = "Option::is_none")]
    audit: Option<Audit>,
}

/// The differences of percentiles, in microseconds.
#[derive(Serialize)]
struct Added {
    p50_us: i64,
    p99_us: i64,
    p999_us: i64,
}

/// What the node processes used during the run, warm-up included.
#[derive(Serialize)]
struct Nodes {
    processor_seconds: f64,
    calls_per_processor_second: f64,
    resident_bytes_highest: u64,
}

pub(super) async fn run(arguments: Arguments) -> Result<(), Error> {
    let roster = arguments.roster.as_deref().map(Roster::read).transpose()?;
    let posts = roster.map(|roster| roster.posts).unwrap_or_default();
    let plan = plan(&arguments, &posts)?;
    let before = used(&posts);
    let (through, direct) = tokio::join!(
        calls::run(plan.clone()),
        run_direct(&arguments, &plan, &posts)
    );
    let (through, direct) = (through?, direct?);
    let after = used(&posts);
    let figures = through.figures();
    let direct = direct.map(|tally| tally.figures());
    let audit = if arguments.audit {
        Some(
            RunCounts::read(&backends(&posts))
                .await?
                .audit(through.done()),
        )
    } else {
        None
    };
    print(&Report {
        rate: plan.rate,
        seconds: arguments.seconds,
        targets: plan.targets.len(),
        added: direct.as_ref().map(|direct| added(&figures, direct)),
        nodes: (!posts.is_empty()).then(|| nodes(&plan, &before, &after)),
        through_nodes: figures,
        direct,
        audit,
    })
}

fn plan(arguments: &Arguments, posts: &[RosterEntry]) -> Result<Plan, Error> {
    let mut targets: Vec<Arc<str>> = arguments
        .targets
        .iter()
        .map(|url| url.as_str().into())
        .collect();
    if targets.is_empty() {
        let count = if arguments.one { 1 } else { posts.len() };
        targets = posts
            .iter()
            .take(count)
            .map(|post| post.callers.clone())
            .collect();
    }
    if targets.is_empty() {
        return Err(Error::NoTargets);
    }
    let services: BTreeSet<&Arc<str>> = posts.iter().map(|post| &post.service).collect();
    let paths = match &arguments.path {
        Some(path) => vec![Arc::from(path.as_str())],
        None if services.is_empty() => vec![Arc::from("/")],
        None => services
            .iter()
            .map(|name| format!("/{name}").into())
            .collect(),
    };
    Ok(Plan {
        targets,
        paths,
        rate: arguments.rate,
        time: Duration::from_secs_f64(arguments.seconds),
        warm_up: Duration::from_secs_f64(arguments.warm_up),
        limit: Duration::from_millis(arguments.limit_ms),
        body_bytes: arguments.body_bytes,
        keyed: arguments.keyed,
        seed: arguments.seed,
    })
}

async fn run_direct(
    arguments: &Arguments,
    plan: &Plan,
    posts: &[RosterEntry],
) -> Result<Option<Tally>, Error> {
    if !arguments.direct || posts.is_empty() {
        return Ok(None);
    }
    let plan = Plan {
        targets: backends(posts),
        seed: plan.seed ^ DIRECT_SEED,
        ..plan.clone()
    };
    calls::run(plan).await.map(Some)
}

fn backends(posts: &[RosterEntry]) -> Vec<Arc<str>> {
    posts.iter().map(|post| post.backend.clone()).collect()
}

fn added(through: &Figures, direct: &Figures) -> Added {
    let difference = |through: u64, direct: u64| through.cast_signed() - direct.cast_signed();
    Added {
        p50_us: difference(through.p50_us, direct.p50_us),
        p99_us: difference(through.p99_us, direct.p99_us),
        p999_us: difference(through.p999_us, direct.p999_us),
    }
}

fn used(posts: &[RosterEntry]) -> Vec<usage::Usage> {
    let used = posts.iter().map(|post| usage::read(post.process));
    used.map(Option::unwrap_or_default).collect()
}

fn nodes(plan: &Plan, before: &[usage::Usage], after: &[usage::Usage]) -> Nodes {
    let pairs = before.iter().zip(after);
    let seconds: f64 = pairs
        .map(|(before, after)| after.processor_seconds - before.processor_seconds)
        .sum();
    let calls = plan.rate * (plan.time + plan.warm_up).as_secs_f64();
    let highest = after.iter().map(|usage| usage.resident_bytes).max();
    Nodes {
        processor_seconds: seconds,
        calls_per_processor_second: calls / seconds,
        resident_bytes_highest: highest.unwrap_or(0),
    }
}
