//! How long a change of the folder takes until it is in force everywhere.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crank_platform_client::{Condition, Remote, folder};
use futures::future::join_all;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Error;
use crate::folder::settings;
use crate::roster::Roster;

const FILE: &str = "90-experiment.ini";
const POLL: Duration = Duration::from_millis(20);
const VERSION_METRIC: &str = "crank_config_version ";
const FIRST_TIMEOUT_MS: u64 = 1_000;
const LONGEST_MICROS: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// An experiment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The fleet.
    pub roster: Roster,
    /// The service whose timeout is changed.
    pub service: Arc<str>,
    /// The number of changes.
    pub changes: u64,
    /// The pause between a change in force everywhere and the next.
    pub pause: Duration,
    /// How long a change may take.
    pub limit: Duration,
}

/// What it came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Figures {
    /// Nodes watched.
    pub nodes: u64,
    /// Changes in force everywhere within the limit.
    pub changes: u64,
    /// Changes that were not.
    pub late: u64,
    /// From the end of the write of the file until the last node has it, in microseconds.
    pub p50_us: u64,
    /// As above, 99 in 100.
    pub p99_us: u64,
    /// As above, the slowest.
    pub max_us: u64,
}

/// Changes the folder again and again, each time waiting until every node has the new version.
///
/// Nodes are asked every 20 ms, so that the figures are at most that much too high.
///
/// # Errors
/// [`Error::File`], [`Error::Store`], [`Error::Http`] or [`Error::Histogram`].
///
/// ```
/// # use crank_load::{Error, converge::{self, Plan}};
/// async fn slowest(plan: &Plan) -> Result<u64, Error> {
///     Ok(converge::run(plan).await?.max_us)
/// }
/// ```
pub async fn run(plan: &Plan) -> Result<Figures, Error> {
    let settings = settings(Path::new(&*plan.roster.store))?;
    let remote = Remote::new(&settings.access())?;
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.map_err(|source| Error::Http {
        what: Arc::from("the HTTP client"),
        source,
    })?;
    let mut times = Histogram::<u64>::new_with_bounds(1, LONGEST_MICROS, DIGITS)?;
    let mut late = 0;
    for change in 0..plan.changes {
        let before = highest(&client, &plan.roster).await;
        let text = change_text(&plan.service, change);
        folder::write(
            &remote,
            &settings.account,
            FILE,
            text.into(),
            Condition::Always,
        )
        .await?;
        match everywhere(&client, plan, before + 1).await {
            Some(took) => {
                times.saturating_record(u64::try_from(took.as_micros()).unwrap_or(LONGEST_MICROS));
            }
            None => late += 1,
        }
        tokio::time::sleep(plan.pause).await;
    }
    Ok(Figures {
        nodes: plan.roster.posts.len() as u64,
        changes: times.len(),
        late,
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
        max_us: times.max(),
    })
}

fn change_text(service: &str, change: u64) -> String {
    let timeout = FIRST_TIMEOUT_MS + change;
    format!("[service {service}]\ntimeout = {timeout}ms\n")
}

async fn everywhere(client: &reqwest::Client, plan: &Plan, wanted: u64) -> Option<Duration> {
    let written = Instant::now();
    let reached = plan.roster.posts.iter().map(|post| async {
        while version(client, &post.operators).await < wanted {
            tokio::time::sleep(POLL).await;
        }
    });
    let all = tokio::time::timeout(plan.limit, join_all(reached)).await;
    all.ok().map(|_| written.elapsed())
}

async fn highest(client: &reqwest::Client, roster: &Roster) -> u64 {
    let versions = roster
        .posts
        .iter()
        .map(|post| version(client, &post.operators));
    join_all(versions).await.into_iter().max().unwrap_or(0)
}

/// The version that a node holds; zero where it does not say.
pub(crate) async fn version(client: &reqwest::Client, operators: &str) -> u64 {
    let Ok(response) = client.get(format!("{operators}/metrics")).send().await else {
        return 0;
    };
    let Ok(text) = response.text().await else {
        return 0;
    };
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(VERSION_METRIC));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}
