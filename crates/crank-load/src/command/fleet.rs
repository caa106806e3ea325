//! `crank-load fleet`: a whole mesh of processes on loopback.

use std::path::{Path, PathBuf};
use std::time::Duration;

use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

use super::print;
use crate::fleet::{Fleet, Layout};
use crate::roster::Roster;
use crate::{Error, folder};

const READY_LIMIT: Duration = Duration::from_secs(60);

#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the number of nodes", meta = "N", default = "6")]
    nodes: usize,
    #[options(help = "the number of regions", meta = "N", default = "2")]
    regions: usize,
    #[options(help = "the number of data centres in all", meta = "N", default = "3")]
    data_centres: usize,
    #[options(
        no_short,
        help = "services, with commas between them",
        meta = "NAMES",
        default = "recipes"
    )]
    services: String,
    #[options(
        no_short,
        help = "requests that a backend server runs at once",
        meta = "N",
        default = "6"
    )]
    slots: u32,
    #[options(no_short, help = "how long a request runs", meta = "MS", default = "0")]
    work_ms: u64,
    #[options(
        no_short,
        help = "where settings, logs and roster.json go",
        meta = "DIR",
        required
    )]
    directory: PathBuf,
    #[options(
        no_short,
        help = "the directory of the built programs; this one's otherwise",
        meta = "DIR"
    )]
    programs: Option<PathBuf>,
}

pub(super) async fn run(arguments: Arguments) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Print)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Print)?;
    let programs = match &arguments.programs {
        Some(programs) => programs.clone(),
        None => own_directory()?,
    };
    let directory = &arguments.directory;
    std::fs::create_dir_all(directory).map_err(|source| Error::File {
        path: directory.clone(),
        source,
    })?;
    let services: Vec<&str> = arguments.services.split(',').collect();
    let layout = Layout::new(
        "sutkent",
        arguments.nodes,
        arguments.regions,
        arguments.data_centres,
        &services,
    );
    let layout = layout.with_work(arguments.slots, arguments.work_ms);
    let fleet = Fleet::start(layout, &programs, directory).await?;
    folder::fill(&fleet, &services).await?;
    let roster = Roster::new(&fleet)?;
    roster.ready(READY_LIMIT).await?;
    roster.write(&directory.join("roster.json"))?;
    print(&roster)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

pub(super) fn own_directory() -> Result<PathBuf, Error> {
    let own = std::env::current_exe().map_err(Error::Print)?;
    Ok(own.parent().unwrap_or(Path::new(".")).to_owned())
}
