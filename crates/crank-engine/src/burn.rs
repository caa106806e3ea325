//! Service-level burn: windowed counts in bounded memory, burn rates and alarms.
//!
//! The windows and thresholds are those of multi-window, multi-burn-rate alerting for a budget of
//! thirty days: a burn rate of 1 spends the whole budget in just that time.

mod counter;
mod judge;
mod ring;

pub use counter::{Burn, Counts, Report, Tally, is_good};
pub use judge::{ALARMS, Alarm, Judgement, Rate, Severity, judge};
