//! Connection draining: which requests a draining node or backend server still accepts.

use crank_protocol::Millis;
use crank_protocol::call::Refusal;
use crank_protocol::member::Stage;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// The time for which a draining node still accepts calls from within the mesh.
///
/// Entry nodes do not retry such calls, so the node accepts them until the other nodes have
/// learned by gossip that it is leaving.
pub const INTERNAL_CALL_GRACE: Millis = Millis(2_000);

/// The progress of a draining node or backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainProgress {
    /// It is not draining.
    Serving,
    /// It finishes its requests.
    Draining {
        /// The number of requests that run or wait.
        in_flight: u32,
        /// The rest of the grace period.
        left: Millis,
    },
    /// It has finished its requests and may shut down.
    Drained,
    /// It still has requests after the end of the grace period; this must be reported.
    Overdue {
        /// The number of requests that run or wait.
        in_flight: u32,
        /// The time since the end of the grace period.
        by: Millis,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainPeriod {
    since: Moment,
    grace: Millis,
}

/// The drain state of a node and of the backend server beside it, which decides whether they
/// accept requests.
///
/// ```
/// use crank_engine::Moment;
/// use crank_engine::drain::{Drain, DrainProgress};
/// use crank_protocol::{Millis, call::Refusal, member::Stage};
/// let mut drain = Drain::new();
/// drain.set_stage(Moment(0), Stage::Ready, Millis(100));
/// assert_eq!(drain.admit(Moment(0), 0), Ok(()));
/// drain.start(Moment(0), Millis(100));
/// assert_eq!(drain.admit(Moment(0), 0), Err(Refusal::Leaving));
/// assert_eq!(drain.progress(Moment(100_000), 0), DrainProgress::Drained);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    node: Option<DrainPeriod>,
    server: Option<DrainPeriod>,
    stage: Stage,
    #[serde(default)]
    announced: Option<DrainPeriod>,
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}

impl Drain {
    /// Creates the state of a node whose backend server has not announced itself.
    ///
    /// ```
    /// use crank_engine::{Moment, drain::Drain};
    /// assert!(Drain::new().admit(Moment(0), 0).is_err());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            node: None,
            server: None,
            stage: Stage::Gone,
            announced: None,
        }
    }

    /// Announces that the node ends after `grace`: what it takes from now on must have ended by
    /// then. A drain that starts later counts from now on.
    ///
    /// ```
    /// # use crank_engine::{Moment, drain::Drain};
    /// # use crank_protocol::Millis;
    /// let mut drain = Drain::new();
    /// drain.announce_end(Moment(0), Millis(5));
    /// assert_eq!(drain.latest_end(Moment(9_000)), Moment(5_000));
    /// ```
    pub fn announce_end(&mut self, now: Moment, grace: Millis) {
        self.announced
            .get_or_insert(DrainPeriod { since: now, grace });
    }

    /// Returns by when a request with this deadline must have ended: the backend server is given no
    /// more time than the node has, so that its answer is not cut off.
    ///
    /// ```
    /// # use crank_engine::{Moment, drain::Drain};
    /// assert_eq!(Drain::new().latest_end(Moment(9_000)), Moment(9_000));
    /// ```
    #[must_use]
    pub fn latest_end(&self, deadline: Moment) -> Moment {
        self.announced.map_or(deadline, |period| {
            deadline.min(period.since.after(period.grace))
        })
    }

    /// Starts to drain the node; further calls have no effect.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::drain::{Drain, DrainProgress};
    /// # use crank_protocol::Millis;
    /// let mut drain = Drain::new();
    /// drain.start(Moment(0), Millis(5));
    /// drain.start(Moment(4_000), Millis(5));
    /// let overdue = DrainProgress::Overdue { in_flight: 1, by: Millis(1) };
    /// assert_eq!(drain.progress(Moment(6_000), 1), overdue);
    /// ```
    pub fn start(&mut self, now: Moment, grace: Millis) {
        let period = self.announced.unwrap_or(DrainPeriod { since: now, grace });
        self.node.get_or_insert(period);
    }

    /// Sets the stage that the backend server announced, with its grace period in case it drains.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::drain::Drain;
    /// # use crank_protocol::{Millis, member::Stage};
    /// let mut drain = Drain::new();
    /// drain.set_stage(Moment(0), Stage::Ready, Millis(5));
    /// assert!(drain.is_server_ready());
    /// ```
    pub fn set_stage(&mut self, now: Moment, stage: Stage, grace: Millis) {
        match stage {
            Stage::Draining => {
                self.server.get_or_insert(DrainPeriod { since: now, grace });
            }
            Stage::Starting | Stage::Ready | Stage::Gone => self.server = None,
        }
        self.stage = stage;
    }

    /// Admits a new request at this depth of a call chain.
    ///
    /// A draining node refuses requests at depth zero at once, because their entry node retries
    /// them at another target. Deeper calls are not retried, so they are accepted until
    /// [`INTERNAL_CALL_GRACE`] has passed.
    ///
    /// # Errors
    /// Returns [`Refusal::Leaving`] if the request is not accepted.
    ///
    /// ```
    /// # use crank_engine::{Moment, drain::Drain};
    /// # use crank_protocol::{Millis, call::Refusal, member::Stage};
    /// let mut drain = Drain::new();
    /// drain.set_stage(Moment(0), Stage::Ready, Millis(9_000));
    /// drain.start(Moment(0), Millis(9_000));
    /// assert_eq!(drain.admit(Moment(1_999_999), 1), Ok(()));
    /// assert_eq!(drain.admit(Moment(2_000_000), 1), Err(Refusal::Leaving));
    /// ```
    pub fn admit(&self, now: Moment, depth: u32) -> Result<(), Refusal> {
        let is_internal_call_allowed = depth > 0 && !self.has_internal_call_grace_ended(now);
        if self.is_server_ready() && (self.node.is_none() || is_internal_call_allowed) {
            Ok(())
        } else {
            Err(Refusal::Leaving)
        }
    }

    fn has_internal_call_grace_ended(&self, now: Moment) -> bool {
        self.node.is_none_or(|period| {
            let grace = period.grace.min(INTERNAL_CALL_GRACE);
            period.since.after(grace) <= now
        })
    }

    /// Returns whether the backend server is ready, so that waiting requests may be sent to it.
    ///
    /// ```
    /// # use crank_engine::drain::Drain;
    /// assert!(!Drain::new().is_server_ready());
    /// ```
    #[must_use]
    pub fn is_server_ready(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// Returns the progress of the drain, given the number of requests that run or wait.
    ///
    /// If both the node and the backend server drain, the grace period that ends last applies.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::drain::{Drain, DrainProgress};
    /// assert_eq!(Drain::new().progress(Moment(0), 0), DrainProgress::Serving);
    /// ```
    #[must_use]
    pub fn progress(&self, now: Moment, in_flight: u32) -> DrainProgress {
        let end = [self.node, self.server]
            .into_iter()
            .flatten()
            .map(|period| period.since.after(period.grace))
            .max();
        match end {
            None => DrainProgress::Serving,
            Some(_) if in_flight == 0 && self.has_internal_call_grace_ended(now) => {
                DrainProgress::Drained
            }
            Some(end) if now < end => DrainProgress::Draining {
                in_flight,
                left: end.since(now),
            },
            Some(end) => DrainProgress::Overdue {
                in_flight,
                by: now.since(end),
            },
        }
    }
}
