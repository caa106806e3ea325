//! Leaving: what a draining node or backend server may still take.

use crank_protocol::Millis;
use crank_protocol::call::Refusal;
use crank_protocol::member::Stage;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// How long a leaving node still takes calls from within the mesh, which their entry does not try
/// again, while the news that it leaves spreads.
pub const INTERNAL_CALL_GRACE: Millis = Millis(2_000);

/// How far a leaving node or backend server has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainProgress {
    /// It does not leave.
    Serving,
    /// It finishes its work.
    Draining {
        /// Requests that run or wait.
        in_flight: u32,
        /// What is left of its grace.
        left: Millis,
    },
    /// It has finished its work and may go.
    Drained,
    /// Work has outlasted its grace and must be reported.
    Overdue {
        /// Requests that run or wait.
        in_flight: u32,
        /// How long the grace has been over.
        by: Millis,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Leaving {
    since: Moment,
    grace: Millis,
}

/// Whether a node and the backend server beside it take work.
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
    node: Option<Leaving>,
    server: Option<Leaving>,
    stage: Stage,
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}

impl Drain {
    /// A node whose backend server has not announced itself.
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
        }
    }

    /// The node begins to leave; a second call changes nothing.
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
        self.node.get_or_insert(Leaving { since: now, grace });
    }

    /// The backend server announces its stage of life.
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
                self.server.get_or_insert(Leaving { since: now, grace });
            }
            Stage::Starting | Stage::Ready | Stage::Gone => self.server = None,
        }
        self.stage = stage;
    }

    /// Whether new work of this layer of a call chain is taken.
    ///
    /// A leaving node refuses callers' requests at once, for their entry tries another target.
    /// Calls of deeper layers are tried only once: they are taken until [`INTERNAL_CALL_GRACE`] is over.
    ///
    /// # Errors
    /// [`Refusal::Leaving`] where it is not.
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
        let is_in_time = depth > 0 && !self.has_lingered(now);
        if self.is_server_ready() && (self.node.is_none() || is_in_time) {
            Ok(())
        } else {
            Err(Refusal::Leaving)
        }
    }

    fn has_lingered(&self, now: Moment) -> bool {
        self.node.is_none_or(|leaving| {
            let linger = leaving.grace.min(INTERNAL_CALL_GRACE);
            leaving.since.after(linger) <= now
        })
    }

    /// Whether work that waits at the node may still be given to the backend server.
    ///
    /// ```
    /// # use crank_engine::drain::Drain;
    /// assert!(!Drain::new().is_server_ready());
    /// ```
    #[must_use]
    pub fn is_server_ready(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// How far the leaving has come, given the requests that run or wait.
    ///
    /// Where node and backend server both leave, the longer grace holds.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::drain::{Drain, DrainProgress};
    /// assert_eq!(Drain::new().progress(Moment(0), 0), DrainProgress::Serving);
    /// ```
    #[must_use]
    pub fn progress(&self, now: Moment, in_flight: u32) -> DrainProgress {
        let ends = [self.node, self.server]
            .into_iter()
            .flatten()
            .map(|leaving| leaving.since.after(leaving.grace))
            .max();
        match ends {
            None => DrainProgress::Serving,
            Some(_) if in_flight == 0 && self.has_lingered(now) => DrainProgress::Drained,
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
