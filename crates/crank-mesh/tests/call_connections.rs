//! Tests that requests on a shared call connection do not affect each other.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{WAIT_TIMEOUT, connect, head, hello, name, response, start_server};
use crank_mesh::Error;
use crank_mesh::call::{Connection, FLOW_CONTROL_WINDOW_BYTES, Peer, Pool, RequestHandler};
use crank_protocol::Millis;
use crank_protocol::call::{Body, Outcome, Refusal, RefusedRequest, RequestHead, Response};
use futures::{FutureExt, TryStreamExt, stream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const BIG_BYTES: usize = 4 * FLOW_CONTROL_WINDOW_BYTES as usize;

/// A handler whose response depends on the path.
///
/// `/echo` returns the request body, `/big` a large body, `/cut` a truncated body, `/short` a body
/// shorter than its stated length; `/wait` waits for a permit of `gate`.
#[derive(Clone)]
struct PathHandler {
    gate: Arc<Semaphore>,
    /// The number of requests started so far.
    started: Arc<AtomicUsize>,
    /// Holds a permit for each cancelled request.
    cancelled: Arc<Semaphore>,
}

impl PathHandler {
    fn new() -> Self {
        Self {
            gate: Arc::new(Semaphore::new(0)),
            started: Arc::default(),
            cancelled: Arc::new(Semaphore::new(0)),
        }
    }
}

/// Counts a request as cancelled when dropped.
struct CancellationGuard(PathHandler);

impl Drop for CancellationGuard {
    fn drop(&mut self) {
        self.0.cancelled.add_permits(1);
    }
}

fn body(chunks: Vec<Result<Bytes, Refusal>>) -> Body {
    Box::pin(stream::iter(chunks))
}

impl RequestHandler for PathHandler {
    async fn handle(&self, head: RequestHead, sent: Bytes) -> Result<Response, RefusedRequest> {
        self.started.fetch_add(1, Ordering::SeqCst);
        match &*head.path {
            "/echo" => Ok(response(Some(sent.len() as u64), body(vec![Ok(sent)]))),
            "/big" => {
                let big = Bytes::from(vec![b'x'; BIG_BYTES]);
                Ok(response(Some(BIG_BYTES as u64), body(vec![Ok(big)])))
            }
            "/cut" => {
                let chunks = vec![Ok(sent), Err(Refusal::Cut)];
                Ok(response(None, body(chunks)))
            }
            path if path.starts_with("/status/") => {
                let mut odd = response(Some(0), body(Vec::new()));
                odd.head.status = path.rsplit('/').next().unwrap().parse().unwrap();
                Ok(odd)
            }
            "/short" => Ok(response(
                Some(9),
                body(vec![Ok(Bytes::from_static(b"half"))]),
            )),
            _ => {
                let guard = CancellationGuard(self.clone());
                self.gate.acquire().await.unwrap().forget();
                std::mem::forget(guard);
                Ok(response(Some(sent.len() as u64), body(vec![Ok(sent)])))
            }
        }
    }
}

async fn read(response: Response) -> Result<Bytes, Refusal> {
    let chunks: Vec<Bytes> = response.body.try_collect().await?;
    Ok(Bytes::from(chunks.concat()))
}

#[tokio::test]
async fn answers_that_overtake_each_other_reach_their_own_callers() {
    let handler = PathHandler::new();
    let connection = connect(start_server(handler.clone(), CancellationToken::new()).await).await;
    let slow = tokio::spawn({
        let connection = connection.clone();
        async move {
            read(
                connection
                    .send_request(head("/wait"), Bytes::from("slow"))
                    .await
                    .unwrap(),
            )
            .await
        }
    });
    let quick = (0..100).map(|number| {
        let sent = Bytes::from(format!("quick {number}"));
        let run = connection.send_request(head("/echo"), sent.clone());
        async move { assert_eq!(read(run.await.unwrap()).await, Ok(sent)) }
    });
    futures::future::join_all(quick).await;
    handler.gate.add_permits(1);
    assert_eq!(slow.await.unwrap(), Ok(Bytes::from("slow")));
}

// Guards against another node that passes on what its server sent in the place of a status.
#[tokio::test]
async fn a_response_without_a_final_status_is_lost_and_ends_no_other_attempt() {
    let handler = PathHandler::new();
    let connection = connect(start_server(handler.clone(), CancellationToken::new()).await).await;
    let waiting = connection.send_request(head("/wait"), Bytes::from("a"));
    let odd = async {
        for status in ["0", "1", "99", "100", "101", "199", "600", "999", "65535"] {
            let path = format!("/status/{status}");
            let sent = connection.send_request(head(&path), Bytes::new()).await;
            let refused = sent
                .err()
                .unwrap_or_else(|| panic!("{status} was answered"));
            assert_eq!(refused.refusal, Refusal::Lost, "{status}");
            assert_eq!(refused.outcome, Outcome::Unknown, "{status}");
        }
        handler.gate.add_permits(1);
    };
    let (waited, ()) = tokio::join!(waiting, odd);
    assert_eq!(read(waited.unwrap()).await, Ok(Bytes::from("a")));
}

#[tokio::test]
async fn a_slow_reader_does_not_block_other_attempts() {
    let connection =
        connect(start_server(PathHandler::new(), CancellationToken::new()).await).await;
    let unread = connection
        .send_request(head("/big"), Bytes::new())
        .await
        .unwrap();
    let echo = connection
        .send_request(head("/echo"), Bytes::from("a"))
        .await
        .unwrap();
    assert_eq!(
        timeout(WAIT_TIMEOUT, read(echo)).await.unwrap(),
        Ok(Bytes::from("a"))
    );
    let big = timeout(WAIT_TIMEOUT, read(unread)).await.unwrap().unwrap();
    assert_eq!(big.len(), BIG_BYTES);
}

#[tokio::test]
async fn a_cut_answer_is_an_error_and_never_a_short_success() {
    let connection =
        connect(start_server(PathHandler::new(), CancellationToken::new()).await).await;
    for path in ["/cut", "/short"] {
        let answer = connection
            .send_request(head(path), Bytes::from("half"))
            .await
            .unwrap();
        assert_eq!(read(answer).await, Err(Refusal::Cut), "{path}");
    }
}

#[tokio::test]
async fn a_caller_who_leaves_cancels_the_work() {
    let handler = PathHandler::new();
    let connection = connect(start_server(handler.clone(), CancellationToken::new()).await).await;
    let waiting = tokio::spawn({
        let connection = connection.clone();
        async move {
            connection
                .send_request(head("/wait"), Bytes::new())
                .await
                .map(|_| ())
        }
    });
    while handler.started.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    let cancelled = timeout(WAIT_TIMEOUT, handler.cancelled.acquire()).await;
    assert!(cancelled.is_ok());
    assert_eq!(connection.in_flight(), 0);
}

#[tokio::test]
async fn a_draining_node_finishes_requests_in_flight_and_refuses_new_ones() {
    let handler = PathHandler::new();
    let draining = CancellationToken::new();
    let connection = connect(start_server(handler.clone(), draining.clone()).await).await;
    let waiting = tokio::spawn({
        let connection = connection.clone();
        async move {
            read(
                connection
                    .send_request(head("/wait"), Bytes::from("mine"))
                    .await
                    .unwrap(),
            )
            .await
        }
    });
    while handler.started.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    draining.cancel();
    let refused = connection
        .send_request(head("/echo"), Bytes::new())
        .await
        .err()
        .unwrap();
    assert_eq!(
        (refused.refusal, refused.outcome),
        (Refusal::Leaving, Outcome::NotRun)
    );
    handler.gate.add_permits(1);
    assert_eq!(waiting.await.unwrap(), Ok(Bytes::from("mine")));
    assert_eq!(handler.started.load(Ordering::SeqCst), 1);
    while !connection.is_closed() {
        let refused = connection
            .send_request(head("/echo"), Bytes::new())
            .await
            .err()
            .unwrap();
        assert_eq!(refused.outcome, Outcome::NotRun);
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
}

#[tokio::test]
async fn connecting_to_a_node_of_another_account_or_name_fails() {
    let address = start_server(PathHandler::new(), CancellationToken::new()).await;
    let other_account = hello("entry", "lenha-viva");
    let refused = Connection::connect(&other_account, &name("target"), address, WAIT_TIMEOUT).await;
    assert!(matches!(refused.err(), Some(Error::AccountMismatch { .. })));
    let ours = hello("entry", "sutkent");
    let refused = Connection::connect(&ours, &name("other"), address, WAIT_TIMEOUT).await;
    assert!(matches!(refused.err(), Some(Error::NodeMismatch { .. })));
}

#[tokio::test]
async fn an_unreachable_node_gives_a_refusal_with_outcome_not_run() {
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
async fn callers_that_wait_for_an_unresponsive_node_share_one_connection_attempt() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer {
        id: name("target"),
        address: listener.local_addr().unwrap(),
    };
    let pool = Pool::new(hello("entry", "sutkent"));
    let short_calls = (0..20).map(|_| {
        let mut head = head("/echo");
        head.time_left = Millis(50);
        pool.send_request(&peer, head, Bytes::new())
    });
    for result in futures::future::join_all(short_calls).await {
        assert_eq!(result.err().unwrap().refusal, Refusal::NotSent);
    }
    let mut connections = 0;
    while let Some(Ok(_)) = listener.accept().now_or_never() {
        connections += 1;
    }
    assert_eq!(connections, 1);
}

/// Guards against closing a connection as dead because it was idle: the time without frames counted
/// before any ping was sent, so that a slow response after a long idle time was lost.
#[tokio::test]
async fn a_slow_answer_on_a_connection_that_was_idle_for_long_is_waited_for() {
    const IDLE: Duration = Duration::from_millis(6_500);
    const SLOW: Duration = Duration::from_millis(3_000);
    let handler = PathHandler::new();
    let connection = connect(start_server(handler.clone(), CancellationToken::new()).await).await;
    let first = connection
        .send_request(head("/echo"), Bytes::from("first"))
        .await
        .unwrap();
    assert_eq!(read(first).await, Ok(Bytes::from("first")));
    tokio::time::sleep(IDLE).await;
    let slow = tokio::spawn(async move {
        connection
            .send_request(head("/wait"), Bytes::from("slow"))
            .await
    });
    tokio::time::sleep(SLOW).await;
    handler.gate.add_permits(1);
    let answer = slow.await.unwrap().map_err(|refused| refused.refusal);
    assert_eq!(read(answer.unwrap()).await, Ok(Bytes::from("slow")));
}
