//! `crank-load capacity`: what a node costs in fleets of different sizes.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;

use super::fleet::own_directory;
use super::print;
use crate::Error;
use crate::capacity::{self, Plan};

#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the number of nodes", meta = "N", default = "12")]
    nodes: usize,
    #[options(
        no_short,
        help = "how long to watch at rest",
        meta = "S",
        default = "20"
    )]
    rest_s: u64,
    #[options(help = "the number of edits", meta = "N", default = "20")]
    edits: u64,
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
    let plan = Plan {
        nodes: arguments.nodes,
        rest: Duration::from_secs(arguments.rest_s),
        edits: arguments.edits,
    };
    print(&capacity::run(&plan, &programs, &arguments.directory).await?)
}
