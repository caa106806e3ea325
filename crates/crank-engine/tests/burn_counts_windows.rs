//! Error-budget burn: windowed counts, burn rates and alarms.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use crank_engine::Moment;
use crank_engine::burn::{BurnCounter, BurnReport, Severity, Tally, evaluate};
use crank_engine::folder::{File, merge};
use crank_protocol::config::{Config, Version};
use crank_protocol::{Millis, Name};
use proptest::prelude::*;

const MINUTE: Millis = Millis(60_000);
const FIVE_MINUTES: Millis = Millis(5 * 60_000);
const THREE_DAYS: Millis = Millis(72 * 60 * 60_000);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn minute(number: u64) -> Moment {
    Moment::default().after(Millis(number * MINUTE.0))
}

fn config(good: &str) -> Config {
    let text = format!(
        "[account]\nname = a\n[service recipes]\nslots = 6\n\
         objective_good = {good}\nobjective_latency = 1s\n"
    );
    let file = File {
        name: "a.ini".into(),
        content: text.into(),
    };
    merge(&[file]).unwrap().config
}

fn report(burn: &BurnCounter, node: &str, version: u64, good: &str, now: Moment) -> BurnReport {
    burn.report(name(node), Some((Version(version), &config(good))), now)
}

#[test]
fn a_window_excludes_older_requests() {
    let recipes = name("recipes");
    let mut burn = BurnCounter::new(minute(0));
    burn.record(&recipes, false, minute(0));
    burn.record(&recipes, true, minute(4));
    assert_eq!(
        burn.tally(&recipes, FIVE_MINUTES, minute(4)),
        Tally { good: 1, bad: 1 }
    );
    assert_eq!(
        burn.tally(&recipes, FIVE_MINUTES, minute(5)),
        Tally { good: 1, bad: 0 }
    );
    assert_eq!(
        burn.tally(&recipes, THREE_DAYS, minute(5)),
        Tally { good: 1, bad: 1 }
    );
    assert_eq!(
        burn.tally(&recipes, THREE_DAYS, minute(4_320)),
        Tally::default()
    );
}

#[test]
fn an_alarm_requires_both_windows_and_ends_with_the_short_one() {
    let recipes = name("recipes");
    let mut burn = BurnCounter::new(minute(0));
    for second in 0..300 {
        burn.record(&recipes, second % 50 != 0, Moment(second * 1_000_000));
    }
    let severities = |now| {
        let evaluations = evaluate(&[report(&burn, "n1", 1, "99.9%", now)]);
        let alarms = evaluations[0].alarms.iter();
        alarms.map(|alarm| alarm.severity).collect::<Vec<_>>()
    };
    // 2 % bad requests with a budget of 0.1 % give a burn rate of 20 over every window with counts.
    assert_eq!(severities(minute(4)).len(), 4);
    assert_eq!(severities(minute(10)).len(), 3);
    // An hour later only the ticket alarms still fire.
    let an_hour_later = severities(minute(70));
    assert_eq!(an_hour_later, [Severity::Ticket, Severity::Ticket]);
}

#[test]
fn without_requests_there_is_no_burn_rate() {
    let evaluations = evaluate(&[report(
        &BurnCounter::new(minute(0)),
        "n1",
        1,
        "99%",
        minute(1),
    )]);
    assert!(evaluations[0].rates.iter().all(|rate| rate.burn.is_none()));
    assert!(evaluate(&[]).is_empty());
}

#[test]
fn reports_add_up_and_the_highest_version_sets_the_objective() {
    let recipes = name("recipes");
    let mut burn = BurnCounter::new(minute(0));
    burn.record(&recipes, false, minute(0));
    let new = report(&burn, "n1", 2, "90%", minute(1));
    let old = report(&burn, "n2", 1, "99%", minute(1));
    for reports in [[new.clone(), old.clone()], [old, new]] {
        let evaluations = evaluate(&reports);
        assert_eq!(evaluations[0].rates[0].tally, Tally { good: 0, bad: 2 });
        assert_eq!(evaluations[0].rates[0].burn, Some(10.0));
    }
}

#[test]
fn the_number_of_services_is_bounded() {
    let mut burn = BurnCounter::new(minute(0));
    for number in 0..300 {
        burn.record(&name(&format!("s{number}")), true, minute(number));
    }
    assert_eq!(burn.tally(&name("s0"), THREE_DAYS, minute(300)).total(), 0);
    assert_eq!(
        burn.tally(&name("s299"), THREE_DAYS, minute(300)).total(),
        1
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    #[test]
    fn every_window_counts_the_requests_within_it(
        records in prop::collection::vec((0..400_u64, any::<bool>()), 0..200),
        window in 1..360_u64,
    ) {
        let mut records = records;
        records.sort();
        let recipes = name("recipes");
        let mut burn = BurnCounter::new(minute(0));
        for (at, good) in &records {
            burn.record(&recipes, *good, minute(*at));
        }
        let recent = records.iter().filter(|(at, _)| at + window > 400);
        let tally = burn.tally(&recipes, Millis(window * MINUTE.0), minute(400));
        prop_assert_eq!(tally.total(), recent.count() as u64);
    }
}
