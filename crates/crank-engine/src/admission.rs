//! Admission at a target's node: slots, queue, deadline and drain, before anything runs.

use crank_protocol::Millis;
use crank_protocol::call::{Load, Refusal};
use crank_protocol::member::Stage;
use serde::{Deserialize, Serialize};

use crate::Moment;
use crate::drain::{Drain, DrainProgress};
use crate::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};

/// Admits requests to the backend server beside a node.
///
/// A request that got [`Decision::Refuse`] has not run and will not: only [`Decision::Run`] lets it reach
/// the backend server.
///
/// ```
/// use crank_engine::Moment;
/// use crank_engine::admission::Admission;
/// use crank_engine::limit::{Capacity, Decision, PendingRequest};
/// use crank_protocol::{Millis, call::Refusal, member::Stage};
/// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
/// let ticket = |id| PendingRequest { id, importance: Default::default(), deadline: Moment(9_000), depth: 0, expected_run: None };
/// let refused = Decision::Refuse { id: 1, refusal: Refusal::Leaving };
/// assert_eq!(admission.admit(Moment(0), ticket(1)), [refused]);
/// admission.set_stage(Moment(0), Stage::Ready, Millis(100));
/// assert_eq!(admission.admit(Moment(0), ticket(2)), [Decision::Run { id: 2 }]);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admission {
    limit: ConcurrencyLimit,
    drain: Drain,
}

impl Admission {
    /// Admission to a backend server that has not announced itself yet.
    ///
    /// ```
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::Capacity;
    /// assert_eq!(Admission::new(Capacity { slots: 6, queue: 1 }).load().slots, 6);
    /// ```
    #[must_use]
    pub fn new(size: Capacity) -> Self {
        Self {
            limit: ConcurrencyLimit::new(size),
            drain: Drain::new(),
        }
    }

    /// A request asks to run.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::{Capacity, PendingRequest};
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// let ticket = PendingRequest { id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0, expected_run: None };
    /// assert_eq!(admission.admit(Moment(0), ticket).len(), 1);
    /// ```
    pub fn admit(&mut self, now: Moment, ticket: PendingRequest) -> Vec<Decision> {
        match self.drain.admit(now, ticket.depth) {
            Ok(()) => self.limit.admit(now, ticket),
            Err(refusal) => turn_away(ticket, refusal),
        }
    }

    /// A request asks to run now, or not at all here.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::{Capacity, PendingRequest};
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// let ticket = PendingRequest { id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0, expected_run: None };
    /// assert_eq!(admission.admit_without_wait(Moment(0), ticket).len(), 1);
    /// ```
    pub fn admit_without_wait(&mut self, now: Moment, ticket: PendingRequest) -> Vec<Decision> {
        match self.drain.admit(now, ticket.depth) {
            Ok(()) => self.limit.admit_without_wait(now, ticket),
            Err(refusal) => turn_away(ticket, refusal),
        }
    }

    /// A request has ended, or nobody waits for it any more.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::Capacity;
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(admission.finish(Moment(0), 1), []);
    /// ```
    pub fn finish(&mut self, now: Moment, id: u64) -> Vec<Decision> {
        self.limit.finish(now, id)
    }

    /// Takes another size.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::Capacity;
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// admission.resize(Moment(0), Capacity { slots: 9, queue: 1 });
    /// assert_eq!(admission.load().slots, 9);
    /// ```
    pub fn resize(&mut self, now: Moment, size: Capacity) -> Vec<Decision> {
        self.limit.resize(now, size)
    }

    /// The backend server announces its stage of life; one that takes no new work gets none of
    /// what waits either.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::Capacity;
    /// # use crank_protocol::{Millis, member::Stage};
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(admission.set_stage(Moment(0), Stage::Ready, Millis(100)), []);
    /// ```
    pub fn set_stage(&mut self, now: Moment, stage: Stage, grace: Millis) -> Vec<Decision> {
        self.drain.set_stage(now, stage, grace);
        if self.drain.is_server_ready() {
            Vec::new()
        } else {
            self.limit.refuse_waiting(&Refusal::Leaving)
        }
    }

    /// The node begins to leave: new work is refused as [`Drain::admit`] says, and what runs or
    /// waits is finished.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::drain::DrainProgress;
    /// # use crank_engine::limit::Capacity;
    /// # use crank_protocol::Millis;
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// admission.start_drain(Moment(0), Millis(100));
    /// assert_eq!(admission.progress(Moment(100_000)), DrainProgress::Drained);
    /// ```
    pub fn start_drain(&mut self, now: Moment, grace: Millis) {
        self.drain.start(now, grace);
    }

    /// How far the leaving has come.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::drain::DrainProgress;
    /// # use crank_engine::limit::Capacity;
    /// let admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(admission.progress(Moment(0)), DrainProgress::Serving);
    /// ```
    #[must_use]
    pub fn progress(&self, now: Moment) -> DrainProgress {
        let in_flight = self.limit.running() + self.limit.waiting();
        self.drain.progress(now, in_flight)
    }

    /// How busy the backend server is.
    ///
    /// ```
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::Capacity;
    /// assert_eq!(Admission::new(Capacity { slots: 1, queue: 1 }).load().running, 0);
    /// ```
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.limit.running(),
            waiting: self.limit.waiting(),
            slots: self.limit.size().slots,
        }
    }

    /// The refusal of what cannot wait, with when to come back.
    ///
    /// ```
    /// # use crank_engine::{admission::Admission, limit::Capacity};
    /// # use crank_protocol::call::Refusal;
    /// let admission = Admission::new(Capacity { slots: 1, queue: 0 });
    /// assert!(matches!(admission.overload_refusal(), Refusal::Overloaded { .. }));
    /// ```
    #[must_use]
    pub fn overload_refusal(&self) -> Refusal {
        self.limit.overload_refusal()
    }
}

fn turn_away(ticket: PendingRequest, refusal: Refusal) -> Vec<Decision> {
    let id = ticket.id;
    vec![Decision::Refuse { id, refusal }]
}
