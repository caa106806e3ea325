//! Arrival times that do not wait for answers.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

/// One request to send.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turn {
    pub(super) number: usize,
    pub(super) id: u128,
    /// When it was meant to be sent; late sending counts as latency.
    pub(super) due: Instant,
    pub(super) is_counted: bool,
}

/// Gives turns at random times (a Poisson process) from a thread of its own, whose clock is finer
/// than that of the runtime.
pub(super) fn start(
    rate: f64,
    warm_up: Duration,
    time: Duration,
    seed: u64,
) -> mpsc::UnboundedReceiver<Turn> {
    let (turns, receiver) = mpsc::unbounded_channel();
    // Drawn anew for each run, because ledgers remember the ids of earlier runs.
    let first_id: u128 = rand::random();
    std::thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let began = Instant::now();
        let mut due = began;
        for number in 0.. {
            let uniform: f64 = rng.random();
            due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if due >= began + warm_up + time {
                return;
            }
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let turn = Turn {
                number,
                id: first_id.wrapping_add(number as u128),
                due,
                is_counted: due >= began + warm_up,
            };
            if turns.send(turn).is_err() {
                return;
            }
        }
    });
    receiver
}
