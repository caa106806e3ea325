//! What is told not to have been sent at its deadline is never written afterwards.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use common::{answer, head, link, node};
use crank_mesh::call::RequestHandler;
use crank_protocol::Millis;
use crank_protocol::call::{Outcome, RefusedRequest, RequestHead, Response};
use futures::future::join_all;
use futures::stream;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

const ROUNDS: u128 = 150;
const REQUESTS: u128 = 200;

/// Notes each request that comes.
#[derive(Clone, Default)]
struct Ledger(Arc<Mutex<BTreeSet<u128>>>);

impl RequestHandler for Ledger {
    async fn handle(&self, head: RequestHead, _: Bytes) -> Result<Response, RefusedRequest> {
        self.0.lock().insert(head.request_id);
        Ok(answer(Some(0), Box::pin(stream::empty())))
    }
}

/// Many requests whose time ends while they wait to be written, on several threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_told_not_to_have_run_at_its_deadline_never_arrives() {
    let ledger = Ledger::default();
    let link = link(node(ledger.clone(), CancellationToken::new()).await).await;
    let mut not_run = BTreeSet::new();
    for round in 0..ROUNDS {
        let sent = (0..REQUESTS).map(|number| {
            let link = link.clone();
            tokio::spawn(async move {
                let mut head = head("/ledger");
                head.request_id = round * REQUESTS + number;
                head.time_left = Millis(1 + number as u64 % 3);
                let request = head.request_id;
                let refused = link
                    .send_request(head, Bytes::from(vec![b'x'; 16_384]))
                    .await
                    .err();
                let is_not_run = refused.is_some_and(|refused| refused.outcome == Outcome::NotRun);
                is_not_run.then_some(request)
            })
        });
        let told = join_all(sent).await.into_iter().filter_map(Result::unwrap);
        not_run.extend(told);
    }
    // An answered request shows that all written before it have arrived.
    let mut last = head("/ledger");
    last.request_id = u128::MAX;
    link.send_request(last, Bytes::new()).await.ok().unwrap();
    assert!(!not_run.is_empty(), "no request met its deadline unsent");
    let arrived = ledger.0.lock();
    let untrue: Vec<&u128> = not_run.intersection(&arrived).collect();
    assert!(
        untrue.is_empty(),
        "{} of {} refusals were untrue",
        untrue.len(),
        not_run.len()
    );
}
