//! Replays client accounts that compete for the slots of one server: one of them sends many times
//! its usual load.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crank_engine::Moment;
use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
use crank_protocol::call::Refusal;
use crank_protocol::config::Importance;
use crank_protocol::{Millis, Name};

const SLOTS: u32 = 6;
const QUEUE: u32 = 24;
/// A request runs 100 ms and should end within 400 ms.
const RUN: u64 = 100;
const TARGET: u64 = 400;
/// Ten accounts that each use 6 of 60 requests a second that the slots carry, less a fifth.
const SMALL_ACCOUNTS: u64 = 9;
const SMALL_INTERVAL: u64 = 208;
/// One account that sends ten times that.
const HOT_INTERVAL: u64 = 20;
const END: u64 = 20_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finished(u64),
    Arrived(u64),
}

/// Whether requests carry the account that they count for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Accounts {
    Unknown,
    Known,
}

const HOT: u64 = SMALL_ACCOUNTS;

fn arrivals() -> impl Iterator<Item = Reverse<(u64, Event)>> {
    let small = (0..SMALL_ACCOUNTS).flat_map(|account| {
        let first = account * SMALL_INTERVAL / SMALL_ACCOUNTS;
        (first..END)
            .step_by(SMALL_INTERVAL as usize)
            .map(move |at| (at, Event::Arrived(account)))
    });
    let hot = (0..END)
        .step_by(HOT_INTERVAL as usize)
        .map(|at| (at, Event::Arrived(HOT)));
    small.chain(hot).map(Reverse)
}

/// Returns the share of requests of each account that ended within their target.
fn replay(accounts: Accounts) -> BTreeMap<u64, f64> {
    let capacity = Capacity {
        slots: SLOTS,
        queue: QUEUE,
    };
    let mut limit = ConcurrencyLimit::new(capacity);
    let mut events: BinaryHeap<_> = arrivals().collect();
    let mut requests = Vec::new();
    let mut counts: BTreeMap<u64, (u32, u32)> = BTreeMap::new();
    while let Some(Reverse((now, event))) = events.pop() {
        let moment = Moment(0).after(Millis(now));
        let decisions = match event {
            Event::Arrived(account) => {
                requests.push((account, now));
                counts.entry(account).or_default().1 += 1;
                let name = Name::new(&format!("account-{account}")).unwrap();
                let request = PendingRequest {
                    id: requests.len() as u64 - 1,
                    importance: Importance::Normal,
                    deadline: moment.after(Millis(TARGET)),
                    depth: 0,
                    account: (accounts == Accounts::Known).then_some(name),
                    expected_run_time: Some(Millis(RUN)),
                };
                limit.admit(moment, request)
            }
            Event::Finished(id) => limit.finish(moment, id),
        };
        for decision in decisions {
            if let Decision::Run { id } = decision {
                let (account, arrived_at) = requests[id as usize];
                events.push(Reverse((now + RUN, Event::Finished(id))));
                let in_time = now + RUN <= arrived_at + TARGET;
                counts.entry(account).or_default().0 += u32::from(in_time);
            }
        }
    }
    let share = |(served, asked): (u32, u32)| f64::from(served) / f64::from(asked);
    counts
        .into_iter()
        .map(|(account, count)| (account, share(count)))
        .collect()
}

#[test]
fn a_hot_account_does_not_crowd_out_small_ones() {
    let before = replay(Accounts::Unknown);
    let after = replay(Accounts::Known);
    let worst = |shares: &BTreeMap<u64, f64>| {
        let small = shares.iter().filter(|(account, _)| **account != HOT);
        small.map(|(_, share)| *share).fold(1.0, f64::min)
    };
    assert!(
        worst(&before) < 0.8,
        "the load does not reproduce the fault: {before:?}"
    );
    assert!(worst(&after) > 0.97, "{after:?}");
    assert!(after[&HOT] > 0.2, "the hot account starves: {after:?}");
}

#[test]
fn refused_callers_are_not_told_to_return_at_the_same_time() {
    let mut limit = ConcurrencyLimit::new(Capacity { slots: 1, queue: 4 });
    let mut return_times = std::collections::BTreeSet::new();
    for id in 0..44 {
        let request = PendingRequest {
            id,
            importance: Importance::Normal,
            deadline: Moment(0).after(Millis(60_000)),
            depth: 0,
            account: None,
            expected_run_time: Some(Millis(RUN)),
        };
        for decision in limit.admit(Moment(0), request) {
            if let Decision::Refuse { refusal, .. } = decision {
                return_times.extend(retry_after(&refusal));
            }
        }
    }
    // The queue drains in 400 ms; 39 refused callers return one after the other until 800 ms.
    assert_eq!(return_times.len(), 39);
    assert!(return_times.first() >= Some(&400) && return_times.last() <= Some(&800));
}

fn retry_after(refusal: &Refusal) -> Option<u64> {
    match refusal {
        Refusal::Overloaded { retry_after } => Some(retry_after.0),
        _ => None,
    }
}
