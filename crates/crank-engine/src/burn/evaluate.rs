//! From the counts of many nodes to burn rates and alarms.

use std::collections::BTreeMap;

use crank_protocol::config::{Objective, Version};
use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use super::counter::WINDOWS;
use super::{BurnReport, Tally};

const WHOLE_PERMILLE: u64 = 1_000;

/// How soon somebody must look.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// On a working day.
    Ticket,
    /// At once.
    Page,
}

/// Both windows must burn at the rate; the short one ends the alarm soon after the cause.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Alarm {
    /// How soon somebody must look.
    pub severity: Severity,
    /// The long window.
    pub long: Millis,
    /// The short window.
    pub short: Millis,
    /// The burn rate from which it sounds.
    pub rate: f64,
}

/// The alarms, most urgent first.
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

/// A window of a service over all nodes that answered.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnRate {
    /// The length of the window.
    pub window: Millis,
    /// The counts.
    pub tally: Tally,
    /// How fast the budget burns; absent without requests or without an objective.
    pub burn: Option<f64>,
}

/// A service over all nodes that answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEvaluation {
    /// The service.
    pub service: Name,
    /// Its objective in the highest version that answered, where there is one.
    pub objective: Option<Objective>,
    /// Every window, shortest first.
    pub rates: Vec<BurnRate>,
    /// The alarms that sound.
    pub alarms: Vec<Alarm>,
}

/// Sums the reports and judges each service; who did not report is not counted at all.
///
/// ```
/// use crank_engine::{Moment, burn::{BurnCounter, evaluate}};
/// use crank_protocol::Name;
/// let report = BurnCounter::new(Moment(0)).report(Name::new("n1").unwrap(), None, Moment(1));
/// assert!(evaluate(&[report]).is_empty());
/// ```
#[must_use]
pub fn evaluate(reports: &[BurnReport]) -> Vec<ServiceEvaluation> {
    let mut sums: BTreeMap<&Name, Sum> = BTreeMap::new();
    for report in reports {
        for (name, counts) in &report.services {
            let sum = sums.entry(name).or_default();
            if report.version >= sum.version {
                sum.version = report.version;
                sum.objective = counts.objective;
            }
            for (window, tally) in &counts.windows {
                sum.windows.entry(*window).or_default().merge(*tally);
            }
        }
    }
    sums.into_iter()
        .map(|(name, sum)| sum.evaluate(name))
        .collect()
}

#[derive(Default)]
struct Sum {
    version: Option<Version>,
    objective: Option<Objective>,
    windows: BTreeMap<Millis, Tally>,
}

impl Sum {
    fn evaluate(self, service: &Name) -> ServiceEvaluation {
        let rate = |(window, tally): (&Millis, &Tally)| BurnRate {
            window: *window,
            tally: *tally,
            burn: self.objective.and_then(|objective| burn(objective, *tally)),
        };
        let rates: Vec<BurnRate> = self.windows.iter().map(rate).collect();
        let alarms = ALARMS
            .into_iter()
            .filter(|alarm| sounds(alarm, &rates))
            .collect();
        ServiceEvaluation {
            service: service.clone(),
            objective: self.objective,
            rates,
            alarms,
        }
    }
}

fn sounds(alarm: &Alarm, rates: &[BurnRate]) -> bool {
    [alarm.long, alarm.short].iter().all(|window| {
        rates
            .iter()
            .filter(|rate| rate.window == *window)
            .any(|rate| rate.burn.is_some_and(|burn| burn >= alarm.rate))
    })
}

fn burn(objective: Objective, tally: Tally) -> Option<f64> {
    let budget = WHOLE_PERMILLE.saturating_sub(u64::from(objective.good.0));
    if tally.total() == 0 || budget == 0 {
        return None;
    }
    let bad = tally.bad.saturating_mul(WHOLE_PERMILLE);
    let allowed = tally.total().saturating_mul(budget);
    Some(bad as f64 / allowed as f64)
}
