//! Runs the stand-in.

use crank_backend::Options;
use gumdrop::Options as _;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = Options::parse_args_default_or_exit();
    crank_backend::run(options).await?;
    Ok(())
}
