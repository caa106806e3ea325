//! The rate of starts that a backend server states as its limit.
//!
//! Load pattern: a server in need gets as many requests as the others, because nodes count its free
//! slots alone, and what it can no longer serve fails there instead of running elsewhere.

use crank_protocol::{Millis, RequestRate};
use serde::{Deserialize, Serialize};

use crate::Moment;

/// A server with a lower limit still gets this rate: only its answers tell when the limit ends.
const MIN_RATE: RequestRate = RequestRate(200);
/// The allowance that is saved up lasts this long at the stated rate, plus one request.
const MAX_SAVED: Millis = Millis(250);
/// Allowances are counted in millionths of a request.
const REQUEST: i64 = 1_000_000;
/// A rate in thousandths of a request per second, times microseconds, gives 1,000 millionths.
const MICROS_DIVISOR: i64 = 1_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// Holds the starts of requests to the rate that a backend server states.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RateGate {
    stated: Option<Allowance>,
}

/// What may start at a stated rate; below zero if more has started than the rate allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Allowance {
    rate: RequestRate,
    millionths: i64,
    updated_at: Moment,
}

impl Allowance {
    fn max_millionths(rate: RequestRate) -> i64 {
        saturating_signed(rate.0)
            .saturating_mul(saturating_signed(MAX_SAVED.0))
            .saturating_add(REQUEST)
    }

    fn at(self, now: Moment) -> i64 {
        let elapsed = saturating_signed(now.0.saturating_sub(self.updated_at.0));
        let grown = elapsed.saturating_mul(saturating_signed(self.rate.0)) / MICROS_DIVISOR;
        let millionths = self.millionths.saturating_add(grown);
        millionths.min(Self::max_millionths(self.rate))
    }
}

impl RateGate {
    /// Sets the stated rate, or none. The requests that run when a rate is first stated count
    /// against its allowance.
    pub(super) fn set(&mut self, now: Moment, rate: Option<RequestRate>, running: usize) {
        let rate = rate.map(|rate| rate.max(MIN_RATE));
        if rate == self.stated.map(|allowance| allowance.rate) {
            return;
        }
        self.stated = rate.map(|rate| {
            let max = Allowance::max_millionths(rate);
            let millionths = match self.stated {
                Some(before) => before.at(now).min(max),
                None => max.saturating_sub(saturating_requests(running)),
            };
            Allowance {
                rate,
                millionths,
                updated_at: now,
            }
        });
    }

    /// Returns how many requests may start now; `None` if no rate is stated.
    pub(super) fn available(&self, now: Moment) -> Option<u32> {
        let requests = self.stated?.at(now).max(0) / REQUEST;
        Some(u32::try_from(requests).unwrap_or(u32::MAX))
    }

    pub(super) fn is_open(&self, now: Moment) -> bool {
        self.available(now).is_none_or(|requests| requests > 0)
    }

    /// Counts a request that starts.
    pub(super) fn spend(&mut self, now: Moment) {
        if let Some(allowance) = &mut self.stated {
            allowance.millionths = allowance.at(now).saturating_sub(REQUEST);
            allowance.updated_at = now;
        }
    }

    /// Returns the time in microseconds until a request may start that has `ahead` others before it.
    pub(super) fn wait_micros(&self, now: Moment, ahead: usize) -> u64 {
        let Some(allowance) = self.stated else {
            return 0;
        };
        let needed = saturating_requests(ahead.saturating_add(1));
        let missing = u64::try_from(needed.saturating_sub(allowance.at(now))).unwrap_or(0);
        let micros = missing.saturating_mul(MICROS_PER_MILLI);
        micros.div_ceil(allowance.rate.0)
    }
}

fn saturating_signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn saturating_requests(count: usize) -> i64 {
    i64::try_from(count).map_or(i64::MAX, |count| count.saturating_mul(REQUEST))
}
