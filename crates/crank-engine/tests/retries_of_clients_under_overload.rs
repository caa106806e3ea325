//! Replays a server that gets more requests than it can run in time, from clients that retry what
//! was refused once: with the retries counted as new requests, and from their first attempt.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crank_engine::Moment;
use crank_engine::client_retry::{ClientRequest, ClientRetries};
use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
use crank_protocol::call::Refusal;
use crank_protocol::config::Importance;
use crank_protocol::{Millis, Name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CAPACITY: Capacity = Capacity {
    slots: 6,
    queue: 24,
};
/// In milliseconds: how long requests run, their objective and how long their clients wait.
const MIN_RUN: u64 = 50;
const MAX_RUN: u64 = 150;
const MEAN_RUN: u64 = (MIN_RUN + MAX_RUN) / 2;
const OBJECTIVE: u64 = 250;
const MIN_TIMEOUT: u64 = 680;
const MAX_TIMEOUT: u64 = 800;
/// A client waits at most this share of the time that it has left before it retries.
const MAX_WAIT_DIVISOR: u64 = 3;
const END: u64 = 20_000;

/// How the attempts of clients count.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Count {
    FromEachAttempt,
    FromTheFirstAttempt,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finished(usize),
    Arrived(usize),
}

#[derive(Clone, Copy)]
struct Client {
    first_arrival: u64,
    gives_up_at: u64,
    run: u64,
    has_retried: bool,
}

#[derive(Debug, Default)]
struct Served {
    in_objective: usize,
    late: usize,
    refused: usize,
}

fn at(millis: u64) -> Moment {
    Moment(0).after(Millis(millis))
}

struct Replay {
    count: Count,
    limit: ConcurrencyLimit,
    retries: ClientRetries,
    clients: Vec<Client>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rng: ChaCha8Rng,
    served: Served,
}

impl Replay {
    /// Creates a replay in which clients ask for `percent` of what the slots can run.
    fn new(count: Count, percent: u64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let requests = END * u64::from(CAPACITY.slots) * percent / 100 / MEAN_RUN;
        let clients: Vec<Client> = (0..requests)
            .map(|_| {
                let first_arrival = rng.random_range(0..END);
                Client {
                    first_arrival,
                    gives_up_at: first_arrival + rng.random_range(MIN_TIMEOUT..MAX_TIMEOUT),
                    run: rng.random_range(MIN_RUN..MAX_RUN),
                    has_retried: false,
                }
            })
            .collect();
        let arrivals = clients.iter().enumerate();
        let events = arrivals
            .map(|(index, client)| Reverse((client.first_arrival, Event::Arrived(index))))
            .collect();
        Self {
            count,
            limit: ConcurrencyLimit::new(CAPACITY),
            retries: ClientRetries::default(),
            clients,
            events,
            rng,
            served: Served::default(),
        }
    }

    fn run(mut self) -> Served {
        while let Some(Reverse((now, event))) = self.events.pop() {
            let decisions = match event {
                Event::Arrived(index) => self.admit(now, index),
                Event::Finished(index) => {
                    self.finish(now, index);
                    self.limit.finish(at(now), index as u64)
                }
            };
            for decision in decisions {
                self.apply(now, decision);
            }
        }
        self.served
    }

    fn admit(&mut self, now: u64, index: usize) -> Vec<Decision> {
        let client = self.clients[index];
        let request = self.request(client);
        let arrived_at = match self.count {
            Count::FromEachAttempt => at(now),
            Count::FromTheFirstAttempt => self.retries.first_arrival(at(now), &request),
        };
        let objective_end = arrived_at.after(Millis(OBJECTIVE));
        let can_meet_objective = objective_end > at(now + MEAN_RUN);
        let pending = PendingRequest {
            id: index as u64,
            importance: Importance::Normal,
            deadline: if can_meet_objective {
                objective_end
            } else {
                at(client.gives_up_at)
            },
            depth: 0,
            account: None,
            expected_run_time: Some(Millis(MEAN_RUN)),
        };
        if can_meet_objective {
            self.limit.admit(at(now), pending)
        } else {
            self.limit.admit_without_wait(at(now), pending)
        }
    }

    /// Returns what the node sees of a request, whose timeout is a whole number that may be off.
    fn request(&mut self, client: Client) -> ClientRequest {
        ClientRequest {
            deadline: at(client.gives_up_at - self.rng.random_range(0..3)),
            route: Name::new("spoons").unwrap(),
            account: None,
        }
    }

    fn finish(&mut self, now: u64, index: usize) {
        if now - self.clients[index].first_arrival <= OBJECTIVE {
            self.served.in_objective += 1;
        } else {
            self.served.late += 1;
        }
    }

    fn apply(&mut self, now: u64, decision: Decision) {
        match decision {
            Decision::Run { id } => {
                let index = id as usize;
                let end = now + self.clients[index].run;
                self.events.push(Reverse((end, Event::Finished(index))));
            }
            Decision::Refuse { id, refusal } => self.refuse(now, id as usize, refusal),
        }
    }

    fn refuse(&mut self, now: u64, index: usize, refusal: Refusal) {
        let client = self.clients[index];
        let request = self.request(client);
        self.retries
            .record_failure(at(now), request, at(client.first_arrival));
        let left = client.gives_up_at.saturating_sub(now);
        let wait = match refusal {
            Refusal::Overloaded { retry_after } => retry_after.0.min(left / MAX_WAIT_DIVISOR),
            _ => 0,
        };
        let retries_at = now + wait;
        if client.has_retried || retries_at + MIN_RUN >= client.gives_up_at {
            self.served.refused += 1;
            return;
        }
        self.clients[index].has_retried = true;
        self.events
            .push(Reverse((retries_at, Event::Arrived(index))));
    }
}

#[test]
fn more_requests_meet_their_objective_under_overload() {
    for (percent, gain_percent) in [(120, 10), (160, 25)] {
        for seed in 0..6 {
            let before = Replay::new(Count::FromEachAttempt, percent, seed).run();
            let after = Replay::new(Count::FromTheFirstAttempt, percent, seed).run();
            assert!(
                after.in_objective * 100 >= before.in_objective * (100 + gain_percent),
                "load {percent} %, seed {seed}: {before:?}, {after:?}"
            );
            let answered = |served: &Served| served.in_objective + served.late;
            assert!(
                answered(&after) * 100 >= answered(&before) * 97,
                "load {percent} %, seed {seed}: {before:?}, {after:?}"
            );
        }
    }
}

#[test]
fn nothing_changes_while_the_slots_carry_the_load() {
    for seed in 0..6 {
        let before = Replay::new(Count::FromEachAttempt, 60, seed).run();
        let after = Replay::new(Count::FromTheFirstAttempt, 60, seed).run();
        assert!(after.refused <= before.refused + 1, "{before:?}, {after:?}");
        assert!(
            after.in_objective * 1_000 >= before.in_objective * 999,
            "seed {seed}: {before:?}, {after:?}"
        );
    }
}
