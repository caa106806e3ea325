//! The command line.

use std::net::SocketAddr;

use crank_protocol::Name;
use gumdrop::Options as Gumdrop;

/// Options of the stand-in.
#[derive(Debug, Clone, Gumdrop)]
pub struct Options {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Where its node takes announcements.
    #[options(
        help = "where its node takes announcements; none: it announces nothing",
        meta = "ADDR"
    )]
    pub node: Option<SocketAddr>,
    /// Where it takes requests.
    #[options(
        help = "where it takes requests",
        meta = "ADDR",
        default = "127.0.0.1:0"
    )]
    pub listen: SocketAddr,
    /// The service it runs.
    #[options(help = "the service it runs", meta = "NAME", default = "recipes")]
    pub service: Name,
    /// Requests it runs at once.
    #[options(no_short, help = "requests it runs at once", meta = "N", default = "6")]
    pub slots: u32,
    /// How long it takes to become ready.
    #[options(
        no_short,
        help = "how long it takes to become ready",
        meta = "MS",
        default = "0"
    )]
    pub cold_start_ms: u64,
    /// How long a request takes.
    #[options(
        no_short,
        help = "how long a request takes",
        meta = "MS",
        default = "0"
    )]
    pub work_ms: u64,
    /// How often it announces itself.
    #[options(
        no_short,
        help = "how often it announces itself",
        meta = "MS",
        default = "500"
    )]
    pub announce_ms: u64,
}
