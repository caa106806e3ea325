//! Ways to place requests where servers and demand are uneven.

use std::io::{self, Write};

use crank_protocol::Millis;
use crank_protocol::member::Place;

use crate::setup::{Queueing, Results, Setup, TargetChoice, Unevenness};
use crate::simulation::Simulation;

const CHOICES: [TargetChoice; 5] = [
    TargetChoice::EngineBySlots,
    TargetChoice::Engine,
    TargetChoice::JoinIdleQueue,
    TargetChoice::LateBinding,
    TargetChoice::HotCold,
];

const SECOND: u64 = 1_000_000;
const DATA_CENTRES: usize = 6;
/// The period in which demand swings.
const WAVE_SECONDS: f64 = 15.0;
/// How long other work on a server's machine lasts, in microseconds.
const NOISE_PERIOD: u64 = 600_000;

/// Returns a service with 30 servers of 12 slots in six data centres, and 86 entries; the servers'
/// speeds differ by a factor of two and change, and demand swings by half, in each data centre at
/// another phase.
pub(crate) fn uneven_setup(load: f64) -> Setup {
    let places = |count: usize| -> Vec<Place> {
        let places = crate::setup::six_places();
        places.into_iter().cycle().take(count).collect()
    };
    Setup {
        entries: places(86),
        servers: places(30),
        slots: 12,
        queue: 48,
        mean: 190.0,
        timeout: Millis(1_500),
        load,
        seconds: 40.0,
        unevenness: Unevenness {
            speeds: vec![0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2],
            noise_share: 0.15,
            noise_factor: 2.5,
            swing: 0.55,
            phase_spread: 0.5,
        },
        objective: Millis(600),
        probes: 3,
        queueing: Queueing::Engine,
        ..crate::setup::base_setup()
    }
}

/// Compares the ways to place requests at three loads; the line shows medians.
pub(crate) fn compare(out: &mut impl Write, seeds: &[u64]) -> io::Result<()> {
    writeln!(
        out,
        "\nuneven servers and demand: share in objective, p99 ms, refused, slot-seconds idle while \
         others queue, seconds queued, messages a request, attempts in other regions"
    )?;
    for load in [0.35, 0.55, 0.7] {
        for target_choice in CHOICES {
            let results: Vec<Results> = seeds
                .iter()
                .map(|seed| {
                    let setup = Setup {
                        target_choice,
                        seed: *seed,
                        ..uneven_setup(load)
                    };
                    Simulation::new(setup).run()
                })
                .collect();
            let median = |part: fn(&Results) -> f64| {
                let mut values: Vec<f64> = results.iter().map(part).collect();
                values.sort_by(f64::total_cmp);
                values[values.len() / 2]
            };
            writeln!(
                out,
                "load {load:<5} {:<14} {:>6.2}% {:>7.1} {:>6.2}% {:>7.1} {:>7.1} {:>5.2} {:>5.1}%",
                format!("{target_choice:?}"),
                median(|results| 100.0 * share(results.in_objective, results.offered)),
                median(|results| results.quantile(0.99)),
                median(|results| 100.0 * share(results.refused, results.offered)),
                median(|results| results.idle_while_queued / 1e6),
                median(|results| results.queued / 1e6),
                median(|results| share(results.messages, results.offered)),
                median(|results| 100.0 * share(results.far, results.attempts)),
            )?;
        }
    }
    Ok(())
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

impl Simulation {
    /// Returns the demand at an entry now, as a share of its mean.
    pub(crate) fn demand(&self, entry: usize) -> f64 {
        let uneven = &self.setup.unevenness;
        let phase = (entry % DATA_CENTRES) as f64 / DATA_CENTRES as f64 * uneven.phase_spread;
        let turns = self.now as f64 / SECOND as f64 / WAVE_SECONDS + phase;
        let swing = uneven.swing * (std::f64::consts::TAU * turns).sin();
        self.surge_factor() * (1.0 + swing)
    }

    /// Adds the time until `time` to the time that requests wait, and that slots are free then.
    pub(crate) fn count_waste(&mut self, time: u64) {
        let loads = self.servers.iter().map(|server| server.admission.load());
        let (waiting, free) = loads.fold((0, 0), |(waiting, free), load| {
            let idle = load.slots.saturating_sub(load.running);
            (waiting + load.waiting, free + idle)
        });
        let elapsed = (time - self.now) as f64;
        self.results.queued += f64::from(waiting) * elapsed;
        self.results.idle_while_queued += f64::from(free.min(waiting)) * elapsed;
    }

    /// Returns how many times the usual run time the server needs now.
    pub(crate) fn run_factor(&self, server: usize) -> f64 {
        let uneven = &self.setup.unevenness;
        let speeds = &uneven.speeds;
        let speed = speeds
            .get(server % speeds.len().max(1))
            .copied()
            .unwrap_or(1.0);
        self.noise(server) / speed
    }

    /// Returns how many times as long work takes because of other work on the server's machine.
    pub(crate) fn noise(&self, server: usize) -> f64 {
        let uneven = &self.setup.unevenness;
        let period = self.now / NOISE_PERIOD;
        let mixed = (period * 1_000 + server as u64 + self.setup.seed * 77)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let draw = (mixed >> 11) as f64 / (1_u64 << 53) as f64;
        if draw < uneven.noise_share {
            uneven.noise_factor
        } else {
            1.0
        }
    }
}
