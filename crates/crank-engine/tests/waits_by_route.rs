//! Replays a server that runs long requests of one route and short ones of another, in bursts that
//! its slots cannot carry, with waits estimated by one mean run time and by those of the routes.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crank_engine::Moment;
use crank_engine::limit::{Capacity, ConcurrencyLimit, Decision, PendingRequest};
use crank_protocol::Millis;
use crank_protocol::config::Importance;

const SLOTS: u32 = 12;
const QUEUE: u32 = 48;
const END: u64 = 30_000;
/// Bursts of one second in each period of three.
const PERIOD: u64 = 3_000;
const BURST: u64 = 1_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    run: u64,
    target: u64,
}

const LONG: Route = Route {
    run: 480,
    target: 1_500,
};
const SHORT: Route = Route {
    run: 56,
    target: 250,
};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finished(u64),
    Arrived(Route),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Estimate {
    OneMean,
    ByRoute,
}

/// Arrivals at evenly spaced times, `percent` of what the slots carry, half of it for each route.
fn arrivals(from: u64, to: u64, percent: u64) -> Vec<(u64, Event)> {
    let mut arrivals = Vec::new();
    for route in [LONG, SHORT] {
        let interval = 2 * route.run * 100 / (u64::from(SLOTS) * percent);
        let times = (from..to).step_by(interval as usize);
        arrivals.extend(times.map(|at| (at, Event::Arrived(route))));
    }
    arrivals
}

/// Returns the share of requests that ended within their target.
fn replay(estimate: Estimate) -> f64 {
    let mut limit = ConcurrencyLimit::new(Capacity {
        slots: SLOTS,
        queue: QUEUE,
    });
    let mut events: BinaryHeap<_> = (0..END)
        .step_by(PERIOD as usize)
        .flat_map(|start| {
            let burst = arrivals(start, start + BURST, 200);
            burst
                .into_iter()
                .chain(arrivals(start + BURST, start + PERIOD, 60))
        })
        .map(Reverse)
        .collect();
    let mut requests = Vec::new();
    let mut served = 0;
    while let Some(Reverse((now, event))) = events.pop() {
        let moment = Moment(0).after(Millis(now));
        let decisions = match event {
            Event::Arrived(route) => {
                requests.push((route, now));
                let expected_run_time =
                    (estimate == Estimate::ByRoute).then_some(Millis(route.run));
                let request = PendingRequest {
                    id: requests.len() as u64 - 1,
                    importance: Importance::Normal,
                    deadline: moment.after(Millis(route.target)),
                    depth: 0,
                    account: None,
                    expected_run_time,
                };
                limit.admit(moment, request)
            }
            Event::Finished(id) => limit.finish(moment, id),
        };
        for decision in decisions {
            if let Decision::Run { id } = decision {
                let (route, arrived_at) = requests[id as usize];
                events.push(Reverse((now + route.run, Event::Finished(id))));
                served += u32::from(now + route.run <= arrived_at + route.target);
            }
        }
    }
    f64::from(served) / requests.len() as f64
}

#[test]
fn more_requests_meet_their_target_when_waits_are_estimated_by_route() {
    let by_mean = replay(Estimate::OneMean);
    let by_route = replay(Estimate::ByRoute);
    assert!(
        by_route > by_mean + 0.02,
        "{by_mean} by one mean, {by_route} by route"
    );
}
