//! Retries at the entry, and the outcomes that callers get.

mod common;

use common::{FakeTransport, body_text, entry, request, with_header};
use crank_engine::retry::MAX_ATTEMPTS;
use crank_protocol::Millis;
use crank_protocol::call::{DEPTH_HEADER, Outcome, Refusal};

#[tokio::test]
async fn a_lost_order_is_never_sent_again() {
    for refusal in [
        Refusal::Lost,
        Refusal::TimedOut,
        Refusal::Cut,
        Refusal::KeyInUse,
    ] {
        let transport = FakeTransport::refusing(std::slice::from_ref(&refusal));
        let refused = entry(transport.clone())
            .call(request("/orders"))
            .await
            .err();
        let refused = refused.unwrap();
        assert_eq!(refused.refusal, refusal);
        assert_ne!(refused.outcome, Outcome::NotRun);
        assert_eq!(transport.sent(), 1, "{refusal:?}");
    }
}

#[tokio::test]
async fn an_order_that_was_certainly_not_run_is_tried_at_another_target() {
    let transport = FakeTransport::refusing(&[Refusal::Leaving, Refusal::NotSent]);
    let answer = entry(transport.clone()).call(request("/orders")).await;
    assert_eq!(body_text(answer.ok().unwrap()).await.unwrap(), "whole");
    let sent = transport.sent.lock().clone();
    assert_eq!(sent.len(), 3);
    assert!(sent[0] != sent[1] && sent[1] != sent[2] && sent[0] != sent[2]);
}

#[tokio::test]
async fn a_lookup_that_was_lost_and_then_refused_is_not_called_not_run() {
    let refusals = [Refusal::Lost, Refusal::Leaving, Refusal::Leaving];
    let transport = FakeTransport::refusing(&refusals);
    let refused = entry(transport)
        .call(request("/lookups"))
        .await
        .err()
        .unwrap();
    assert_eq!(refused.outcome, Outcome::Unknown);
}

#[tokio::test]
async fn only_the_first_layer_of_a_call_chain_retries() {
    let transport = FakeTransport::refusing(&[Refusal::NotSent]);
    let request = with_header(request("/lookups"), DEPTH_HEADER, "1");
    let refused = entry(transport.clone()).call(request).await.err().unwrap();
    assert_eq!(refused.refusal, Refusal::NotSent);
    assert_eq!(transport.sent(), 1);
}

#[tokio::test]
async fn retries_to_a_service_that_refuses_everything_stay_within_the_budget() {
    let calls = 500;
    let transport = FakeTransport::refusing(&vec![Refusal::NotSent; calls * MAX_ATTEMPTS as usize]);
    let entry = entry(transport.clone());
    for _ in 0..calls {
        assert!(entry.call(request("/lookups")).await.is_err());
    }
    let budget = calls / 5 + 10;
    assert!(
        transport.sent() <= calls + budget,
        "sent {}",
        transport.sent()
    );
}

#[tokio::test]
async fn targets_are_asked_for_a_free_slot_before_a_request_queues_at_one() {
    let full = Refusal::Overloaded {
        retry_after: Millis(100),
    };
    let transport = FakeTransport::refusing(&[full.clone(), full.clone(), full]);
    let answer = entry(transport.clone()).call(request("/orders")).await;
    assert_eq!(body_text(answer.ok().unwrap()).await.unwrap(), "whole");
    let sent = transport.sent.lock().clone();
    assert_eq!(sent.len(), 4, "three were full, the fourth let it queue");
    assert!(sent[0] != sent[1] && sent[1] != sent[2] && sent[0] != sent[2]);
    let may_queue = transport.may_queue.lock().clone();
    assert_eq!(may_queue, [false, false, false, true]);
}
