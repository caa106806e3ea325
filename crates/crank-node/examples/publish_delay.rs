//! Measures publishing against the stand-in on loopback: from the answer to an operator's write to
//! the accepted version, and what the store is asked for at rest and for each edit.
//!
//! `cargo run --release -p crank-node --example publish_delay`

#![allow(clippy::print_stdout, reason = "it prints a table")]
#![allow(clippy::unwrap_used, reason = "a failure ends the measurement")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crank_node::publisher::{Settings, start};
use crank_platform::{Counts, Server, Switches};
use crank_platform_client::{Access, Condition, Remote, folder};
use crank_protocol::{Millis, Name};
use tokio::sync::{mpsc, watch};

const EDITS: u32 = 60;
const REST: Duration = Duration::from_secs(20);
const CANDIDATES: usize = 3;
const WAYS_MS: [u64; 2] = [0, 16];

#[tokio::main]
async fn main() {
    println!("way ms  p50 ms  p99  max  an edit: reads  writes  at rest, a second: reads  writes");
    for way_ms in WAYS_MS {
        measure(way_ms).await;
    }
}

async fn measure(way_ms: u64) {
    let switches = Switches {
        delays_ms: [("node".to_owned(), way_ms)].into(),
        ..Switches::default()
    };
    let server = Server::new("127.0.0.1:0".parse().unwrap(), switches)
        .await
        .unwrap();
    let address = server.address();
    tokio::spawn(server.run());
    let (accepted, mut snapshots) = mpsc::channel(16);
    let (_candidate, is_candidate) = watch::channel(true);
    let mut publishers = Vec::new();
    for number in 0..CANDIDATES {
        let node = Name::new(&format!("n{number}")).unwrap();
        let settings = Settings::new(account(), node);
        let remote = remote(address, "node");
        let publisher = start(remote, settings, is_candidate.clone(), accepted.clone());
        publishers.push(publisher);
    }
    let operator = remote(address, "operator");
    let mut delays = Vec::new();
    let before = counts(address).await;
    let began = Instant::now();
    for edit in 1..=EDITS {
        delays.push(one_edit(&operator, edit, &mut snapshots).await);
    }
    let (edited, took) = (counts(address).await, began.elapsed());
    tokio::time::sleep(REST).await;
    let rested = counts(address).await;
    let rest = |later: u64, earlier: u64| (later - earlier) as f64 / REST.as_secs_f64();
    let (reads, writes) = (
        rest(rested.reads, edited.reads),
        rest(rested.writes, edited.writes),
    );
    let per_edit = |later: u64, earlier: u64, rate: f64| {
        ((later - earlier) as f64 - rate * took.as_secs_f64()) / f64::from(EDITS)
    };
    delays.sort_unstable();
    println!(
        "{way_ms:>6}  {:>6}  {:>3}  {:>3}  {:>14.1}  {:>6.1}  {reads:>24.1}  {writes:>6.1}",
        delays[delays.len() / 2].as_millis(),
        delays[delays.len() * 99 / 100].as_millis(),
        delays[delays.len() - 1].as_millis(),
        per_edit(edited.reads, before.reads, reads),
        per_edit(edited.writes, before.writes, writes) - 1.0,
    );
    drop(publishers);
}

/// The first of the candidates to give the edit's version ends it.
async fn one_edit(
    operator: &Remote,
    edit: u32,
    snapshots: &mut mpsc::Receiver<crank_protocol::config::Snapshot>,
) -> Duration {
    let text = format!("[account]\nname = bench\n[service recipes]\nslots = {edit}\n");
    let account = account();
    let written = folder::write(
        operator,
        &account,
        "all.ini",
        text.into(),
        Condition::Always,
    );
    written.await.unwrap();
    let began = Instant::now();
    loop {
        let snapshot = snapshots.recv().await.unwrap();
        if snapshot.config.services["recipes"].slots == edit {
            return began.elapsed();
        }
    }
}

async fn counts(address: SocketAddr) -> Counts {
    let url = format!("http://{address}/control/counts");
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

fn account() -> Name {
    Name::new("bench").unwrap()
}

fn remote(address: SocketAddr, access_key: &str) -> Remote {
    let url = format!("http://{address}");
    Remote::new(&Access {
        objects: url.as_str().into(),
        rows: url.as_str().into(),
        region: "almaty".into(),
        bucket: "crank".into(),
        table: "crank".into(),
        access_key: access_key.into(),
        secret_key: "none".into(),
        timeout: Millis(5_000),
    })
    .unwrap()
}
