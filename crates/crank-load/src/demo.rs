//! A whole mesh through edits, a killed node and a drained server, while requests run.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::process::Command;

use crate::Error;
use crate::calls::{self, Audit, Figures, RequestOutcome, RunCounts};
use crate::control::{self, Bytes};
use crate::converge;
use crate::fleet::{Fleet, Layout, Signal};
use crate::roster::Roster;

const NODES: usize = 6;
const REGIONS: usize = 2;
const DATA_CENTRES: usize = 3;
const SERVICES: [&str; 3] = ["recipes", "panels", "batches"];
const KILLED: usize = 4;
const DRAINED: usize = 3;
const LOAD_TIME: Duration = Duration::from_secs(15);
const READS_PER_SECOND: f64 = 200.0;
const RELEASES_PER_SECOND: f64 = 20.0;
const REQUEST_LIMIT: Duration = Duration::from_secs(10);
const READY_LIMIT: Duration = Duration::from_secs(30);
const EDITS_BEFORE: u64 = 5;
const EDITS_AFTER: u64 = 5;
const EDIT_PAUSE: Duration = Duration::from_millis(100);
const EDIT_LIMIT: Duration = Duration::from_secs(10);
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
const RELEASE_BYTES: usize = 64;

/// What a demonstration saw.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Idempotent reads.
    pub reads: Figures,
    /// Orders that may run only once.
    pub releases: Figures,
    /// What callers were told of reads against the ledgers of the backend servers.
    pub read_audit: Audit,
    /// What callers were told of releases against the ledgers of the backend servers.
    pub release_audit: Audit,
    /// Convergence with all nodes there.
    pub before: converge::Figures,
    /// Convergence after a node was killed and a server drained.
    pub after: converge::Figures,
    /// Control bytes that all living nodes sent.
    pub control: Bytes,
    /// The number of living nodes.
    pub nodes: u32,
    /// How long the bytes were counted.
    pub counted: Duration,
    /// Whether the drained server ended by itself.
    pub drained: bool,
}

/// Runs the demonstration.
///
/// # Errors
/// Whatever kept it from running; a broken invariant is in the outcome.
///
/// ```no_run
/// # use std::path::{Path, PathBuf};
/// # use crank_load::{Error, demo};
/// # async fn example() -> Result<(), Error> {
/// let outcome = demo::run(Path::new("target/release"), Path::new("/tmp"), Path::new("examples/folder"));
/// assert!(outcome.await?.broken().is_none());
/// # Ok(())
/// # }
/// ```
pub async fn run(programs: &Path, directory: &Path, folder: &Path) -> Result<Outcome, Error> {
    let layout = Layout::new("sutkent", NODES, REGIONS, DATA_CENTRES, &SERVICES);
    let mut fleet = Fleet::start(layout, programs, directory).await?;
    let all = Roster::new(&fleet)?;
    let copy = copied(folder, directory)?;
    push(programs, &copy, &all).await?;
    all.ready(READY_LIMIT).await?;

    let living = all.without(&[&all.posts[KILLED].name]);
    let bytes = control::read(&living).await;
    let began = Instant::now();
    let reads = tokio::spawn(calls::run(reads(&living)));
    let releases = tokio::spawn(calls::run(releases(&living)));
    let before = converge::run(&edits(&all, EDITS_BEFORE)).await?;
    fleet.nodes[KILLED].node.signal(Signal::Kill)?;
    fleet.nodes[DRAINED].backend.signal(Signal::Terminate)?;
    let after = converge::run(&edits(&living, EDITS_AFTER)).await?;
    let drained = fleet.nodes[DRAINED]
        .backend
        .wait_for_exit(DRAIN_LIMIT)
        .await?
        == Some(0);

    let (reads, releases) = (joined(reads).await?, joined(releases).await?);
    let control = control::read(&living).await.since(&bytes);
    let staying = all.without(&[&all.posts[DRAINED].name]);
    let ledgers: Vec<Arc<str>> = staying
        .posts
        .iter()
        .map(|post| post.backend.clone())
        .collect();
    let mut runs = RunCounts::read(&ledgers).await?;
    runs.add_line(&fleet.nodes[DRAINED].backend.last_line());
    Ok(Outcome {
        reads: reads.figures(),
        releases: releases.figures(),
        read_audit: runs.audit(reads.done()),
        release_audit: runs.audit(releases.done()),
        before,
        after,
        control,
        nodes: u32::try_from(living.posts.len()).unwrap_or(u32::MAX),
        counted: began.elapsed(),
        drained,
    })
}

async fn joined(
    task: tokio::task::JoinHandle<Result<calls::Tally, Error>>,
) -> Result<calls::Tally, Error> {
    match task.await {
        Ok(tally) => tally,
        Err(error) => Err(Error::Broken {
            what: error.to_string().into(),
        }),
    }
}

/// A copy, because pushing notes in the folder what the store holds.
fn copied(folder: &Path, directory: &Path) -> Result<PathBuf, Error> {
    let copy = directory.join("folder");
    let failed = |source| Error::File {
        path: folder.to_owned(),
        source,
    };
    std::fs::create_dir_all(&copy).map_err(failed)?;
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        let entry = entry.map_err(failed)?;
        std::fs::copy(entry.path(), copy.join(entry.file_name())).map_err(failed)?;
    }
    Ok(copy)
}

async fn push(programs: &Path, folder: &Path, roster: &Roster) -> Result<(), Error> {
    let program = programs.join("crankctl");
    let pushed = Command::new(&program)
        .args(["push", "--settings", &roster.store])
        .arg(folder)
        .output()
        .await
        .map_err(|source| Error::Start { program, source })?;
    if pushed.status.success() {
        return Ok(());
    }
    let said = String::from_utf8_lossy(&pushed.stderr).into_owned();
    Err(Error::Command {
        command: "crankctl push".into(),
        said: said.into(),
    })
}

fn plan(roster: &Roster, paths: &[&str], rate: f64) -> calls::Plan {
    calls::Plan {
        targets: roster
            .posts
            .iter()
            .map(|post| post.callers.clone())
            .collect(),
        paths: paths.iter().map(|path| Arc::from(*path)).collect(),
        rate,
        time: LOAD_TIME,
        warm_up: Duration::ZERO,
        limit: REQUEST_LIMIT,
        body_bytes: 0,
        keyed: false,
        seed: 1,
    }
}

fn reads(roster: &Roster) -> calls::Plan {
    plan(
        roster,
        &["/recipes/apricot", "/panels/7", "/lab/reads"],
        READS_PER_SECOND,
    )
}

fn releases(roster: &Roster) -> calls::Plan {
    let plan = plan(roster, &["/batches/release"], RELEASES_PER_SECOND);
    calls::Plan {
        body_bytes: RELEASE_BYTES,
        keyed: true,
        seed: 2,
        ..plan
    }
}

fn edits(roster: &Roster, changes: u64) -> converge::Plan {
    converge::Plan {
        roster: roster.clone(),
        service: SERVICES[0].into(),
        changes,
        pause: EDIT_PAUSE,
        limit: EDIT_LIMIT,
    }
}

impl Outcome {
    /// Which invariant broke, if one did.
    ///
    /// ```
    /// # use crank_load::demo::Outcome;
    /// # fn example(outcome: &Outcome) -> bool {
    /// outcome.broken().is_none()
    /// # }
    /// ```
    #[must_use]
    pub fn broken(&self) -> Option<Error> {
        let not_run_but_ran = self.read_audit.not_run_but_ran + self.release_audit.not_run_but_ran;
        let crossed = self.told(&RequestOutcome::Crossed);
        let broken = [
            (self.release_audit.run_twice, "releases ran twice"),
            (
                not_run_but_ran,
                "requests ran that callers were told were not run",
            ),
            (
                self.release_audit.unread_ledgers,
                "ledgers could not be read",
            ),
            (crossed, "answers went to the wrong request"),
            (
                self.before.late + self.after.late,
                "changes were not in force everywhere in 10 s",
            ),
            (
                u64::from(!self.drained),
                "drained servers did not end with 0",
            ),
        ];
        let found = broken.into_iter().find(|(count, _)| *count > 0);
        found.map(|(count, what)| Error::Broken {
            what: format!("{count} {what}").into(),
        })
    }

    /// How many requests were told this.
    ///
    /// ```
    /// # use crank_load::{calls::RequestOutcome, demo::Outcome};
    /// # fn example(outcome: &Outcome) -> u64 {
    /// outcome.told(&RequestOutcome::Whole)
    /// # }
    /// ```
    #[must_use]
    pub fn told(&self, told: &RequestOutcome) -> u64 {
        let count = |figures: &Figures| figures.told.get(told).copied().unwrap_or(0);
        count(&self.reads) + count(&self.releases)
    }
}
