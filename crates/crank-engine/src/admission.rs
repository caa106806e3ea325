//! Admission control at a target node: slots, queue, deadline and drain are checked before a
//! request reaches the backend server.

use crank_protocol::call::{Load, Refusal};
use crank_protocol::member::Stage;
use crank_protocol::{Millis, RequestRate};
use serde::{Deserialize, Serialize};

use crate::Moment;
use crate::drain::{Drain, DrainProgress};
use crate::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};

/// Admits requests to the backend server beside a node.
///
/// Only [`Decision::Run`] lets a request reach the backend server. A request that got
/// [`Decision::Refuse`] has not run and will not run.
///
/// ```
/// use crank_engine::Moment;
/// use crank_engine::admission::Admission;
/// use crank_engine::limit::{Capacity, Decision, PendingRequest};
/// use crank_protocol::{Millis, call::Refusal, member::Stage};
/// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
/// let request = |id| PendingRequest {
///     id, importance: Default::default(), deadline: Moment(9_000), depth: 0,
///     expected_run_time: None,
///     account: None,
/// };
/// let refused = Decision::Refuse { id: 1, refusal: Refusal::Leaving };
/// assert_eq!(admission.admit(Moment(0), request(1)), [refused]);
/// admission.set_stage(Moment(0), Stage::Ready, Millis(100));
/// assert_eq!(admission.admit(Moment(0), request(2)), [Decision::Run { id: 2 }]);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admission {
    limit: ConcurrencyLimit,
    drain: Drain,
}

impl Admission {
    /// Creates the admission control for a backend server that has not announced itself yet; it
    /// refuses all requests until [`Admission::set_stage`] reports that the server is ready.
    ///
    /// ```
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::Capacity;
    /// assert_eq!(Admission::new(Capacity { slots: 6, queue: 1 }).load().slots, 6);
    /// ```
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            limit: ConcurrencyLimit::new(capacity),
            drain: Drain::new(),
        }
    }

    /// Runs, queues or refuses a request; see [`ConcurrencyLimit::admit`].
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::{Capacity, PendingRequest};
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// let request = PendingRequest {
    ///     id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0,
    ///     expected_run_time: None,
    ///     account: None,
    /// };
    /// assert_eq!(admission.admit(Moment(0), request).len(), 1);
    /// ```
    pub fn admit(&mut self, now: Moment, request: PendingRequest) -> Vec<Decision> {
        match self.drain.admit(now, request.depth) {
            Ok(()) => self.limit.admit(now, request),
            Err(refusal) => refuse(request, refusal),
        }
    }

    /// Runs a request at once or refuses it; see [`ConcurrencyLimit::admit_without_wait`].
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::{Capacity, PendingRequest};
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// let request = PendingRequest {
    ///     id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0,
    ///     expected_run_time: None,
    ///     account: None,
    /// };
    /// assert_eq!(admission.admit_without_wait(Moment(0), request).len(), 1);
    /// ```
    pub fn admit_without_wait(&mut self, now: Moment, request: PendingRequest) -> Vec<Decision> {
        match self.drain.admit(now, request.depth) {
            Ok(()) => self.limit.admit_without_wait(now, request),
            Err(refusal) => refuse(request, refusal),
        }
    }

    /// Removes a request that has ended or was cancelled, and starts waiting requests.
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

    /// Changes the numbers of slots and queue places, and starts waiting requests if there are
    /// more slots now.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::Capacity;
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// admission.resize(Moment(0), Capacity { slots: 9, queue: 1 });
    /// assert_eq!(admission.load().slots, 9);
    /// ```
    pub fn resize(&mut self, now: Moment, capacity: Capacity) -> Vec<Decision> {
        self.limit.resize(now, capacity)
    }

    /// Sets the rate of requests that the backend server states as its limit, or none; see
    /// [`ConcurrencyLimit::set_rate`].
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admission::Admission;
    /// # use crank_engine::limit::Capacity;
    /// # use crank_protocol::RequestRate;
    /// let mut admission = Admission::new(Capacity { slots: 9, queue: 1 });
    /// admission.set_rate(Moment(0), Some(RequestRate(4_000)));
    /// assert_eq!(admission.reported_load(Moment(0)).running, 7);
    /// ```
    pub fn set_rate(&mut self, now: Moment, rate: Option<RequestRate>) -> Vec<Decision> {
        self.limit.set_rate(now, rate)
    }

    /// Returns when a waiting request may start; see [`ConcurrencyLimit::next_start`].
    ///
    /// ```
    /// # use crank_engine::{Moment, admission::Admission, limit::Capacity};
    /// let admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(admission.next_start(Moment(0)), None);
    /// ```
    #[must_use]
    pub fn next_start(&self, now: Moment) -> Option<Moment> {
        self.limit.next_start(now)
    }

    /// Starts the waiting requests that may start now; see [`ConcurrencyLimit::start_due`].
    ///
    /// ```
    /// # use crank_engine::{Moment, admission::Admission, limit::Capacity};
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(admission.start_due(Moment(0)), []);
    /// ```
    pub fn start_due(&mut self, now: Moment) -> Vec<Decision> {
        self.limit.start_due(now)
    }

    /// Sets the stage that the backend server announced.
    ///
    /// Unless the server is ready, all waiting requests are refused.
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

    /// Announces when the node ends; see [`Drain::announce_end`].
    ///
    /// ```
    /// # use crank_engine::{Moment, admission::Admission, limit::Capacity};
    /// # use crank_protocol::Millis;
    /// let mut admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// admission.announce_end(Moment(0), Millis(5));
    /// assert_eq!(admission.latest_end(Moment(9_000)), Moment(5_000));
    /// ```
    pub fn announce_end(&mut self, now: Moment, grace: Millis) {
        self.drain.announce_end(now, grace);
    }

    /// Returns by when a request with this deadline must have ended; see [`Drain::latest_end`].
    ///
    /// ```
    /// # use crank_engine::{Moment, admission::Admission, limit::Capacity};
    /// let admission = Admission::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(admission.latest_end(Moment(9_000)), Moment(9_000));
    /// ```
    #[must_use]
    pub fn latest_end(&self, deadline: Moment) -> Moment {
        self.drain.latest_end(deadline)
    }

    /// Starts to drain the node: new requests are refused as described at [`Drain::admit`], and
    /// requests that run or wait are finished.
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

    /// Returns the progress of the drain.
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

    /// Returns the current load of the backend server.
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
            slots: self.limit.capacity().slots,
            slowdown: None,
        }
    }

    /// Returns the load as other nodes are to see it: slots that no request may take because of the
    /// stated rate count as running requests.
    ///
    /// ```
    /// # use crank_engine::{Moment, admission::Admission, limit::Capacity};
    /// let admission = Admission::new(Capacity { slots: 2, queue: 1 });
    /// assert_eq!(admission.reported_load(Moment(0)).running, 0);
    /// ```
    #[must_use]
    pub fn reported_load(&self, now: Moment) -> Load {
        let load = self.load();
        let taken = load.slots.saturating_sub(self.limit.room(now));
        Load {
            running: load.running.max(taken),
            ..load
        }
    }

    /// Returns the refusal for a request that can neither run nor wait, with the time after which
    /// the caller may retry.
    ///
    /// ```
    /// # use crank_engine::{Moment, admission::Admission, limit::Capacity};
    /// # use crank_protocol::call::Refusal;
    /// let admission = Admission::new(Capacity { slots: 1, queue: 0 });
    /// assert!(matches!(admission.overload_refusal(Moment(0)), Refusal::Overloaded { .. }));
    /// ```
    #[must_use]
    pub fn overload_refusal(&self, now: Moment) -> Refusal {
        self.limit.overload_refusal(now)
    }
}

fn refuse(request: PendingRequest, refusal: Refusal) -> Vec<Decision> {
    let id = request.id;
    vec![Decision::Refuse { id, refusal }]
}
