//! Good and bad counts in a ring of equal stretches of time.

use std::collections::VecDeque;

use crank_protocol::Millis;

use super::Tally;
use crate::Moment;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    tally: Tally,
}

/// Counts of the last `span` of time, in buckets of `width`.
#[derive(Debug, Clone)]
pub(super) struct Ring {
    width: Millis,
    most: usize,
    // Oldest first; stretches without a count have no bucket.
    buckets: VecDeque<Bucket>,
}

impl Ring {
    pub(super) fn new(width: Millis, most: usize) -> Self {
        Self {
            width,
            most,
            buckets: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, good: bool, now: Moment) {
        let number = self.number(now);
        let is_new = self.buckets.back().is_none_or(|last| last.number < number);
        if is_new {
            if self.buckets.len() == self.most {
                self.buckets.pop_front();
            }
            let tally = Tally::default();
            self.buckets.push_back(Bucket { number, tally });
        }
        if let Some(last) = self.buckets.back_mut() {
            last.tally.add(good);
        }
    }

    /// The counts of the last `window`, to the width of a bucket.
    pub(super) fn tally(&self, window: Millis, now: Moment) -> Tally {
        let stretches = window.0.div_ceil(self.width.0);
        let newest = self.number(now);
        let mut sum = Tally::default();
        for bucket in self.buckets.iter().rev() {
            if bucket.number + stretches <= newest {
                break;
            }
            sum.merge(bucket.tally);
        }
        sum
    }

    fn number(&self, now: Moment) -> u64 {
        now.since(Moment::default()).0 / self.width.0
    }
}
