//! Runs crank-load.

use std::process::ExitCode;

use crank_load::command::{self, Arguments};
use gumdrop::Options as _;

#[tokio::main]
async fn main() -> ExitCode {
    match command::run(Arguments::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cactuscrank::fail("crank-load", &error),
    }
}
