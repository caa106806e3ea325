//! Runs the stand-in.

use std::io::Write;
use std::net::SocketAddr;

use anyhow::Context;
use crank_platform::{Server, Switches};
use flexi_logger::Logger;
use gumdrop::Options;

/// A stand-in for the platform's object store and table service.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "where to listen; port 0 takes a free one",
        default = "127.0.0.1:0"
    )]
    listen: String,
    #[options(help = "reads a second that are taken", default = "2000")]
    reads_per_second: u32,
    #[options(help = "writes a second that are taken", default = "500")]
    writes_per_second: u32,
    #[options(help = "what is logged", default = "warn")]
    log: String,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let _logger = Logger::try_with_str(&arguments.log)
        .context("--log takes a level such as info")?
        .start()
        .context("the log cannot be started")?;
    let address: SocketAddr = arguments
        .listen
        .parse()
        .context("--listen takes an address such as 127.0.0.1:7001")?;
    let switches = Switches {
        reads_per_second: arguments.reads_per_second,
        writes_per_second: arguments.writes_per_second,
        ..Switches::default()
    };
    let server = Server::new(address, switches).await?;
    writeln!(std::io::stdout(), "listening {}", server.address())?;
    tokio::select! {
        () = server.run() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}
