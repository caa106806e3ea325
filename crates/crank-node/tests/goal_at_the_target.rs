//! A request waits at its target only while its answer can still be good.

mod common;

use bytes::Bytes;
use common::{FakeServer, head, side, until};
use crank_platform_client::Memory;
use crank_protocol::Millis;
use crank_protocol::call::{Outcome, Refusal};

#[tokio::test]
async fn what_cannot_be_good_any_more_is_refused_at_once_and_not_run() {
    let server = FakeServer::held();
    let side = side("lookups", Memory::new(), server.clone());
    let mut running = Vec::new();
    for request in 1..=2 {
        let target = side.target.clone();
        let run = async move {
            target
                .run(head("lookups", request, None), Bytes::new())
                .await
        };
        running.push(tokio::spawn(run));
    }
    until(|| server.runs() == 2).await;
    let mut late = head("lookups", 3, None);
    late.goal = Some(Millis(0));
    let refused = side.target.run(late, Bytes::new()).await.err().unwrap();
    assert!(matches!(refused.refusal, Refusal::Overloaded { .. }));
    assert_eq!((refused.outcome, refused.reached), (Outcome::NotRun, false));
    server.answers.add_permits(2);
    for run in running {
        assert!(run.await.unwrap().is_ok());
    }
    assert_eq!(server.runs(), 2);
}
