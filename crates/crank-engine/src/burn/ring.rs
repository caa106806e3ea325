//! Counts of good and bad requests in a ring of buckets of equal duration.

use std::collections::VecDeque;

use crank_protocol::Millis;

use super::Tally;
use crate::Moment;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    number: u64,
    tally: Tally,
}

/// The counts of recent requests, in at most `max_buckets` buckets of duration `width`.
#[derive(Debug, Clone)]
pub(super) struct Ring {
    width: Millis,
    max_buckets: usize,
    // The oldest bucket comes first. Periods without requests have no bucket.
    buckets: VecDeque<Bucket>,
}

impl Ring {
    pub(super) fn new(width: Millis, max_buckets: usize) -> Self {
        Self {
            width,
            max_buckets,
            buckets: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, good: bool, now: Moment) {
        let number = self.bucket_number(now);
        let is_new = self.buckets.back().is_none_or(|last| last.number < number);
        if is_new {
            if self.buckets.len() == self.max_buckets {
                self.buckets.pop_front();
            }
            let tally = Tally::default();
            self.buckets.push_back(Bucket { number, tally });
        }
        if let Some(last) = self.buckets.back_mut() {
            last.tally.record(good);
        }
    }

    /// Returns the counts over the last `window`, accurate to the width of a bucket.
    pub(super) fn tally(&self, window: Millis, now: Moment) -> Tally {
        let buckets = window.0.div_ceil(self.width.0);
        let newest = self.bucket_number(now);
        let mut sum = Tally::default();
        for bucket in self.buckets.iter().rev() {
            if bucket.number + buckets <= newest {
                break;
            }
            sum.merge(bucket.tally);
        }
        sum
    }

    fn bucket_number(&self, now: Moment) -> u64 {
        now.since(Moment::default()).0 / self.width.0
    }
}
