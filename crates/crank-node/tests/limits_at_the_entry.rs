//! Limits at the entry and the isolation of services from each other.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{
    FakeTransport, body_text, dependencies, entry, name, request, wait_until, with_header,
};
use crank_engine::drain::DrainProgress;
use crank_engine::limit::Capacity;
use crank_node::entry::EntryProxy;
use crank_protocol::Millis;
use crank_protocol::call::{
    DEPTH_HEADER, IDEMPOTENCY_KEY_HEADER, Outcome, Refusal, TIMEOUT_HEADER,
};

#[tokio::test]
async fn a_hanging_service_does_not_block_other_services() {
    let transport = FakeTransport {
        hanging: Some(name("orders")),
        ..FakeTransport::default()
    };
    let entry = entry(transport);
    let (calls, capacity) = (40, 3 * (2 + 2) + 2);
    let refused = Arc::new(AtomicUsize::new(0));
    let waiting: Vec<_> = (0..calls)
        .map(|_| {
            let (call, refused) = (entry.clone(), refused.clone());
            tokio::spawn(async move {
                let result = call.call(request("/orders")).await.err().unwrap();
                assert!(matches!(result.refusal, Refusal::Overloaded { .. }));
                assert_eq!(result.outcome, Outcome::NotRun);
                refused.fetch_add(1, Ordering::Relaxed);
            })
        })
        .collect();
    let all_arrived = || {
        let load = entry.load();
        let load = load.get(&name("orders")).copied().unwrap_or_default();
        let admitted = (load.running + load.waiting) as usize;
        admitted + refused.load(Ordering::Relaxed) == calls
    };
    wait_until(all_arrived).await;
    assert_eq!(refused.load(Ordering::Relaxed), calls - capacity);
    let answer = entry.call(request("/lookups")).await;
    assert_eq!(body_text(answer.ok().unwrap()).await.unwrap(), "whole");
    for task in waiting {
        task.abort();
    }
}

#[tokio::test]
async fn a_full_node_refuses_the_least_important_service_first() {
    let transport = FakeTransport {
        hanging: Some(name("orders")),
        ..FakeTransport::default()
    };
    let entry = EntryProxy::with_node_limit(
        dependencies(transport.clone()),
        Capacity { slots: 1, queue: 1 },
    );
    let call = |path: &str| {
        let (entry, request) = (entry.clone(), request(path));
        let request = with_header(request, IDEMPOTENCY_KEY_HEADER, "key");
        tokio::spawn(async move { entry.call(request).await })
    };
    let holding = call("/orders");
    wait_until(|| transport.sent() == 1).await;
    let lookup = call("/lookups");
    wait_until(|| entry.waiting() == 1).await;
    let ticket = call("/tickets");
    let refused = lookup.await.unwrap().err().unwrap();
    assert!(matches!(refused.refusal, Refusal::Overloaded { .. }));
    assert_eq!(refused.outcome, Outcome::NotRun);
    holding.abort();
    assert!(ticket.await.unwrap().is_ok());
}

#[tokio::test]
async fn a_disconnected_caller_frees_its_slot() {
    let transport = FakeTransport {
        hanging: Some(name("orders")),
        ..FakeTransport::default()
    };
    let entry = entry(transport.clone());
    let call = entry.clone();
    let task = tokio::spawn(async move { call.call(request("/orders")).await.is_ok() });
    wait_until(|| transport.sent() == 1).await;
    task.abort();
    wait_until(|| entry.load()[&name("orders")].running == 0).await;
}

#[tokio::test]
async fn the_deadline_of_the_caller_covers_a_target_that_hangs() {
    let transport = FakeTransport {
        hanging: Some(name("lookups")),
        ..FakeTransport::default()
    };
    let entry = entry(transport.clone());
    let mut millis = 20;
    let refused = loop {
        let request = with_header(request("/lookups"), TIMEOUT_HEADER, &millis.to_string());
        let refused = entry.call(request).await.err().unwrap();
        if transport.sent() > 0 {
            break refused;
        }
        millis *= 2;
    };
    assert_eq!(refused.refusal, Refusal::TimedOut);
    assert_eq!(refused.outcome, Outcome::Unknown);
}

#[tokio::test]
async fn a_ticket_without_a_key_is_not_sent() {
    let transport = FakeTransport::default();
    let entry = entry(transport.clone());
    let without_key = entry.call(request("/tickets")).await.err().unwrap();
    assert!(matches!(without_key.refusal, Refusal::BadRequest { .. }));
    let with_two_keys = with_header(request("/tickets"), IDEMPOTENCY_KEY_HEADER, "a");
    let with_two_keys = with_header(with_two_keys, IDEMPOTENCY_KEY_HEADER, "b");
    let with_two_keys = entry.call(with_two_keys).await.err().unwrap();
    assert_eq!(with_two_keys.outcome, Outcome::NotRun);
    assert_eq!(transport.sent(), 0);
}

#[tokio::test]
async fn a_leaving_node_refuses_callers_but_serves_its_own_backend_server() {
    let entry = entry(FakeTransport::default());
    entry.start_drain(Millis(0));
    let refused = entry.call(request("/lookups")).await.err().unwrap();
    assert_eq!(refused.refusal, Refusal::Leaving);
    assert_eq!(refused.outcome, Outcome::NotRun);
    let internal = with_header(request("/lookups"), DEPTH_HEADER, "1");
    let answer = entry.call(internal).await;
    assert_eq!(body_text(answer.ok().unwrap()).await.unwrap(), "whole");
    assert_eq!(entry.progress(), DrainProgress::Drained);
}
