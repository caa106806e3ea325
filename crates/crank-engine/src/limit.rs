//! Concurrency limits with a bounded queue, as used for each service at the entry and for each
//! backend server at its node.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crank_protocol::Millis;
use crank_protocol::call::Refusal;
use crank_protocol::config::Importance;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// The shortest time after which a refused request is told to try again.
pub const MIN_RETRY_AFTER: Millis = Millis(10);
/// The longest time after which a refused request is told to try again.
pub const MAX_RETRY_AFTER: Millis = Millis(5_000);

const MICROS_PER_MILLI: u64 = 1_000;
/// The weight of a new service time in the running mean is one in this many.
const MEAN_WEIGHT: u64 = 8;

/// A request that asks for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PendingRequest {
    /// Its number; requests of equal importance run in the order of their numbers.
    pub id: u64,
    /// What is given up first when there is not room for all.
    pub importance: Importance,
    /// When its time is over.
    pub deadline: Moment,
    /// The layer of the call chain; zero for a caller outside the mesh.
    pub depth: u32,
    /// How long it is expected to run, where that is known.
    #[serde(rename = "run")]
    pub expected_run: Option<Millis>,
}

/// What becomes of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It runs from now on.
    Run {
        /// The ticket's number.
        id: u64,
    },
    /// It was not run and will not be.
    Refuse {
        /// The ticket's number.
        id: u64,
        /// Why.
        refusal: Refusal,
    },
}

/// How much may run and wait at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait at once.
    pub queue: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rank {
    importance: Reverse<Importance>,
    id: u64,
}

/// What is known of a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wait {
    deadline: Moment,
    run: Option<Millis>,
}

/// Requests that run and requests that wait, both bounded.
///
/// A request waits only while it can still meet its deadline, and gives up its place to a more
/// important one when the queue is full. A ticket that waits gets no step until its turn comes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConcurrencyLimit {
    size: Capacity,
    running: BTreeMap<u64, Moment>,
    waiting: BTreeMap<Rank, Wait>,
    mean_micros: u64,
}

impl ConcurrencyLimit {
    /// An empty limit.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_engine::limit::{ConcurrencyLimit, Capacity, Decision, PendingRequest};
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 });
    /// let ticket = |id| PendingRequest { id, importance: Default::default(), deadline: Moment(9_000), depth: 0, expected_run: None };
    /// assert_eq!(limit.admit(Moment(0), ticket(1)), [Decision::Run { id: 1 }]);
    /// assert_eq!(limit.admit(Moment(0), ticket(2)), []);
    /// assert!(matches!(limit.admit(Moment(0), ticket(3))[..], [Decision::Refuse { id: 3, .. }]));
    /// assert_eq!(limit.finish(Moment(1), 1), [Decision::Run { id: 2 }]);
    /// ```
    #[must_use]
    pub fn new(size: Capacity) -> Self {
        Self {
            size,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            mean_micros: 0,
        }
    }

    /// Takes another size; what runs and waits stays, and a larger size lets waiting ones run.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{ConcurrencyLimit, Capacity, Decision, PendingRequest};
    /// # let mut limit = ConcurrencyLimit::new(Capacity { slots: 0, queue: 1 });
    /// let ticket = PendingRequest { id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0, expected_run: None };
    /// assert_eq!(limit.admit(Moment(0), ticket), []);
    /// assert_eq!(limit.resize(Moment(0), Capacity { slots: 1, queue: 1 }), [Decision::Run { id: 1 }]);
    /// ```
    pub fn resize(&mut self, now: Moment, size: Capacity) -> Vec<Decision> {
        self.size = size;
        self.fill(now)
    }

    /// A request asks for a place: it runs, waits, or is refused.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{ConcurrencyLimit, Capacity, Decision, PendingRequest};
    /// # use crank_protocol::call::Refusal;
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 });
    /// let late = PendingRequest { id: 1, importance: Default::default(), deadline: Moment(5), depth: 0, expected_run: None };
    /// let refused = Decision::Refuse { id: 1, refusal: Refusal::TooLate };
    /// assert_eq!(limit.admit(Moment(5), late), [refused]);
    /// ```
    pub fn admit(&mut self, now: Moment, ticket: PendingRequest) -> Vec<Decision> {
        if ticket.deadline <= now {
            return vec![refuse(ticket.id, Refusal::TooLate)];
        }
        if self.has_free_slot() && self.waiting.is_empty() {
            self.running.insert(ticket.id, now);
            return vec![Decision::Run { id: ticket.id }];
        }
        if self.expected_end(now, &ticket) > ticket.deadline {
            return vec![refuse(ticket.id, self.overload_refusal())];
        }
        self.wait(ticket)
    }

    /// A request asks for a place that is free now: it runs or is refused, and never waits.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{ConcurrencyLimit, Capacity, Decision, PendingRequest};
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 9 });
    /// let ticket = |id| PendingRequest { id, importance: Default::default(), deadline: Moment(9_000), depth: 0, expected_run: None };
    /// assert_eq!(limit.admit_without_wait(Moment(0), ticket(1)), [Decision::Run { id: 1 }]);
    /// assert!(matches!(limit.admit_without_wait(Moment(0), ticket(2))[..], [Decision::Refuse { id: 2, .. }]));
    /// ```
    pub fn admit_without_wait(&mut self, now: Moment, ticket: PendingRequest) -> Vec<Decision> {
        if ticket.deadline > now && !(self.has_free_slot() && self.waiting.is_empty()) {
            return vec![refuse(ticket.id, self.overload_refusal())];
        }
        self.admit(now, ticket)
    }

    fn wait(&mut self, ticket: PendingRequest) -> Vec<Decision> {
        let mut steps = Vec::new();
        if self.waiting.len() >= self.size.queue as usize {
            match self.least_important() {
                Some(least) if least.importance.0 < ticket.importance => {
                    self.waiting.remove(&least);
                    steps.push(refuse(least.id, self.overload_refusal()));
                }
                Some(_) | None => return vec![refuse(ticket.id, self.overload_refusal())],
            }
        }
        let PendingRequest {
            deadline,
            expected_run: run,
            ..
        } = ticket;
        self.waiting.insert(rank(&ticket), Wait { deadline, run });
        steps
    }

    /// A request has ended, or nobody waits for it any more; the next ones may run.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{ConcurrencyLimit, Capacity};
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 });
    /// assert_eq!(limit.finish(Moment(1), 99), []);
    /// ```
    pub fn finish(&mut self, now: Moment, id: u64) -> Vec<Decision> {
        match self.running.remove(&id) {
            Some(began) => self.learn(now.0.saturating_sub(began.0)),
            None => self.waiting.retain(|rank, _| rank.id != id),
        }
        self.fill(now)
    }

    /// Refuses everything that waits.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::limit::{ConcurrencyLimit, Capacity, PendingRequest};
    /// # use crank_protocol::call::Refusal;
    /// let mut limit = ConcurrencyLimit::new(Capacity { slots: 0, queue: 1 });
    /// let ticket = PendingRequest { id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0, expected_run: None };
    /// limit.admit(Moment(0), ticket);
    /// assert_eq!(limit.refuse_waiting(&Refusal::Leaving).len(), 1);
    /// ```
    pub fn refuse_waiting(&mut self, refusal: &Refusal) -> Vec<Decision> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_keys()
            .map(|rank| refuse(rank.id, refusal.clone()))
            .collect()
    }

    /// Requests that run now.
    ///
    /// ```
    /// # use crank_engine::limit::{ConcurrencyLimit, Capacity};
    /// assert_eq!(ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 }).running(), 0);
    /// ```
    #[must_use]
    pub fn running(&self) -> u32 {
        count(self.running.len())
    }

    /// Requests that wait now.
    ///
    /// ```
    /// # use crank_engine::limit::{ConcurrencyLimit, Capacity};
    /// assert_eq!(ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 }).waiting(), 0);
    /// ```
    #[must_use]
    pub fn waiting(&self) -> u32 {
        count(self.waiting.len())
    }

    /// How much may run and wait at once.
    ///
    /// ```
    /// # use crank_engine::limit::{ConcurrencyLimit, Capacity};
    /// assert_eq!(ConcurrencyLimit::new(Capacity { slots: 1, queue: 2 }).size().queue, 2);
    /// ```
    #[must_use]
    pub fn size(&self) -> Capacity {
        self.size
    }

    /// The refusal for a request that finds no room now.
    ///
    /// ```
    /// # use crank_engine::limit::{ConcurrencyLimit, MIN_RETRY_AFTER, Capacity};
    /// # use crank_protocol::call::Refusal;
    /// let refusal = ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 }).overload_refusal();
    /// assert_eq!(refusal, Refusal::Overloaded { retry_after: MIN_RETRY_AFTER });
    /// ```
    #[must_use]
    pub fn overload_refusal(&self) -> Refusal {
        let micros = self.turn_micros(self.waiting.len() + 1);
        let retry_after = Millis(micros / MICROS_PER_MILLI);
        Refusal::Overloaded {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    fn fill(&mut self, now: Moment) -> Vec<Decision> {
        let mut steps = Vec::new();
        while self.has_free_slot() {
            let Some((rank, Wait { deadline, run })) = self.waiting.pop_first() else {
                break;
            };
            let end = now.0.saturating_add(self.run_micros(run));
            if end > deadline.0 || deadline <= now {
                steps.push(refuse(rank.id, Refusal::TooLate));
            } else {
                self.running.insert(rank.id, now);
                steps.push(Decision::Run { id: rank.id });
            }
        }
        steps
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.size.slots as usize
    }

    fn least_important(&self) -> Option<Rank> {
        self.waiting.last_key_value().map(|(rank, _)| *rank)
    }

    fn expected_end(&self, now: Moment, ticket: &PendingRequest) -> Moment {
        let ahead = self.waiting.range(..rank(ticket)).count();
        let wait = self.turn_micros(ahead + 1);
        let run = self.run_micros(ticket.expected_run);
        Moment(now.0.saturating_add(wait).saturating_add(run))
    }

    /// How long a request runs: as its entry expects, or as the others did here.
    fn run_micros(&self, expected: Option<Millis>) -> u64 {
        expected.map_or(self.mean_micros, |run| {
            run.0.saturating_mul(MICROS_PER_MILLI)
        })
    }

    fn turn_micros(&self, turns: usize) -> u64 {
        let slots = u64::from(self.size.slots.max(1));
        self.mean_micros.saturating_mul(turns as u64) / slots
    }

    fn learn(&mut self, took_micros: u64) {
        self.mean_micros = if self.mean_micros == 0 {
            took_micros
        } else {
            (self.mean_micros * (MEAN_WEIGHT - 1) + took_micros) / MEAN_WEIGHT
        };
    }
}

fn rank(ticket: &PendingRequest) -> Rank {
    Rank {
        importance: Reverse(ticket.importance),
        id: ticket.id,
    }
}

fn refuse(id: u64, refusal: Refusal) -> Decision {
    Decision::Refuse { id, refusal }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
