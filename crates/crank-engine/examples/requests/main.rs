//! Compares the engine's decisions on requests with simpler baselines in a simulation.
//!
//! Run it with `cargo run --release -p crank-engine --example requests -- PART...`. The parts are
//! `choice`, `uneven`, `overload`, `queues`, `faults`, `cold` and `shared`; without any, all parts run. Every
//! line shows the medians over five seeds; all times are simulated.

mod model;
mod placement;
mod setup;
mod shared_limit;
mod simulation;
mod surge;
mod uneven;

use std::io::{self, Write};

use crank_protocol::Millis;
use setup::{Fault, FaultWindow, Queueing, Results, Setup, TargetChoice, base_setup, place};
use simulation::Simulation;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Returns the base setup with all nodes in one data centre.
fn one_data_centre() -> Setup {
    let mut setup = base_setup();
    setup.entries = vec![place(0, 0); 18];
    setup.servers = vec![place(0, 0); 6];
    setup
}

fn fault_window(fault: Fault) -> FaultWindow {
    FaultWindow {
        server: 0,
        fault,
        from: 20.0,
        until: 60.0,
    }
}

struct Summary {
    good: f64,
    of_capacity: f64,
    unknown: f64,
    p50: f64,
    p99: f64,
    p999: f64,
    attempts: f64,
    far: f64,
}

impl Summary {
    fn new(results: &Results) -> Self {
        let offered = results.offered as f64;
        let good = results.latencies.len() as f64;
        Self {
            good: 100.0 * good / offered,
            of_capacity: 100.0 * good / results.capacity,
            unknown: 100.0 * results.unknown as f64 / offered,
            p50: results.quantile(0.5),
            p99: results.quantile(0.99),
            p999: results.quantile(0.999),
            attempts: results.attempts as f64 / offered,
            far: 100.0 * results.far as f64 / results.attempts as f64,
        }
    }
}

fn measure(out: &mut impl Write, label: &str, setup: &Setup) -> io::Result<()> {
    let summaries: Vec<Summary> = SEEDS
        .iter()
        .map(|seed| {
            let setup = Setup {
                seed: *seed,
                ..setup.clone()
            };
            Summary::new(&Simulation::new(setup).run())
        })
        .collect();
    let median = |part: fn(&Summary) -> f64| {
        let mut values: Vec<f64> = summaries.iter().map(part).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    writeln!(
        out,
        "{label:<44} {:>6.2} {:>6.1} {:>7.3} {:>7.1} {:>7.1} {:>7.1} {:>5.2} {:>5.1}",
        median(|summary| summary.good),
        median(|summary| summary.of_capacity),
        median(|summary| summary.unknown),
        median(|summary| summary.p50),
        median(|summary| summary.p99),
        median(|summary| summary.p999),
        median(|summary| summary.attempts),
        median(|summary| summary.far),
    )
}

fn write_header(out: &mut impl Write, title: &str) -> io::Result<()> {
    writeln!(out, "\n{title}")?;
    writeln!(
        out,
        "{:<44} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>5} {:>5}",
        "", "good%", "cap%", "unkn%", "p50ms", "p99ms", "p999ms", "tries", "far%"
    )
}

fn choice(out: &mut impl Write) -> io::Result<()> {
    write_header(out, "choice of a target, no faults")?;
    for (layout, setup) in [
        ("one centre", one_data_centre()),
        ("six centres", base_setup()),
    ] {
        for load in [0.5, 0.7, 0.9] {
            for target_choice in [TargetChoice::Random, TargetChoice::Engine] {
                let setup = Setup {
                    load,
                    target_choice,
                    ..setup.clone()
                };
                measure(
                    out,
                    &format!("{layout}, load {load}, {target_choice:?}"),
                    &setup,
                )?;
            }
        }
    }
    Ok(())
}

fn overload(out: &mut impl Write) -> io::Result<()> {
    write_header(out, "goodput under overload")?;
    for load in [1.0, 1.5, 2.0, 4.0] {
        for (label, target_choice, queueing) in [
            (
                "endless queue, random",
                TargetChoice::Random,
                Queueing::Endless,
            ),
            ("endless queue", TargetChoice::Engine, Queueing::Endless),
            ("engine", TargetChoice::Engine, Queueing::Engine),
        ] {
            // An endless queue shows nothing new at four times the capacity.
            if queueing == Queueing::Endless && load > 2.0 {
                continue;
            }
            let setup = Setup {
                load,
                target_choice,
                queueing,
                seconds: 20.0,
                ..base_setup()
            };
            measure(out, &format!("load {load}, {label}"), &setup)?;
        }
    }
    Ok(())
}

fn queues(out: &mut impl Write) -> io::Result<()> {
    write_header(out, "length of a server's queue")?;
    for queue in [0, 3, 6, 12, 24, 48] {
        for load in [0.9, 1.0, 2.0] {
            let setup = Setup {
                load,
                queue,
                seconds: 30.0,
                ..base_setup()
            };
            measure(out, &format!("queue {queue}, load {load}"), &setup)?;
        }
    }
    Ok(())
}

fn faults(out: &mut impl Write) -> io::Result<()> {
    write_header(
        out,
        "one of six servers in trouble for the last 40 of 60 s, load 0.6",
    )?;
    let faults = [
        ("30 times as slow", Fault::Slow(30.0)),
        ("dead", Fault::Dead),
        ("silent", Fault::Silent),
    ];
    for (label, fault) in faults {
        for (layout, setup) in [
            ("one centre", one_data_centre()),
            ("six centres", base_setup()),
        ] {
            for (policy, target_choice, ejection) in [
                ("random", TargetChoice::Random, false),
                ("two choices", TargetChoice::Engine, false),
                ("and ejection", TargetChoice::Engine, true),
            ] {
                let setup = Setup {
                    load: 0.6,
                    target_choice,
                    ejection,
                    fault_windows: vec![fault_window(fault)],
                    ..setup.clone()
                };
                measure(out, &format!("{label}, {layout}, {policy}"), &setup)?;
            }
        }
    }
    Ok(())
}

fn cold(out: &mut impl Write) -> io::Result<()> {
    write_header(
        out,
        "a server joins at 20 s, 20 times as slow, well by 30 s; load 0.7",
    )?;
    for (layout, setup) in [
        ("one centre", one_data_centre()),
        ("six centres", base_setup()),
    ] {
        for warm_up in [0, 10_000] {
            let fault_window = FaultWindow {
                until: 30.0,
                ..fault_window(Fault::Cold(20.0))
            };
            let setup = Setup {
                warm_up: Millis(warm_up),
                seconds: 40.0,
                fault_windows: vec![fault_window],
                ..setup.clone()
            };
            measure(out, &format!("{layout}, warm_up {warm_up} ms"), &setup)?;
        }
    }
    Ok(())
}

fn shared(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "\nanother service hangs at the same entry: quick service's good answers"
    )?;
    for scope in [
        shared_limit::LimitScope::Shared,
        shared_limit::LimitScope::Apart,
    ] {
        let mut shares: Vec<f64> = SEEDS
            .iter()
            .map(|seed| shared_limit::run(scope, *seed))
            .map(|results| 100.0 * results.good as f64 / results.offered as f64)
            .collect();
        shares.sort_by(f64::total_cmp);
        let median = shares[shares.len() / 2];
        writeln!(out, "places {scope:<44?} {median:>6.2}%")?;
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let out = &mut io::stdout().lock();
    let selected: Vec<String> = std::env::args().skip(1).collect();
    let is_selected =
        |part: &str| selected.is_empty() || selected.iter().any(|selected| selected == part);
    if is_selected("choice") {
        choice(out)?;
    }
    if is_selected("uneven") {
        uneven::compare(out, &SEEDS[..3])?;
    }
    if is_selected("overload") {
        overload(out)?;
    }
    if is_selected("queues") {
        queues(out)?;
    }
    if is_selected("faults") {
        faults(out)?;
    }
    if is_selected("cold") {
        cold(out)?;
    }
    if is_selected("shared") {
        shared(out)?;
    }
    Ok(())
}
