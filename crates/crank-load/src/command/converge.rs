//! `crank-load converge`: changes of the folder.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;

use super::print;
use crate::Error;
use crate::converge::{self, Plan};
use crate::roster::Roster;

#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        required,
        help = "the roster file that `crank-load fleet` wrote",
        meta = "FILE"
    )]
    roster: PathBuf,
    #[options(
        help = "the service whose timeout is changed",
        meta = "NAME",
        default = "recipes"
    )]
    service: String,
    #[options(help = "the number of changes", meta = "N", default = "10")]
    changes: u64,
    #[options(
        no_short,
        help = "the pause between changes",
        meta = "MS",
        default = "500"
    )]
    pause_ms: u64,
    #[options(
        no_short,
        help = "how long a change may take",
        meta = "MS",
        default = "30000"
    )]
    limit_ms: u64,
}

pub(super) async fn run(arguments: Arguments) -> Result<(), Error> {
    let plan = Plan {
        roster: Roster::read(&arguments.roster)?,
        service: arguments.service.into(),
        changes: arguments.changes,
        pause: Duration::from_millis(arguments.pause_ms),
        limit: Duration::from_millis(arguments.limit_ms),
    };
    print(&converge::run(&plan).await?)
}
