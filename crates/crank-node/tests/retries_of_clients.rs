//! A client's retry counts from the client's first attempt, and waits for no slot if that is too
//! long ago for its objective.

#![allow(clippy::panic, clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{FakeTransport, dependencies, name, request, snapshot, with_header};
use crank_engine::retry::MAX_ATTEMPTS;
use crank_node::entry::EntryProxy;
use crank_protocol::Millis;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, Request, Response, TIMEOUT_HEADER};
use crank_protocol::config::Snapshot;
use tokio::sync::watch;

const OBJECTIVE: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_millis(60_000);
/// More refusals than the attempts of one request.
const REFUSALS: usize = 4 * MAX_ATTEMPTS as usize;
/// A call that the machine held up for longer than this has no deadline that the test knows.
const MAX_HOLD_UP: Duration = Duration::from_millis(2);
const MAX_TRIES: usize = 50;

fn snapshot_with_objective() -> Arc<Snapshot> {
    let mut snapshot = Snapshot::clone(&snapshot());
    let routes = &mut snapshot.config.routes;
    if let Some(route) = routes.get_mut(&name("lookups")) {
        route.latency = Some(OBJECTIVE.into());
    }
    snapshot.stamp.digest = crank_engine::config::digest(&snapshot.config);
    Arc::new(snapshot)
}

fn entry(transport: FakeTransport) -> EntryProxy<FakeTransport> {
    let mut dependencies = dependencies(transport);
    dependencies.config = watch::Sender::new(Some(snapshot_with_objective())).subscribe();
    EntryProxy::new(dependencies)
}

fn full() -> Refusal {
    Refusal::Overloaded {
        retry_after: Millis(100),
    }
}

fn lookup(timeout: Duration) -> Request {
    let timeout = timeout.as_millis().to_string();
    with_header(request("/lookups"), TIMEOUT_HEADER, &timeout)
}

/// What the second request of a client met.
struct Second {
    result: Result<Response, RefusedRequest>,
    /// Which of its attempts were allowed to queue.
    may_queue: Vec<bool>,
}

/// Sends a request that is refused, and after a pause one that ends `shift` later than the first.
///
/// Returns `None` if the machine held up one of them.
async fn try_twice(pause: Duration, shift: Duration, has_free_slot: bool) -> Option<Second> {
    let transport = FakeTransport::refusing(&vec![full(); REFUSALS]);
    let entry = entry(transport.clone());
    let started_at = Instant::now();
    let refused = entry.call(lookup(TIMEOUT)).await.err().unwrap();
    let first_took = started_at.elapsed();
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert!(transport.may_queue.lock().contains(&true));
    transport.may_queue.lock().clear();
    if has_free_slot {
        transport.refusals.lock().clear();
    }
    tokio::time::sleep(pause).await;
    let second = lookup(TIMEOUT + shift - started_at.elapsed());
    let second_at = Instant::now();
    let result = entry.call(second).await;
    let may_queue = transport.may_queue.lock().clone();
    let is_prompt = first_took < MAX_HOLD_UP && second_at.elapsed() < MAX_HOLD_UP;
    is_prompt.then_some(Second { result, may_queue })
}

async fn twice(pause: Duration, shift: Duration, has_free_slot: bool) -> Second {
    for _ in 0..MAX_TRIES {
        if let Some(second) = try_twice(pause, shift, has_free_slot).await {
            return second;
        }
    }
    panic!("the machine held up each of {MAX_TRIES} tries");
}

#[tokio::test]
async fn a_retry_that_is_too_late_for_its_objective_takes_only_a_free_slot() {
    let second = twice(OBJECTIVE, Duration::ZERO, false).await;
    let refused = second.result.err().unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert!(matches!(refused.refusal, Refusal::Overloaded { .. }));
    assert!(!second.may_queue.is_empty());
    assert!(!second.may_queue.contains(&true), "{:?}", second.may_queue);
}

#[tokio::test]
async fn a_retry_that_can_meet_its_objective_may_queue() {
    let second = twice(Duration::ZERO, Duration::ZERO, false).await;
    assert!(second.may_queue.contains(&true), "{:?}", second.may_queue);
}

#[tokio::test]
async fn a_new_request_may_queue() {
    let second = twice(OBJECTIVE, OBJECTIVE, false).await;
    assert!(second.may_queue.contains(&true), "{:?}", second.may_queue);
}

#[tokio::test]
async fn a_late_retry_is_served_while_there_is_a_free_slot() {
    let second = twice(OBJECTIVE, Duration::ZERO, true).await;
    assert!(second.result.is_ok());
}
