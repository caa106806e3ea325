//! Many requests share a connection without touching each other.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{LIMIT, answer, head, hello, link, name, node};
use crank_mesh::Error;
use crank_mesh::call::{Connection, FLOW_CONTROL_WINDOW_BYTES, Peer, Pool, RequestHandler};
use crank_protocol::Millis;
use crank_protocol::call::{Body, Outcome, Refusal, RefusedRequest, RequestHead, Response};
use futures::{FutureExt, TryStreamExt, stream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const BIG_BYTES: usize = 4 * FLOW_CONTROL_WINDOW_BYTES as usize;

/// `/echo` gives the body back, `/big` a large body, `/cut` half of one, `/wait` nothing yet.
#[derive(Clone)]
struct Paths {
    gate: Arc<Semaphore>,
    running: Arc<AtomicUsize>,
    cancelled: Arc<Semaphore>,
}

impl Paths {
    fn new() -> Self {
        Self {
            gate: Arc::new(Semaphore::new(0)),
            running: Arc::default(),
            cancelled: Arc::new(Semaphore::new(0)),
        }
    }
}

struct Dropped(Paths);

impl Drop for Dropped {
    fn drop(&mut self) {
        self.0.cancelled.add_permits(1);
    }
}

fn body(pieces: Vec<Result<Bytes, Refusal>>) -> Body {
    Box::pin(stream::iter(pieces))
}

impl RequestHandler for Paths {
    async fn handle(&self, head: RequestHead, sent: Bytes) -> Result<Response, RefusedRequest> {
        self.running.fetch_add(1, Ordering::SeqCst);
        match &*head.path {
            "/echo" => Ok(answer(Some(sent.len() as u64), body(vec![Ok(sent)]))),
            "/big" => {
                let big = Bytes::from(vec![b'x'; BIG_BYTES]);
                Ok(answer(Some(BIG_BYTES as u64), body(vec![Ok(big)])))
            }
            "/cut" => {
                let pieces = vec![Ok(sent), Err(Refusal::Cut)];
                Ok(answer(None, body(pieces)))
            }
            "/short" => Ok(answer(Some(9), body(vec![Ok(Bytes::from_static(b"half"))]))),
            _ => {
                let dropped = Dropped(self.clone());
                self.gate.acquire().await.unwrap().forget();
                std::mem::forget(dropped);
                Ok(answer(Some(sent.len() as u64), body(vec![Ok(sent)])))
            }
        }
    }
}

async fn read(answer: Response) -> Result<Bytes, Refusal> {
    let pieces: Vec<Bytes> = answer.body.try_collect().await?;
    Ok(Bytes::from(pieces.concat()))
}

#[tokio::test]
async fn answers_that_overtake_each_other_reach_their_own_callers() {
    let paths = Paths::new();
    let link = link(node(paths.clone(), CancellationToken::new()).await).await;
    let slow = tokio::spawn({
        let link = link.clone();
        async move {
            read(
                link.send_request(head("/wait"), Bytes::from("slow"))
                    .await
                    .unwrap(),
            )
            .await
        }
    });
    let quick = (0..100).map(|number| {
        let sent = Bytes::from(format!("quick {number}"));
        let run = link.send_request(head("/echo"), sent.clone());
        async move { assert_eq!(read(run.await.unwrap()).await, Ok(sent)) }
    });
    futures::future::join_all(quick).await;
    paths.gate.add_permits(1);
    assert_eq!(slow.await.unwrap(), Ok(Bytes::from("slow")));
}

#[tokio::test]
async fn a_slow_reader_holds_up_nobody_else() {
    let link = link(node(Paths::new(), CancellationToken::new()).await).await;
    let unread = link.send_request(head("/big"), Bytes::new()).await.unwrap();
    let echo = link
        .send_request(head("/echo"), Bytes::from("a"))
        .await
        .unwrap();
    assert_eq!(
        timeout(LIMIT, read(echo)).await.unwrap(),
        Ok(Bytes::from("a"))
    );
    let big = timeout(LIMIT, read(unread)).await.unwrap().unwrap();
    assert_eq!(big.len(), BIG_BYTES);
}

#[tokio::test]
async fn a_cut_answer_is_an_error_and_never_a_short_success() {
    let link = link(node(Paths::new(), CancellationToken::new()).await).await;
    for path in ["/cut", "/short"] {
        let answer = link
            .send_request(head(path), Bytes::from("half"))
            .await
            .unwrap();
        assert_eq!(read(answer).await, Err(Refusal::Cut), "{path}");
    }
}

#[tokio::test]
async fn a_caller_who_leaves_cancels_the_work() {
    let paths = Paths::new();
    let link = link(node(paths.clone(), CancellationToken::new()).await).await;
    let waiting = tokio::spawn({
        let link = link.clone();
        async move {
            link.send_request(head("/wait"), Bytes::new())
                .await
                .map(|_| ())
        }
    });
    while paths.running.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    let cancelled = timeout(LIMIT, paths.cancelled.acquire()).await;
    assert!(cancelled.is_ok());
    assert_eq!(link.in_flight(), 0);
}

#[tokio::test]
async fn a_leaving_node_finishes_its_work_and_takes_no_more() {
    let paths = Paths::new();
    let leaving = CancellationToken::new();
    let link = link(node(paths.clone(), leaving.clone()).await).await;
    let waiting = tokio::spawn({
        let link = link.clone();
        async move {
            read(
                link.send_request(head("/wait"), Bytes::from("mine"))
                    .await
                    .unwrap(),
            )
            .await
        }
    });
    while paths.running.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    leaving.cancel();
    let refused = link
        .send_request(head("/echo"), Bytes::new())
        .await
        .err()
        .unwrap();
    assert_eq!(
        (refused.refusal, refused.outcome),
        (Refusal::Leaving, Outcome::NotRun)
    );
    paths.gate.add_permits(1);
    assert_eq!(waiting.await.unwrap(), Ok(Bytes::from("mine")));
    assert_eq!(paths.running.load(Ordering::SeqCst), 1);
    while !link.is_closed() {
        let refused = link
            .send_request(head("/echo"), Bytes::new())
            .await
            .err()
            .unwrap();
        assert_eq!(refused.outcome, Outcome::NotRun);
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
}

#[tokio::test]
async fn nodes_of_another_account_or_name_are_not_talked_to() {
    let address = node(Paths::new(), CancellationToken::new()).await;
    let stranger = hello("entry", "lenha-viva");
    let refused = Connection::connect(&stranger, &name("target"), address, LIMIT).await;
    assert!(matches!(refused.err(), Some(Error::AccountMismatch { .. })));
    let ours = hello("entry", "sutkent");
    let refused = Connection::connect(&ours, &name("other"), address, LIMIT).await;
    assert!(matches!(refused.err(), Some(Error::NodeMismatch { .. })));
}

#[tokio::test]
async fn a_node_that_cannot_be_reached_gives_a_refusal_that_is_not_run() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(hello("entry", "sutkent"));
    let peer = Peer {
        id: name("target"),
        address,
    };
    let refused = pool
        .send_request(&peer, head("/echo"), Bytes::new())
        .await
        .err()
        .unwrap();
    assert_eq!(
        (refused.refusal, refused.outcome),
        (Refusal::NotSent, Outcome::NotRun)
    );
}

#[tokio::test]
async fn callers_who_wait_for_a_silent_node_share_one_attempt_to_connect() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer {
        id: name("target"),
        address: listener.local_addr().unwrap(),
    };
    let pool = Pool::new(hello("entry", "sutkent"));
    let impatient = (0..20).map(|_| {
        let mut head = head("/echo");
        head.time_left = Millis(50);
        pool.send_request(&peer, head, Bytes::new())
    });
    for result in futures::future::join_all(impatient).await {
        assert_eq!(result.err().unwrap().refusal, Refusal::NotSent);
    }
    let mut connections = 0;
    while let Some(Ok(_)) = listener.accept().now_or_never() {
        connections += 1;
    }
    assert_eq!(connections, 1);
}

#[tokio::test]
async fn a_slow_answer_on_a_connection_that_was_idle_for_long_is_waited_for() {
    const IDLE: Duration = Duration::from_millis(6_500);
    const SLOW: Duration = Duration::from_millis(3_000);
    let paths = Paths::new();
    let link = link(node(paths.clone(), CancellationToken::new()).await).await;
    let first = link
        .send_request(head("/echo"), Bytes::from("first"))
        .await
        .unwrap();
    assert_eq!(read(first).await, Ok(Bytes::from("first")));
    tokio::time::sleep(IDLE).await;
    let slow =
        tokio::spawn(async move { link.send_request(head("/wait"), Bytes::from("slow")).await });
    tokio::time::sleep(SLOW).await;
    paths.gate.add_permits(1);
    let answer = slow.await.unwrap().map_err(|refused| refused.refusal);
    assert_eq!(read(answer.unwrap()).await, Ok(Bytes::from("slow")));
}
