//! The limit on requests that a backend server states in its responses.

use crank_protocol::RequestRate;
use crank_protocol::heartbeat::StatedLimit;

use crate::Moment;

/// The limit that is in force, and when it was last stated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct LastStatedLimit {
    rate: Option<RequestRate>,
    stated_at: Moment,
}

impl LastStatedLimit {
    /// Records what a response says whose request was sent at `sent_at`.
    ///
    /// A response without a limit ends one only if its request was sent after the limit was last
    /// stated: responses may overtake each other.
    pub(super) fn record(&mut self, now: Moment, sent_at: Moment, limit: StatedLimit) {
        match limit {
            StatedLimit::Limited(rate) => {
                self.rate = Some(rate);
                self.stated_at = now;
            }
            StatedLimit::Unlimited if sent_at > self.stated_at => self.rate = None,
            StatedLimit::Unlimited | StatedLimit::Unknown => {}
        }
    }

    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }
}
