//! How long the entry holds responses back, and how much of them.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{body_text, dependencies, request};
use crank_engine::balance::ChosenTarget;
use crank_engine::buffer::{MAX_BODY_BYTES, MAX_BYTES_OF_NODE, MAX_START_TIME, MAX_TIME};
use crank_node::entry::{Dependencies, EntryProxy, Transport};
use crank_protocol::Millis;
use crank_protocol::call::{Load, RefusedRequest, RequestHead, Response, ResponseHead};
use crank_protocol::config::Snapshot;
use futures::{FutureExt, StreamExt, stream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// Far above the bounds, far below the time limit of a request.
const PATIENCE: Duration = Duration::from_secs(20);

/// A transport whose responses stop after a part of their body and never end.
#[derive(Clone)]
struct StuckTransport {
    part_bytes: usize,
    length: Option<u64>,
}

impl Transport for StuckTransport {
    async fn call(
        &self,
        _target: &ChosenTarget,
        _head: RequestHead,
        _body: Bytes,
    ) -> Result<Response, RefusedRequest> {
        let part = Bytes::from(vec![b'w'; self.part_bytes]);
        let head = ResponseHead {
            status: 200,
            headers: Vec::new(),
            length: self.length,
            load: Load::default(),
        };
        let body = stream::iter([Ok(part)]).chain(stream::pending());
        Ok(Response {
            head,
            body: Box::pin(body),
        })
    }
}

/// Creates a configuration whose services have room for many requests at once.
fn roomy_snapshot() -> Arc<Snapshot> {
    const SLOTS: u32 = 64;
    let mut snapshot = Snapshot::clone(&common::snapshot());
    for service in snapshot.config.services.values_mut() {
        service.slots = SLOTS;
    }
    snapshot.stamp.digest = crank_engine::config::digest(&snapshot.config);
    Arc::new(snapshot)
}

fn entry(part_bytes: usize, length: Option<u64>) -> EntryProxy<StuckTransport> {
    let fakes = dependencies(common::FakeTransport::default());
    EntryProxy::new(Dependencies {
        clock: fakes.clock,
        node: fakes.node,
        place: fakes.place,
        config: watch::Sender::new(Some(roomy_snapshot())).subscribe(),
        view: fakes.view,
        ready: fakes.ready,
        transport: StuckTransport { part_bytes, length },
        burn: fakes.burn,
        conventions: fakes.conventions,
    })
}

fn duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

#[tokio::test]
async fn a_response_that_does_not_end_is_passed_on_within_the_bounds() {
    let cases = [
        (1_000, None, MAX_TIME),
        (1_000, Some(2_000), MAX_TIME),
        (1_000, Some(MAX_BODY_BYTES + 1), MAX_START_TIME),
    ];
    for (part_bytes, length, expected) in cases {
        let entry = entry(part_bytes, length);
        let started_at = Instant::now();
        let response = timeout(PATIENCE, entry.call(request("/lookups"))).await;
        let took = started_at.elapsed();
        assert!(
            took >= duration(expected),
            "{part_bytes} {length:?}: {took:?}"
        );
        let mut body = response.unwrap().ok().unwrap().body;
        let first = body.next().now_or_never().unwrap().unwrap().unwrap();
        assert_eq!(first.len(), part_bytes);
    }
}

#[tokio::test]
async fn a_response_with_enough_bytes_does_not_wait() {
    for (part_bytes, length) in [(40_000, Some(MAX_BODY_BYTES + 1)), (300_000, None)] {
        let entry = entry(part_bytes, length);
        let response = entry.call(request("/lookups"));
        assert!(response.now_or_never().is_some(), "{part_bytes} {length:?}");
    }
}

#[tokio::test]
async fn without_room_responses_are_passed_on_at_once_and_room_returns_when_callers_leave() {
    const PART_BYTES: usize = 200_000;
    let entry = entry(PART_BYTES, Some(MAX_BODY_BYTES));
    let fitting = MAX_BYTES_OF_NODE as usize / PART_BYTES;
    let mut waiting = Vec::new();
    for _ in 0..fitting {
        let mut call = Box::pin({
            let entry = entry.clone();
            async move { entry.call(request("/lookups")).await }
        });
        assert!((&mut call).now_or_never().is_none(), "passed on at once");
        waiting.push(call);
    }
    let next = entry.call(request("/lookups")).now_or_never();
    let next = next.expect("held beyond the bound of the node");
    assert!(next.is_ok(), "refused for lack of buffers");
    drop(waiting);
    let next = entry.call(request("/lookups")).now_or_never();
    assert!(next.is_none(), "the room of callers that left was lost");
}

#[tokio::test]
async fn a_response_in_the_buffer_reaches_its_caller_unchanged() {
    let fakes = dependencies(common::FakeTransport::default());
    let entry = EntryProxy::new(fakes);
    let response = entry.call(request("/lookups")).await.ok().unwrap();
    assert_eq!(body_text(response).await.unwrap(), "whole");
}
