//! The commands of `crank-load`, one a file.

mod calls;
mod capacity;
mod converge;
mod demo;
mod fleet;
mod soak;

use std::io::Write;

use gumdrop::Options;
use serde::Serialize;

use crate::Error;

/// Open-loop load and experiments on a mesh of real processes.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Print help.
    #[options(help = "print this help")]
    help: bool,
    /// What to do.
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "send requests at a rate and count what became of them")]
    Calls(calls::Arguments),
    #[options(help = "measure what a node costs in a fleet of one size")]
    Capacity(capacity::Arguments),
    #[options(help = "change the folder and measure when it is in force everywhere")]
    Converge(converge::Arguments),
    #[options(
        help = "run a whole mesh through edits, a kill and a drain, and print what became of it"
    )]
    Demo(demo::Arguments),
    #[options(help = "start a fleet of processes and keep it running until SIGINT or SIGTERM")]
    Fleet(fleet::Arguments),
    #[options(help = "play seeded faults on a fleet and check the promises meanwhile")]
    Soak(soak::Arguments),
}

/// Runs the command that the arguments name; its figures go to standard output as JSON.
///
/// # Errors
/// What kept the experiment from being made.
///
/// ```no_run
/// # use gumdrop::Options as _;
/// # async fn example() -> Result<(), crank_load::Error> {
/// crank_load::command::run(crank_load::command::Arguments::parse_args_default_or_exit()).await
/// # }
/// ```
pub async fn run(arguments: Arguments) -> Result<(), Error> {
    match arguments.command {
        Some(Command::Calls(arguments)) => calls::run(arguments).await,
        Some(Command::Capacity(arguments)) => capacity::run(arguments).await,
        Some(Command::Converge(arguments)) => converge::run(arguments).await,
        Some(Command::Demo(arguments)) => demo::run(arguments).await,
        Some(Command::Fleet(arguments)) => fleet::run(arguments).await,
        Some(Command::Soak(arguments)) => soak::run(arguments).await,
        None => Ok(()),
    }
}

fn print(figures: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(figures).map_err(Error::Output)?;
    writeln!(std::io::stdout(), "{text}").map_err(Error::Print)
}
