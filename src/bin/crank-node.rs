//! Runs a node beside a backend server.

use std::path::PathBuf;
use std::process::ExitCode;

use crank_node::{Error, Settings};
use gumdrop::Options;

/// Runs a node of the mesh beside a backend server.
#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// The settings file.
    #[options(required, meta = "FILE")]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&Arguments::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cactuscrank::fail("crank-node", &error),
    }
}

async fn run(arguments: &Arguments) -> Result<(), Error> {
    let settings = Settings::load(&arguments.settings)?;
    let _logs = crank_node::logs::start(settings.level, crank_node::logs::Sink::Stderr)?;
    crank_node::run(settings).await
}
