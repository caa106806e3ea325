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
