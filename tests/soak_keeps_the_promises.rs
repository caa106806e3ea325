//! Seeded faults on a fleet of real processes break no promise to callers and operators.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use crank_load::soak::{self, Plan};
use tempfile::tempdir;

const NODES: usize = 6;
const LENGTH: Duration = Duration::from_secs(6);

/// A plan of planned work only, and one with faults of every kind.
const SEEDS: [u64; 2] = [4, 3];

/// Seeds that failed once, each with its cause; they stay.
const REGRESSIONS: [u64; 1] = [
    // Four nodes frozen by turns: a read was told not to have run that was written as its time ended.
    23,
];
/// For how long faults began when they failed.
const REGRESSION_LENGTH: Duration = Duration::from_secs(8);

#[tokio::test(flavor = "multi_thread")]
async fn faults_of_fixed_seeds_break_no_promise() {
    let programs = Path::new(env!("CARGO_BIN_EXE_crank-node"))
        .parent()
        .unwrap();
    let fixed = SEEDS.map(|seed| (seed, LENGTH));
    let failed = REGRESSIONS.map(|seed| (seed, REGRESSION_LENGTH));
    for (seed, length) in fixed.into_iter().chain(failed) {
        let home = tempdir().unwrap();
        let plan = Plan::new(seed, NODES, length);
        let outcome = soak::run(&plan, programs, home.path()).await.unwrap();
        assert!(
            outcome.broken.is_empty(),
            "seed {seed}: {:?}\n{plan:?}\nlogs kept in {}",
            outcome.broken,
            home.keep().display()
        );
        assert!(outcome.reads.requests > 0 && outcome.orders.requests > 0);
    }
}

#[test]
fn a_plan_undoes_each_of_its_faults() {
    use soak::{LinkCondition, Step};
    for seed in 0..200 {
        let plan = Plan::new(seed, NODES, LENGTH);
        let count =
            |is_it: fn(&Step) -> bool| plan.due.iter().filter(|due| is_it(&due.step)).count();
        let gone = count(|step| matches!(step, Step::Crash(_) | Step::Terminate(_)));
        assert_eq!(gone, count(|step| matches!(step, Step::Start(_))));
        let frozen = count(|step| matches!(step, Step::Freeze(_)));
        assert_eq!(frozen, count(|step| matches!(step, Step::Wake(_))));
        let last = |node: usize, is_store: bool| {
            let mut lines = plan.due.iter().filter_map(|due| match due.step {
                Step::StoreLine(at, line) if is_store && at == node => Some(line),
                Step::CallerLine(at, line) if !is_store && at == node => Some(line),
                _ => None,
            });
            lines.next_back()
        };
        for node in 0..NODES {
            for is_store in [true, false] {
                assert!(matches!(
                    last(node, is_store),
                    None | Some(LinkCondition::Open)
                ));
            }
        }
    }
}
