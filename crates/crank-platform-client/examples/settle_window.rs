//! Weighs the settle window: torn edits that become versions against seconds of delay.
//!
//! Runs the engine's `publish::FolderWatch` on simulated time. An edit writes 2 to 6 files with gaps
//! between them; the listing is polled, and what it calls to be read is listed once more after the
//! reading. `cargo run --release -p crank-platform-client --example settle_window`

#![allow(clippy::print_stdout, reason = "it prints a table")]

use crank_engine::Moment;
use crank_engine::publish::{FolderWatch, ListedFile, ListingState};
use crank_protocol::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 1;
const EDITS: usize = 10_000;
const FILES: std::ops::RangeInclusive<usize> = 2..=6;
const POLLS_MS: [u64; 3] = [100, 250, 500];
const WINDOWS_MS: [u64; 8] = [0, 250, 500, 750, 1_000, 1_500, 2_000, 3_000];
/// Reading takes three round trips to a store in the same region.
const READING_MS: u64 = 6;

/// How an operator's files reach the store.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// `crankctl push` from another region: one round trip a file.
    Push,
    /// A sync tool over a poor line.
    PoorLine,
    /// Saved one by one.
    ByHand,
}

impl Way {
    fn gap_ms(self, rng: &mut StdRng) -> u64 {
        match self {
            Self::Push => rng.random_range(17..=30),
            Self::PoorLine => {
                let exponent: f64 = rng.random_range(20_f64.ln()..1_000_f64.ln());
                exponent.exp() as u64
            }
            Self::ByHand => rng.random_range(1_000..=10_000),
        }
    }
}

#[derive(Debug, Default)]
struct Tally {
    torn: usize,
    delays_ms: Vec<u64>,
}

fn main() {
    println!("way        poll ms  window ms  torn/100 edits  delay ms p50  p99");
    for way in [Way::Push, Way::PoorLine, Way::ByHand] {
        for poll_ms in POLLS_MS {
            for window_ms in WINDOWS_MS {
                let mut tally = measure(way, poll_ms, window_ms);
                tally.delays_ms.sort_unstable();
                let torn = 100.0 * tally.torn as f64 / EDITS as f64;
                let at = |share: usize| tally.delays_ms[EDITS * share / 100];
                println!(
                    "{:<10} {poll_ms:>7}  {window_ms:>9}  {torn:>14.2}  {:>12}  {:>4}",
                    format!("{way:?}"),
                    at(50),
                    at(99),
                );
            }
        }
    }
}

fn measure(way: Way, poll_ms: u64, window_ms: u64) -> Tally {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut tally = Tally::default();
    for _ in 0..EDITS {
        one_edit(way, poll_ms, window_ms, &mut rng, &mut tally);
    }
    tally
}

fn one_edit(way: Way, poll_ms: u64, window_ms: u64, rng: &mut StdRng, tally: &mut Tally) {
    let files = rng.random_range(FILES);
    let mut writes = vec![rng.random_range(0..poll_ms)];
    for _ in 1..files {
        writes.push(writes[writes.len() - 1] + way.gap_ms(rng));
    }
    let last = writes[files - 1];
    let mut watch = FolderWatch::new(Millis(window_ms));
    watch.mark_processed(&listing(0));
    let mut now = 0;
    loop {
        let seen = written(&writes, now);
        let look = watch.observe(&listing(seen), moment(now));
        if look == ListingState::Ready && written(&writes, now + READING_MS) == seen {
            watch.mark_processed(&listing(seen));
            if seen == files {
                tally.delays_ms.push(now + READING_MS - last);
                return;
            }
            tally.torn += 1;
        }
        now += poll_ms;
    }
}

fn written(writes: &[u64], now: u64) -> usize {
    writes.iter().filter(|at| **at <= now).count()
}

fn listing(version: usize) -> Vec<ListedFile> {
    vec![ListedFile {
        name: "all.ini".into(),
        etag: version.to_string().into(),
        size: 1,
    }]
}

fn moment(millis: u64) -> Moment {
    Moment(0).after(Millis(millis))
}
