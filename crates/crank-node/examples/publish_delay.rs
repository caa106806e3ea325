//! Measures publishing against the stand-in platform on loopback: the time from the response to an
//! operator's write to the accepted version, and the store requests at rest and for each edit.
//!
//! `cargo run --release -p crank-node --example publish_delay`

#![allow(clippy::print_stdout, reason = "the example prints a table")]
#![allow(clippy::unwrap_used, reason = "a panic ends the measurement")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crank_node::publisher::{Settings, start};
use crank_platform::{Counts, Server, Switches};
use crank_platform_client::{Access, Condition, Remote, folder};
use crank_protocol::{Millis, Name};
use tokio::sync::{mpsc, watch};

const EDITS: u32 = 60;
const IDLE_TIME: Duration = Duration::from_secs(20);
const CANDIDATES: usize = 3;
const STORE_DELAYS_MS: [u64; 2] = [0, 16];

#[tokio::main]
async fn main() {
    println!("lag ms  p50 ms  p99  max  an edit: reads  writes  at rest, a second: reads  writes");
    for delay_ms in STORE_DELAYS_MS {
        measure(delay_ms).await;
    }
}

async fn measure(delay_ms: u64) {
    let switches = Switches {
        delays_ms: [("node".to_owned(), delay_ms)].into(),
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
    let mut durations = Vec::new();
    let before = counts(address).await;
    let started_at = Instant::now();
    for edit in 1..=EDITS {
        durations.push(time_edit(&operator, edit, &mut snapshots).await);
    }
    let (after_edits, edit_time) = (counts(address).await, started_at.elapsed());
    tokio::time::sleep(IDLE_TIME).await;
    let after_idle = counts(address).await;
    let rate = |later: u64, earlier: u64| (later - earlier) as f64 / IDLE_TIME.as_secs_f64();
    let (reads, writes) = (
        rate(after_idle.reads, after_edits.reads),
        rate(after_idle.writes, after_edits.writes),
    );
    let per_edit = |later: u64, earlier: u64, rate: f64| {
        ((later - earlier) as f64 - rate * edit_time.as_secs_f64()) / f64::from(EDITS)
    };
    durations.sort_unstable();
    println!(
        "{delay_ms:>6}  {:>6}  {:>3}  {:>3}  {:>14.1}  {:>6.1}  {reads:>24.1}  {writes:>6.1}",
        durations[durations.len() / 2].as_millis(),
        durations[durations.len() * 99 / 100].as_millis(),
        durations[durations.len() - 1].as_millis(),
        per_edit(after_edits.reads, before.reads, reads),
        per_edit(after_edits.writes, before.writes, writes) - 1.0,
    );
    drop(publishers);
}

/// Writes an edit and waits until the first of the candidates accepts it; returns the time between.
async fn time_edit(
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
    let started_at = Instant::now();
    loop {
        let snapshot = snapshots.recv().await.unwrap();
        if snapshot.config.services["recipes"].slots == edit {
            return started_at.elapsed();
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
