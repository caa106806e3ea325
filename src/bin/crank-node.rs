//! Runs a node beside a backend server.

use std::path::PathBuf;

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
async fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings = crank_node::Settings::load(&arguments.settings)?;
    let _logs = crank_node::logs::start(settings.level)?;
    crank_node::run(settings).await?;
    Ok(())
}
