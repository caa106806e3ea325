//! Measures what a claim and its record cost a call, against the stand-in on loopback.
//!
//! `cargo run --release -p crank-platform-client --example claim_cost`

#![allow(clippy::print_stdout, reason = "it prints a table")]
#![allow(clippy::unwrap_used, reason = "a failure ends the measurement")]

use std::time::{Duration, Instant};

use crank_engine::Nonce;
use crank_engine::claim::{ClaimResult, Fingerprint, RecordedAnswer};
use crank_platform_client::{Access, Remote, claims};
use crank_protocol::call::{Load, ResponseHead};
use crank_protocol::{Millis, Name};
use serde_bytes::ByteBuf;

const CLAIMS: usize = 2_000;
const AT_ONCE: [usize; 3] = [1, 8, 32];
const BODY_BYTES: usize = 1_000;
const TIMEOUT: Millis = Millis(5_000);

#[tokio::main]
async fn main() {
    let switches = crank_platform::Switches {
        writes_per_second: 1_000_000,
        ..crank_platform::Switches::default()
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    let server = crank_platform::Server::new(listen, switches).await.unwrap();
    let url = format!("http://{}", server.address());
    tokio::spawn(server.run());
    let remote = Remote::new(&access(&url)).unwrap();
    println!("at once  claims/s  claim p50 us  p99  record p50 us  p99");
    for at_once in AT_ONCE {
        measure(&remote, at_once).await;
    }
}

async fn measure(remote: &Remote, at_once: usize) {
    let started = Instant::now();
    let mut workers = Vec::new();
    for worker in 0..at_once {
        let remote = remote.clone();
        let share = CLAIMS / at_once;
        let name = format!("{at_once}-{worker}");
        workers.push(tokio::spawn(
            async move { work(&remote, &name, share).await },
        ));
    }
    let (mut claimed, mut recorded) = (Vec::new(), Vec::new());
    for worker in workers {
        let (some_claimed, some_recorded) = worker.await.unwrap();
        claimed.extend(some_claimed);
        recorded.extend(some_recorded);
    }
    let rate = claimed.len() as f64 / started.elapsed().as_secs_f64();
    let [c50, c99] = shares(claimed);
    let [r50, r99] = shares(recorded);
    println!("{at_once:>7}  {rate:>8.0}  {c50:>12}  {c99:>4}  {r50:>13}  {r99:>4}");
}

async fn work(remote: &Remote, name: &str, share: usize) -> (Vec<Duration>, Vec<Duration>) {
    let account = Name::new("bench").unwrap();
    let (mut claimed, mut recorded) = (Vec::new(), Vec::new());
    for number in 0..share {
        let key = format!("{name}-{number}");
        let print = Fingerprint("f".into());
        let began = Instant::now();
        let verdict = claims::claim(remote, &account, &key, Nonce(1), print.clone(), TIMEOUT);
        assert_eq!(verdict.await, Ok(ClaimResult::Won));
        claimed.push(began.elapsed());
        let began = Instant::now();
        let ending = answer();
        let done = claims::record(remote, &account, &key, Nonce(1), print, ending, TIMEOUT);
        done.await.unwrap();
        recorded.push(began.elapsed());
    }
    (claimed, recorded)
}

fn answer() -> RecordedAnswer {
    let head = ResponseHead {
        status: 200,
        headers: Vec::new(),
        length: Some(BODY_BYTES as u64),
        load: Load::default(),
    };
    let body = Some(ByteBuf::from(vec![b'x'; BODY_BYTES]));
    RecordedAnswer { head, body }
}

fn shares(mut times: Vec<Duration>) -> [u128; 2] {
    times.sort_unstable();
    [50, 99].map(|share| times[times.len() * share / 100].as_micros())
}

fn access(url: &str) -> Access {
    Access {
        objects: url.into(),
        rows: url.into(),
        region: "bahia".into(),
        bucket: "crank".into(),
        table: "crank".into(),
        access_key: "bench".into(),
        secret_key: "none".into(),
        timeout: TIMEOUT,
    }
}
