//! `crank-load soak`: seeded faults on a fleet of real processes, with the promises checked.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;

use super::fleet::own_directory;
use crate::Error;
use crate::soak::{self, Plan};

const MOST_FRESH_SEED: u64 = 1_000_000;

#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "the first seed; drawn where absent", meta = "N")]
    seed: Option<u64>,
    #[options(no_short, help = "how many seeds to play", meta = "N", default = "1")]
    seeds: u64,
    #[options(no_short, help = "nodes of the fleet", meta = "N", default = "6")]
    nodes: usize,
    #[options(
        no_short,
        help = "for how long faults begin",
        meta = "S",
        default = "12"
    )]
    seconds: u64,
    #[options(no_short, help = "where settings and logs go", meta = "DIR", required)]
    directory: PathBuf,
    #[options(
        no_short,
        help = "the directory of the built programs; this one's otherwise",
        meta = "DIR"
    )]
    programs: Option<PathBuf>,
}

pub(super) async fn run(arguments: Arguments) -> Result<(), Error> {
    let programs = match &arguments.programs {
        Some(programs) => programs.clone(),
        None => own_directory()?,
    };
    let fresh = || rand::random_range(0..MOST_FRESH_SEED);
    let first = arguments.seed.unwrap_or_else(fresh);
    let length = Duration::from_secs(arguments.seconds);
    let mut failed = Vec::new();
    for seed in first..first + arguments.seeds {
        let plan = Plan::new(seed, arguments.nodes, length);
        let directory = arguments.directory.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&directory).map_err(|source| Error::File {
            path: directory.clone(),
            source,
        })?;
        let outcome = soak::run(&plan, &programs, &directory).await?;
        super::print(&outcome)?;
        if !outcome.broken.is_empty() {
            super::print(&plan)?;
            failed.push(seed.to_string());
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    let seeds = failed.join(", ");
    Err(Error::Broken {
        what: format!(
            "seeds {seeds}; plans above, logs in {}",
            arguments.directory.display()
        )
        .into(),
    })
}
