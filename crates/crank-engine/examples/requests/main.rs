//! Measures the policy of requests against baselines, all parts or those named:
//! `cargo run --release -p crank-engine --example requests -- choice overload queues faults cold shared`.
//!
//! Every line is the median of five seeds, in simulated time.

mod parts;
mod setup;
mod shared;
mod world;

use std::io::{self, Write};

use crank_protocol::member::Place;
use crank_protocol::{Millis, Name, Permille};
use setup::{Chooser, Fault, Figures, Queueing, Setup, Trouble};
use world::World;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn named(text: &str) -> Name {
    match Name::new(text) {
        Ok(name) => name,
        Err(error) => unreachable!("{error}"),
    }
}

fn place(region: usize, data_centre: usize) -> Place {
    Place {
        region: named(&format!("region-{region}")),
        data_centre: named(&format!("centre-{region}-{data_centre}")),
    }
}

/// Three regions with two data centres each.
fn six_places() -> Vec<Place> {
    (0..6).map(|number| place(number / 2, number % 2)).collect()
}

/// One service of the brief: 6 servers with 6 slots, and 18 nodes as entries.
fn brief() -> Setup {
    let entries = six_places().into_iter().cycle().take(18).collect();
    Setup {
        entries,
        servers: six_places(),
        slots: 6,
        queue: 12,
        mean: 20.0,
        timeout: Millis(1_000),
        load: 0.7,
        seconds: 60.0,
        chooser: Chooser::Engine,
        queueing: Queueing::Engine,
        ejection: true,
        retry_budget: Permille(200),
        warm_up: Millis(10_000),
        troubles: Vec::new(),
        seed: 1,
    }
}

/// The same in one data centre.
fn one_centre() -> Setup {
    let mut setup = brief();
    setup.entries = vec![place(0, 0); 18];
    setup.servers = vec![place(0, 0); 6];
    setup
}

fn trouble(fault: Fault) -> Trouble {
    Trouble {
        server: 0,
        fault,
        from: 20.0,
        until: 60.0,
    }
}

struct Line {
    good: f64,
    of_capacity: f64,
    unknown: f64,
    p50: f64,
    p99: f64,
    p999: f64,
    attempts: f64,
    far: f64,
}

impl Line {
    fn new(figures: &Figures) -> Self {
        let offered = figures.offered as f64;
        let good = figures.latencies.len() as f64;
        Self {
            good: 100.0 * good / offered,
            of_capacity: 100.0 * good / figures.capacity,
            unknown: 100.0 * figures.unknown as f64 / offered,
            p50: figures.quantile(0.5),
            p99: figures.quantile(0.99),
            p999: figures.quantile(0.999),
            attempts: figures.attempts as f64 / offered,
            far: 100.0 * figures.far as f64 / figures.attempts as f64,
        }
    }
}

fn measure(out: &mut impl Write, label: &str, setup: &Setup) -> io::Result<()> {
    let lines: Vec<Line> = SEEDS
        .iter()
        .map(|seed| {
            let setup = Setup {
                seed: *seed,
                ..setup.clone()
            };
            Line::new(&World::new(setup).run())
        })
        .collect();
    let median = |part: fn(&Line) -> f64| {
        let mut values: Vec<f64> = lines.iter().map(part).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    writeln!(
        out,
        "{label:<44} {:>6.2} {:>6.1} {:>7.3} {:>7.1} {:>7.1} {:>7.1} {:>5.2} {:>5.1}",
        median(|line| line.good),
        median(|line| line.of_capacity),
        median(|line| line.unknown),
        median(|line| line.p50),
        median(|line| line.p99),
        median(|line| line.p999),
        median(|line| line.attempts),
        median(|line| line.far),
    )
}

fn head(out: &mut impl Write, title: &str) -> io::Result<()> {
    writeln!(out, "\n{title}")?;
    writeln!(
        out,
        "{:<44} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>5} {:>5}",
        "", "good%", "cap%", "unkn%", "p50ms", "p99ms", "p999ms", "tries", "far%"
    )
}

fn choice(out: &mut impl Write) -> io::Result<()> {
    head(out, "choice of a target, no faults")?;
    for (world, setup) in [("one centre", one_centre()), ("six centres", brief())] {
        for load in [0.5, 0.7, 0.9] {
            for chooser in [Chooser::Random, Chooser::Engine] {
                let setup = Setup {
                    load,
                    chooser,
                    ..setup.clone()
                };
                measure(out, &format!("{world}, load {load}, {chooser:?}"), &setup)?;
            }
        }
    }
    Ok(())
}

fn overload(out: &mut impl Write) -> io::Result<()> {
    head(out, "goodput under overload")?;
    for load in [1.0, 1.5, 2.0, 4.0] {
        for (label, chooser, queueing) in [
            ("endless queue, random", Chooser::Random, Queueing::Endless),
            ("endless queue", Chooser::Engine, Queueing::Endless),
            ("engine", Chooser::Engine, Queueing::Engine),
        ] {
            // An endless queue at four times the capacity has nothing left to show.
            if queueing == Queueing::Endless && load > 2.0 {
                continue;
            }
            let setup = Setup {
                load,
                chooser,
                queueing,
                seconds: 20.0,
                ..brief()
            };
            measure(out, &format!("load {load}, {label}"), &setup)?;
        }
    }
    Ok(())
}

fn queues(out: &mut impl Write) -> io::Result<()> {
    head(out, "length of a server's queue")?;
    for queue in [0, 3, 6, 12, 24, 48] {
        for load in [0.9, 1.0, 2.0] {
            let setup = Setup {
                load,
                queue,
                seconds: 30.0,
                ..brief()
            };
            measure(out, &format!("queue {queue}, load {load}"), &setup)?;
        }
    }
    Ok(())
}

fn faults(out: &mut impl Write) -> io::Result<()> {
    head(
        out,
        "one of six servers in trouble for the last 40 of 60 s, load 0.6",
    )?;
    let faults = [
        ("30 times as slow", Fault::Slow(30.0)),
        ("dead", Fault::Dead),
        ("silent", Fault::Silent),
    ];
    for (label, fault) in faults {
        for (world, setup) in [("one centre", one_centre()), ("six centres", brief())] {
            for (policy, chooser, ejection) in [
                ("random", Chooser::Random, false),
                ("two choices", Chooser::Engine, false),
                ("and ejection", Chooser::Engine, true),
            ] {
                let setup = Setup {
                    load: 0.6,
                    chooser,
                    ejection,
                    troubles: vec![trouble(fault)],
                    ..setup.clone()
                };
                measure(out, &format!("{label}, {world}, {policy}"), &setup)?;
            }
        }
    }
    Ok(())
}

fn cold(out: &mut impl Write) -> io::Result<()> {
    head(
        out,
        "a server joins at 20 s, 20 times as slow, well by 30 s; load 0.7",
    )?;
    for (world, setup) in [("one centre", one_centre()), ("six centres", brief())] {
        for warm_up in [0, 10_000] {
            let trouble = Trouble {
                until: 30.0,
                ..trouble(Fault::Cold(20.0))
            };
            let setup = Setup {
                warm_up: Millis(warm_up),
                seconds: 40.0,
                troubles: vec![trouble],
                ..setup.clone()
            };
            measure(out, &format!("{world}, warm_up {warm_up} ms"), &setup)?;
        }
    }
    Ok(())
}

fn hanging(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "\nanother service hangs at the same entry: quick service's good answers"
    )?;
    for places in [shared::Places::Shared, shared::Places::Apart] {
        let mut shares: Vec<f64> = SEEDS
            .iter()
            .map(|seed| shared::run(places, *seed))
            .map(|quick| 100.0 * quick.good as f64 / quick.offered as f64)
            .collect();
        shares.sort_by(f64::total_cmp);
        let median = shares[shares.len() / 2];
        writeln!(out, "places {places:<44?} {median:>6.2}%")?;
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let out = &mut io::stdout().lock();
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let runs = |part: &str| wanted.is_empty() || wanted.iter().any(|wanted| wanted == part);
    if runs("choice") {
        choice(out)?;
    }
    if runs("overload") {
        overload(out)?;
    }
    if runs("queues") {
        queues(out)?;
    }
    if runs("faults") {
        faults(out)?;
    }
    if runs("cold") {
        cold(out)?;
    }
    if runs("shared") {
        hanging(out)?;
    }
    Ok(())
}
