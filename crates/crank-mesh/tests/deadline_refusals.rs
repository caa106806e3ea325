//! Tests that a request refused as not sent at its deadline is never written afterwards.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use common::{connect, head, response, start_server};
use crank_mesh::call::RequestHandler;
use crank_protocol::Millis;
use crank_protocol::call::{Outcome, RefusedRequest, RequestHead, Response};
use futures::future::join_all;
use futures::stream;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

const ROUNDS: u128 = 150;
const REQUESTS: u128 = 200;

/// A handler that records the ids of the requests that arrive.
#[derive(Clone, Default)]
struct Ledger(Arc<Mutex<BTreeSet<u128>>>);

impl RequestHandler for Ledger {
    async fn handle(&self, head: RequestHead, _: Bytes) -> Result<Response, RefusedRequest> {
        self.0.lock().insert(head.request_id);
        Ok(response(Some(0), Box::pin(stream::empty())))
    }
}

/// The deadlines of many requests pass while they wait to be written, on several threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_told_not_to_have_run_at_its_deadline_never_arrives() {
    let ledger = Ledger::default();
    let connection = connect(start_server(ledger.clone(), CancellationToken::new()).await).await;
    let mut not_run = BTreeSet::new();
    for round in 0..ROUNDS {
        let sent = (0..REQUESTS).map(|number| {
            let connection = connection.clone();
            tokio::spawn(async move {
                let mut head = head("/ledger");
                head.request_id = round * REQUESTS + number;
                head.time_left = Millis(1 + number as u64 % 3);
                let request = head.request_id;
                let refused = connection
                    .send_request(head, Bytes::from(vec![b'x'; 16_384]))
                    .await
                    .err();
                let is_not_run = refused.is_some_and(|refused| refused.outcome == Outcome::NotRun);
                is_not_run.then_some(request)
            })
        });
        let refused = join_all(sent).await.into_iter().filter_map(Result::unwrap);
        not_run.extend(refused);
    }
    // Requests arrive in order: once this one is answered, all that were written before it arrived.
    let mut last = head("/ledger");
    last.request_id = u128::MAX;
    connection
        .send_request(last, Bytes::new())
        .await
        .ok()
        .unwrap();
    assert!(
        !not_run.is_empty(),
        "no request reached its deadline before it was sent"
    );
    let arrived = ledger.0.lock();
    let wrongly_refused: Vec<&u128> = not_run.intersection(&arrived).collect();
    assert!(
        wrongly_refused.is_empty(),
        "{} of {} requests refused as not run arrived",
        wrongly_refused.len(),
        not_run.len()
    );
}
