//! Evaluation of the reports of many nodes: burn rates and alarms.

use std::collections::BTreeMap;

use crank_protocol::config::{Objective, Version};
use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use super::counter::WINDOWS;
use super::{BurnReport, Tally};

const PERMILLE_PER_WHOLE: u64 = 1_000;

/// The urgency of an alarm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Somebody must respond on a working day.
    Ticket,
    /// Somebody must respond at once.
    Page,
}

/// An alarm that fires while the burn rates over both its windows reach its threshold.
///
/// The short window ends the alarm soon after its cause has ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Alarm {
    /// The urgency of the alarm.
    pub severity: Severity,
    /// The long window.
    pub long: Millis,
    /// The short window.
    pub short: Millis,
    /// The burn rate from which the alarm fires.
    pub rate: f64,
}

/// All alarms, the most urgent first.
pub const ALARMS: [Alarm; 4] = [
    alarm(Severity::Page, WINDOWS[2], WINDOWS[0], 14.4),
    alarm(Severity::Page, WINDOWS[4], WINDOWS[1], 6.0),
    alarm(Severity::Ticket, WINDOWS[5], WINDOWS[3], 3.0),
    alarm(Severity::Ticket, WINDOWS[6], WINDOWS[4], 1.0),
];

const fn alarm(severity: Severity, long: Millis, short: Millis, rate: f64) -> Alarm {
    Alarm {
        severity,
        long,
        short,
        rate,
    }
}

/// The burn rate of a service in one window, over all nodes that reported.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnRate {
    /// The length of the window.
    pub window: Millis,
    /// The request counts in the window.
    pub tally: Tally,
    /// The burn rate of the error budget; `None` without requests, without an objective, or if the
    /// objective leaves no budget.
    pub burn: Option<f64>,
}

/// The evaluation of a service over all nodes that reported.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEvaluation {
    /// The name of the service.
    pub service: Name,
    /// The objective in the highest reported configuration version, if there is one.
    pub objective: Option<Objective>,
    /// The burn rates for all windows, the shortest first.
    pub rates: Vec<BurnRate>,
    /// The alarms that fire.
    pub alarms: Vec<Alarm>,
}

/// Adds up the reports and evaluates each service; nodes that did not report are not included.
///
/// ```
/// use crank_engine::{Moment, burn::{BurnCounter, evaluate}};
/// use crank_protocol::Name;
/// let report = BurnCounter::new(Moment(0)).report(Name::new("n1").unwrap(), None, Moment(1));
/// assert!(evaluate(&[report]).is_empty());
/// ```
#[must_use]
pub fn evaluate(reports: &[BurnReport]) -> Vec<ServiceEvaluation> {
    let mut totals_by_service: BTreeMap<&Name, ServiceTotals> = BTreeMap::new();
    for report in reports {
        for (name, counts) in &report.services {
            let totals = totals_by_service.entry(name).or_default();
            if report.version >= totals.version {
                totals.version = report.version;
                totals.objective = counts.objective;
            }
            for (window, tally) in &counts.windows {
                totals.windows.entry(*window).or_default().merge(*tally);
            }
        }
    }
    totals_by_service
        .into_iter()
        .map(|(name, totals)| totals.evaluate(name))
        .collect()
}

#[derive(Default)]
struct ServiceTotals {
    version: Option<Version>,
    objective: Option<Objective>,
    windows: BTreeMap<Millis, Tally>,
}

impl ServiceTotals {
    fn evaluate(self, service: &Name) -> ServiceEvaluation {
        let to_rate = |(window, tally): (&Millis, &Tally)| BurnRate {
            window: *window,
            tally: *tally,
            burn: self
                .objective
                .and_then(|objective| burn_rate(objective, *tally)),
        };
        let rates: Vec<BurnRate> = self.windows.iter().map(to_rate).collect();
        let alarms = ALARMS
            .into_iter()
            .filter(|alarm| is_firing(alarm, &rates))
            .collect();
        ServiceEvaluation {
            service: service.clone(),
            objective: self.objective,
            rates,
            alarms,
        }
    }
}

fn is_firing(alarm: &Alarm, rates: &[BurnRate]) -> bool {
    [alarm.long, alarm.short].iter().all(|window| {
        rates
            .iter()
            .filter(|rate| rate.window == *window)
            .any(|rate| rate.burn.is_some_and(|burn| burn >= alarm.rate))
    })
}

fn burn_rate(objective: Objective, tally: Tally) -> Option<f64> {
    let budget = PERMILLE_PER_WHOLE.saturating_sub(u64::from(objective.good.0));
    if tally.total() == 0 || budget == 0 {
        return None;
    }
    let bad = tally.bad.saturating_mul(PERMILLE_PER_WHOLE);
    let allowed = tally.total().saturating_mul(budget);
    Some(bad as f64 / allowed as f64)
}
