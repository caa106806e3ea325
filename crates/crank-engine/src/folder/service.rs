//! The `[service NAME]` sections: keys, ranges and defaults.

use crank_protocol::config::{Importance, Objective, Service};
use crank_protocol::{Millis, Permille};

use super::Problem;
use super::route::path;
use crate::ini::{self, Fault, Section, SectionReader, value};

const MAX_SLOTS: u32 = 10_000;
const MAX_CONNECTIONS: u32 = 100_000;
const MAX_QUEUE: u32 = 100_000;
pub(super) const MAX_TIMEOUT_MILLIS: u64 = 10 * 60_000;
const MAX_WARM_UP_MILLIS: u64 = 10 * 60_000;
const MAX_GRACE_MILLIS: u64 = 60 * 60_000;
const MAX_LATENCY_MILLIS: u64 = 10 * 60_000;
const FULL_PERMILLE: u32 = 1_000;
const MIN_GOOD_PERMILLE: u32 = 500;
// An objective of 100% would leave no error budget.
const MAX_GOOD_PERMILLE: u32 = 999;

const DEFAULT_CONNECTIONS: u32 = 100;
const DEFAULT_QUEUE: u32 = 16;
const DEFAULT_TIMEOUT: Millis = Millis(10_000);
const DEFAULT_RETRY_BUDGET: Permille = Permille(100);
const DEFAULT_WARM_UP: Millis = Millis(10_000);
const DEFAULT_DRAIN_GRACE: Millis = Millis(30_000);

pub(super) fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Service> {
    let mut reader = SectionReader::new(section);
    let slots = reader.required(
        "slots",
        "the number of requests that one server runs at once",
        |text| value::count(text, 1, MAX_SLOTS),
    );
    let connections = reader.optional("connections", |text| value::count(text, 1, MAX_CONNECTIONS));
    let queue = reader.optional("queue", |text| value::count(text, 0, MAX_QUEUE));
    let timeout = reader.optional("timeout", |text| {
        value::duration(text, 1, MAX_TIMEOUT_MILLIS)
    });
    let retry_budget = reader.optional("retry_budget", |text| {
        value::percentage(text, 0, FULL_PERMILLE)
    });
    let importance = reader.optional("importance", importance);
    let warm_up = reader.optional("warm_up", |text| {
        value::duration(text, 0, MAX_WARM_UP_MILLIS)
    });
    let drain_grace = reader.optional("drain_grace", |text| {
        value::duration(text, 0, MAX_GRACE_MILLIS)
    });
    let health = reader.optional("health", path);
    let objective = objective(section, &mut reader);
    faults.extend(reader.finish());
    Some(Service {
        slots: slots?,
        connections: connections.unwrap_or(DEFAULT_CONNECTIONS),
        queue: queue.unwrap_or(DEFAULT_QUEUE),
        timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        retry_budget: retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET),
        importance: importance.unwrap_or_default(),
        warm_up: warm_up.unwrap_or(DEFAULT_WARM_UP),
        drain_grace: drain_grace.unwrap_or(DEFAULT_DRAIN_GRACE),
        objective,
        health,
    })
}

fn objective(section: &Section, reader: &mut SectionReader<'_>) -> Option<Objective> {
    const GOOD: &str = "objective_good";
    const LATENCY: &str = "objective_latency";
    let good = reader.optional(GOOD, |text| {
        value::percentage(text, MIN_GOOD_PERMILLE, MAX_GOOD_PERMILLE)
    });
    let latency = reader.optional(LATENCY, |text| value::duration(text, 1, MAX_LATENCY_MILLIS));
    let is_present = |key| section.entries.contains_key(key);
    let incomplete = match (is_present(GOOD), is_present(LATENCY)) {
        (true, false) => Some((GOOD, LATENCY)),
        (false, true) => Some((LATENCY, GOOD)),
        _ => None,
    };
    if let Some((present, missing)) = incomplete {
        reader.report(
            present,
            Problem::IncompleteObjective { present, missing }.into(),
        );
    }
    Some(Objective {
        good: good?,
        latency: latency?,
    })
}

pub(super) fn importance(text: &str) -> Result<Importance, ini::Problem> {
    match text {
        "low" => Ok(Importance::Low),
        "normal" => Ok(Importance::Normal),
        "high" => Ok(Importance::High),
        _ => Err(ini::Problem::InvalidValue {
            given: text.into(),
            expected: "low, normal or high",
        }),
    }
}
