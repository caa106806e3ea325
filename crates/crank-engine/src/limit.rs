//! Concurrency limits with a bounded queue.
//!
//! Load pattern: a service that runs callers' requests and also the short calls that requests of
//! other services make while they run. In the order of arrival a call waits behind requests that
//! have far more time, misses its deadline, and the request that made it fails after it has used
//! its slot; retries then add load that keeps the queue full after the cause has gone. Here, among
//! requests of equal importance, the one that must end first runs first.
//!
//! The wait that is expected for a request is the sum of the run times that are expected for those
//! before it, so that a queue of short calls does not turn away what one of long requests would.
//! Among client accounts, slots and queue are shared fairly. The time after which refused callers
//! may retry is spread, so that a crowd that was refused does not return as one.
//!
//! A backend server may also state how many requests a second it takes; then a request needs a part of
//! that rate besides a free slot.
//!
//! An entry node keeps one limit for each service, and a target node keeps one for its backend
//! server.

mod queue;
mod rate;
mod share;

use std::collections::BTreeMap;

use crank_protocol::call::Refusal;
use crank_protocol::config::Importance;
use crank_protocol::{Millis, Name, RequestRate};
use serde::{Deserialize, Serialize};

use crate::Moment;
use queue::{Queue, WaitingRequest};
use rate::RateGate;

/// The minimum `retry_after` of an overload refusal.
pub const MIN_RETRY_AFTER: Millis = Millis(10);
/// The maximum `retry_after` of an overload refusal.
pub const MAX_RETRY_AFTER: Millis = Millis(5_000);

const MICROS_PER_MILLI: u64 = 1_000;
/// A new run time has a weight of one in this many in the moving average.
const MEAN_DIVISOR: u64 = 8;
/// `retry_after` is spread over the expected wait and this share of it on top.
const RETRY_SPREAD: f64 = 1.0;
/// The golden ratio's fraction: multiples of it, less their whole part, fill an interval evenly.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;

/// A request that asks to be admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PendingRequest {
    /// The ID of the request; IDs ascend in the order of arrival.
    pub id: u64,
    /// The importance of the request: under overload, less important requests are refused first.
    pub importance: Importance,
    /// The time by which the request must have been answered.
    pub deadline: Moment,
    /// The depth in the call chain; zero for a request from outside the mesh.
    pub depth: u32,
    /// The client account that the request counts for, if any.
    pub account: Option<Name>,
    /// The expected run time, if the entry node has an estimate.
    #[serde(rename = "run")]
    pub expected_run_time: Option<Millis>,
}

/// The decision on a [`PendingRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The request starts to run now.
    Run {
        /// The ID of the request.
        id: u64,
    },
    /// The request is refused: it was not run and will not be run.
    Refuse {
        /// The ID of the request.
        id: u64,
        /// The reason for the refusal.
        refusal: Refusal,
    },
}

/// The number of requests that may run and wait at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// The maximum number of running requests.
    pub slots: u32,
    /// The maximum number of waiting requests.
    pub queue: u32,
}

/// Limits the number of requests that run at the same time and of those that wait to run.
///
/// A request is queued only if it is expected to meet its deadline. When the queue is full, a more
/// important request replaces a less important one, and the request of an account replaces one of
/// an account that is over its share. A queued request gets its [`Decision`] when
/// its turn comes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConcurrencyLimit {
    #[serde(rename = "size")]
    capacity: Capacity,
    running: BTreeMap<u64, Moment>,
    waiting: Queue,
    mean_micros: u64,
    last_id: u64,
    #[serde(default)]
    rate: RateGate,
}

impl ConcurrencyLimit {
    /// Creates a limit without any requests.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 });
    /// let request = |id| PendingRequest {
    ///     id, importance: Default::default(), deadline: Moment(9_000), depth: 0,
    ///     expected_run_time: None,
    ///     account: None,
    /// };
    /// assert_eq!(limit.admit(Moment(0), request(1)), [Decision::Run { id: 1 }]);
    /// assert_eq!(limit.admit(Moment(0), request(2)), []);
    /// assert!(matches!(limit.admit(Moment(0), request(3))[..], [Decision::Refuse { id: 3, .. }]));
    /// assert_eq!(limit.finish(Moment(1), 1), [Decision::Run { id: 2 }]);
    /// ```
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            running: BTreeMap::new(),
            waiting: Queue::default(),
            mean_micros: 0,
            last_id: 0,
            rate: RateGate::default(),
        }
    }

    /// Changes the capacity and starts waiting requests if there are more slots now.
    ///
    /// Requests that already run or wait are kept, even if they exceed the new capacity.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
    /// # let mut limit = ConcurrencyLimit::new(Capacity { slots: 0, queue: 1 });
    /// let request = PendingRequest {
    ///     id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0,
    ///     expected_run_time: None,
    ///     account: None,
    /// };
    /// assert_eq!(limit.admit(Moment(0), request), []);
    /// let decisions = limit.resize(Moment(0), Capacity { slots: 1, queue: 1 });
    /// assert_eq!(decisions, [Decision::Run { id: 1 }]);
    /// ```
    pub fn resize(&mut self, now: Moment, capacity: Capacity) -> Vec<Decision> {
        self.capacity = capacity;
        self.start_due(now)
    }

    /// Sets the rate at which requests may start, or none, and starts waiting requests that it
    /// allows.
    ///
    /// The requests that run when a rate is first set count against what may start at first.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
    /// use crank_protocol::RequestRate;
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 9, queue: 9 });
    /// let request = |id| PendingRequest {
    ///     id, importance: Default::default(), deadline: Moment(9_000_000), depth: 0,
    ///     expected_run_time: None,
    ///     account: None,
    /// };
    /// limit.set_rate(Moment(0), Some(RequestRate(1_000)));
    /// assert_eq!(limit.admit(Moment(0), request(1)), [Decision::Run { id: 1 }]);
    /// assert_eq!(limit.admit(Moment(0), request(2)), []);
    /// assert_eq!(limit.next_start(Moment(0)), Some(Moment(750_000)));
    /// assert_eq!(limit.start_due(Moment(750_000)), [Decision::Run { id: 2 }]);
    /// ```
    pub fn set_rate(&mut self, now: Moment, rate: Option<RequestRate>) -> Vec<Decision> {
        self.rate.set(now, rate, self.running.len());
        self.start_due(now)
    }

    /// Returns when a waiting request may start because the rate allows it; `None` if none waits for
    /// the rate alone.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit};
    /// let limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(limit.next_start(Moment(0)), None);
    /// ```
    #[must_use]
    pub fn next_start(&self, now: Moment) -> Option<Moment> {
        let waits = !self.waiting.is_empty() && self.has_free_slot();
        waits.then(|| Moment(now.0.saturating_add(self.rate.wait_micros(now, 0))))
    }

    /// Returns how many requests may start now, by slots and rate.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit};
    /// let limit = ConcurrencyLimit::new(Capacity { slots: 3, queue: 1 });
    /// assert_eq!(limit.room(Moment(0)), 3);
    /// ```
    #[must_use]
    pub fn room(&self, now: Moment) -> u32 {
        let free = self.capacity.slots.saturating_sub(self.running());
        free.min(self.rate.available(now).unwrap_or(u32::MAX))
    }

    /// Runs, queues or refuses a request.
    ///
    /// The result is empty if the request was queued. It may contain the refusal of a less
    /// important request that was removed from the queue.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
    /// # use crank_protocol::call::Refusal;
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 });
    /// let late = PendingRequest {
    ///     id: 1, importance: Default::default(), deadline: Moment(5), depth: 0,
    ///     expected_run_time: None,
    ///     account: None,
    /// };
    /// let refused = Decision::Refuse { id: 1, refusal: Refusal::TooLate };
    /// assert_eq!(limit.admit(Moment(5), late), [refused]);
    /// ```
    pub fn admit(&mut self, now: Moment, request: PendingRequest) -> Vec<Decision> {
        self.last_id = request.id;
        if request.deadline <= now {
            return vec![refuse(request.id, Refusal::TooLate)];
        }
        let request = self.waiting.place(request, self.mean_micros);
        if self.can_start(now) && self.waiting.is_empty() {
            self.waiting.book(&request);
            return vec![self.start(now, &request)];
        }
        let id = request.position.id;
        if self.expected_end(now, &request) > request.position.deadline {
            return vec![refuse(id, self.overload_refusal(now))];
        }
        self.enqueue(now, request)
    }

    /// Runs a request if a slot is free and no other request waits, and refuses it otherwise.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 9 });
    /// let request = |id| PendingRequest {
    ///     id, importance: Default::default(), deadline: Moment(9_000), depth: 0,
    ///     expected_run_time: None,
    ///     account: None,
    /// };
    /// assert_eq!(limit.admit_without_wait(Moment(0), request(1)), [Decision::Run { id: 1 }]);
    /// let decisions = limit.admit_without_wait(Moment(0), request(2));
    /// assert!(matches!(decisions[..], [Decision::Refuse { id: 2, .. }]));
    /// ```
    pub fn admit_without_wait(&mut self, now: Moment, request: PendingRequest) -> Vec<Decision> {
        self.last_id = request.id;
        if request.deadline > now && !(self.can_start(now) && self.waiting.is_empty()) {
            return vec![refuse(request.id, self.overload_refusal(now))];
        }
        self.admit(now, request)
    }

    fn start(&mut self, now: Moment, request: &WaitingRequest) -> Decision {
        let id = request.position.id;
        self.waiting.start(request);
        self.rate.spend(now);
        self.running.insert(id, now);
        Decision::Run { id }
    }

    fn enqueue(&mut self, now: Moment, request: WaitingRequest) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if self.waiting.len() >= self.capacity.queue as usize {
            match self.waiting.last() {
                Some(last) if last.gives_way_to(&request.position) => {
                    self.waiting.remove(last.id);
                    decisions.push(refuse(last.id, self.overload_refusal(now)));
                }
                Some(_) | None => {
                    return vec![refuse(request.position.id, self.overload_refusal(now))];
                }
            }
        }
        self.waiting.push(request);
        decisions
    }

    /// Removes a request that has ended or was cancelled, and starts waiting requests.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit};
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(limit.finish(Moment(1), 99), []);
    /// ```
    pub fn finish(&mut self, now: Moment, id: u64) -> Vec<Decision> {
        match self.running.remove(&id) {
            Some(started) => self.record_run_time(now.0.saturating_sub(started.0)),
            None => self.waiting.remove(id),
        }
        self.start_due(now)
    }

    /// Refuses all waiting requests for the given reason.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit, PendingRequest};
    /// # use crank_protocol::call::Refusal;
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 0, queue: 1 });
    /// let request = PendingRequest {
    ///     id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0,
    ///     expected_run_time: None,
    ///     account: None,
    /// };
    /// limit.admit(Moment(0), request);
    /// assert_eq!(limit.refuse_waiting(&Refusal::Leaving).len(), 1);
    /// ```
    pub fn refuse_waiting(&mut self, refusal: &Refusal) -> Vec<Decision> {
        let waiting = self.waiting.clear().into_iter();
        waiting.map(|id| refuse(id, refusal.clone())).collect()
    }

    /// Returns the number of running requests.
    ///
    /// ```
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit};
    /// assert_eq!(ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 }).running(), 0);
    /// ```
    #[must_use]
    pub fn running(&self) -> u32 {
        saturating_count(self.running.len())
    }

    /// Returns the number of waiting requests.
    ///
    /// ```
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit};
    /// assert_eq!(ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 }).waiting(), 0);
    /// ```
    #[must_use]
    pub fn waiting(&self) -> u32 {
        saturating_count(self.waiting.len())
    }

    /// Returns the maximum numbers of running and waiting requests.
    ///
    /// ```
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit};
    /// assert_eq!(ConcurrencyLimit::new(Capacity { slots: 1, queue: 2 }).capacity().queue, 2);
    /// ```
    #[must_use]
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Returns the refusal for a request that can neither run nor wait now.
    ///
    /// Its `retry_after` is the expected time until a new request could run or up to twice that,
    /// different from request to request, clamped to [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`].
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit, MIN_RETRY_AFTER};
    /// # use crank_protocol::call::Refusal;
    /// let refusal = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 }).overload_refusal(Moment(0));
    /// assert_eq!(refusal, Refusal::Overloaded { retry_after: MIN_RETRY_AFTER });
    /// ```
    #[must_use]
    pub fn overload_refusal(&self, now: Moment) -> Refusal {
        let wait_for_rate = self.rate.wait_micros(now, self.waiting.len());
        let micros = self.queue_wait_micros(self.waiting.work_micros());
        let micros = micros.max(wait_for_rate);
        let spread = 1.0 + RETRY_SPREAD * (self.last_id as f64 * GOLDEN_FRACTION).fract();
        let retry_after = Millis((micros as f64 * spread) as u64 / MICROS_PER_MILLI);
        Refusal::Overloaded {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Starts waiting requests while slots and rate allow it, and refuses those that can no longer
    /// meet their deadline.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{Capacity, ConcurrencyLimit};
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(limit.start_due(Moment(0)), []);
    /// ```
    pub fn start_due(&mut self, now: Moment) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while self.can_start(now) {
            let Some(request) = self.waiting.pop_first() else {
                break;
            };
            let deadline = request.position.deadline;
            let end = now.0.saturating_add(request.run_micros);
            if end > deadline.0 || deadline <= now {
                self.waiting.cancel(&request);
                decisions.push(refuse(request.position.id, Refusal::TooLate));
            } else {
                decisions.push(self.start(now, &request));
            }
        }
        decisions
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.capacity.slots as usize
    }

    fn can_start(&self, now: Moment) -> bool {
        self.has_free_slot() && self.rate.is_open(now)
    }

    /// Returns when a new request is expected to end if it is queued now.
    fn expected_end(&self, now: Moment, request: &WaitingRequest) -> Moment {
        let ahead = self.waiting.work_micros_before(request.position);
        let requests_ahead = self.waiting.len_before(request.position);
        let wait_for_rate = self.rate.wait_micros(now, requests_ahead);
        let wait = self.queue_wait_micros(ahead).max(wait_for_rate);
        Moment(
            now.0
                .saturating_add(wait)
                .saturating_add(request.run_micros),
        )
    }

    /// Returns the expected time until a slot is free after requests with this run time in total.
    fn queue_wait_micros(&self, ahead_micros: u64) -> u64 {
        let slots = u64::from(self.capacity.slots.max(1));
        self.mean_micros.saturating_add(ahead_micros) / slots
    }

    fn record_run_time(&mut self, run_micros: u64) {
        self.mean_micros = if self.mean_micros == 0 {
            run_micros
        } else {
            (self.mean_micros * (MEAN_DIVISOR - 1) + run_micros) / MEAN_DIVISOR
        };
    }
}

fn refuse(id: u64, refusal: Refusal) -> Decision {
    Decision::Refuse { id, refusal }
}

fn saturating_count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
