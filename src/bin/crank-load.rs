//! Runs crank-load.

use crank_load::command::{self, Arguments};
use gumdrop::Options as _;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    command::run(Arguments::parse_args_default_or_exit()).await?;
    Ok(())
}
