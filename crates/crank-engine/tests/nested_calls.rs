//! Replays a service that callers use directly, and that requests of another service call while
//! they run: first more load than its slots carry, then less.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crank_engine::Moment;
use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
use crank_protocol::Millis;
use crank_protocol::config::Importance;

const SLOTS: u32 = 9;
const QUEUE: u32 = 24;
/// A direct request runs 170 ms and should end within 600 ms.
const DIRECT: Kind = Kind {
    run: 170,
    target: 600,
};
/// A call of another service runs 32 ms and should end within 120 ms.
const CALL: Kind = Kind {
    run: 32,
    target: 120,
};
/// In milliseconds: overload until here, then less load than the slots carry.
const OVERLOAD_END: u64 = 5_000;
const RECOVERY: u64 = 3_000;
const END: u64 = 12_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    run: u64,
    target: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finished(u64),
    Arrived(Kind),
}

/// How the requests that wait are ordered.
trait Queue {
    fn admit(&mut self, now: u64, id: u64, kind: Kind) -> Vec<Decision>;
    fn finish(&mut self, now: u64, id: u64) -> Vec<Decision>;
}

impl Queue for ConcurrencyLimit {
    fn admit(&mut self, now: u64, id: u64, kind: Kind) -> Vec<Decision> {
        let now = Moment(0).after(Millis(now));
        let request = PendingRequest {
            id,
            importance: Importance::Normal,
            deadline: now.after(Millis(kind.target)),
            depth: 0,
            expected_run_time: Some(Millis(kind.run)),
            account: None,
        };
        Self::admit(self, now, request)
    }

    fn finish(&mut self, now: u64, id: u64) -> Vec<Decision> {
        Self::finish(self, Moment(0).after(Millis(now)), id)
    }
}

/// The order of arrival, as it was before.
#[derive(Default)]
struct ArrivalOrder {
    running: u32,
    waiting: VecDeque<(u64, Kind, u64)>,
}

impl ArrivalOrder {
    fn refusal(id: u64) -> Decision {
        let refusal =
            ConcurrencyLimit::new(Capacity { slots: 1, queue: 1 }).overload_refusal(Moment(0));
        Decision::Refuse { id, refusal }
    }
}

impl Queue for ArrivalOrder {
    fn admit(&mut self, now: u64, id: u64, kind: Kind) -> Vec<Decision> {
        if self.running < SLOTS {
            self.running += 1;
            return vec![Decision::Run { id }];
        }
        let ahead: u64 = self.waiting.iter().map(|(_, kind, _)| kind.run).sum();
        let end = now + (ahead + DIRECT.run) / u64::from(SLOTS) + kind.run;
        if end > now + kind.target || self.waiting.len() >= QUEUE as usize {
            return vec![Self::refusal(id)];
        }
        self.waiting.push_back((id, kind, now + kind.target));
        Vec::new()
    }

    fn finish(&mut self, now: u64, _: u64) -> Vec<Decision> {
        self.running -= 1;
        let mut decisions = Vec::new();
        while self.running < SLOTS {
            let Some((id, kind, deadline)) = self.waiting.pop_front() else {
                break;
            };
            if now + kind.run > deadline {
                decisions.push(Self::refusal(id));
            } else {
                self.running += 1;
                decisions.push(Decision::Run { id });
            }
        }
        decisions
    }
}

/// The share of calls that were served, by the second of their arrival.
type CallsServed = BTreeMap<u64, (u32, u32)>;

fn share(served: &CallsServed, from: u64, to: u64) -> f64 {
    let range = served.range(from / 1_000..to / 1_000);
    let (served, asked) = range.fold((0, 0), |sum, (_, part)| (sum.0 + part.0, sum.1 + part.1));
    f64::from(served) / f64::from(asked)
}

/// Arrivals at evenly spaced times; `percent` is the load as a share of what the slots carry.
fn arrivals(from: u64, to: u64, percent: u64) -> impl Iterator<Item = Reverse<(u64, Event)>> {
    // Three calls for each direct request, as long as both together fill the slots.
    let busy = DIRECT.run + 3 * CALL.run;
    let interval = busy * 100 / (u64::from(SLOTS) * percent);
    let direct = (from..to).step_by(interval as usize).map(|at| (at, DIRECT));
    let calls = (from..to)
        .step_by(interval as usize)
        .flat_map(move |at| (0..3).map(move |part| (at + part * interval / 3, CALL)));
    direct
        .chain(calls)
        .map(|(at, kind)| Reverse((at, Event::Arrived(kind))))
}

fn replay(mut queue: impl Queue) -> CallsServed {
    let mut events: BinaryHeap<_> = arrivals(0, OVERLOAD_END, 120)
        .chain(arrivals(OVERLOAD_END, END, 80))
        .collect();
    let mut requests = Vec::new();
    let mut served = CallsServed::new();
    while let Some(Reverse((now, event))) = events.pop() {
        let decisions = match event {
            Event::Arrived(kind) => {
                requests.push((kind, now));
                if kind == CALL {
                    served.entry(now / 1_000).or_default().1 += 1;
                }
                queue.admit(now, requests.len() as u64 - 1, kind)
            }
            Event::Finished(id) => queue.finish(now, id),
        };
        for decision in decisions {
            if let Decision::Run { id } = decision {
                let (kind, arrived_at) = requests[id as usize];
                events.push(Reverse((now + kind.run, Event::Finished(id))));
                if kind == CALL {
                    served.entry(arrived_at / 1_000).or_default().0 += 1;
                }
            }
        }
    }
    served
}

#[test]
fn calls_of_other_services_are_served_during_overload_and_after_it() {
    let before = replay(ArrivalOrder::default());
    let after = replay(ConcurrencyLimit::new(Capacity {
        slots: SLOTS,
        queue: QUEUE,
    }));
    let overload = share(&before, 1_000, OVERLOAD_END);
    assert!(
        overload < 0.6,
        "the load does not reproduce the fault: {overload}"
    );
    let overload = share(&after, 1_000, OVERLOAD_END);
    assert!(overload > 0.95, "{overload} of the calls were served");
    let recovered = share(&after, OVERLOAD_END + RECOVERY, END);
    assert!(recovered > 0.99, "{recovered} of the calls were served");
}
