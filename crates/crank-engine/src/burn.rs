//! Error-budget burn: windowed request counts in bounded memory, burn rates and alarms.
//!
//! The windows and thresholds are those of multi-window, multi-burn-rate alerting for an error
//! budget of thirty days: a burn rate of 1 spends the whole budget in exactly that time.

mod counter;
mod evaluate;
mod ring;

pub use counter::{BurnCounter, BurnReport, ServiceCounts, Tally, meets_objective};
pub use evaluate::{ALARMS, Alarm, BurnRate, ServiceEvaluation, Severity, evaluate};
