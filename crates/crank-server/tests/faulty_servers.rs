//! Backend servers that repeat an earlier refusal, swallow requests, or send bytes without end.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::call::{Header, Refusal, RequestHead};
use crank_protocol::config::{Importance, Method, Version};
use crank_protocol::{HttpDialect, Millis, Name};
use crank_server::Forwarder;
use futures::TryStreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

const TIME_LEFT: Millis = Millis(5_000);
/// The time within which a connection must be closed after its request has ended.
const CLOSE_TIME: Duration = Duration::from_secs(5);
const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok";
const REFUSAL: &str =
    "HTTP/1.1 503 Busy\r\nx-id: 7f3a\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const EARLIER_REFUSAL: &str =
    "HTTP/1.1 503 Busy\r\nx-id: 0001\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

fn forwarder() -> Forwarder {
    let header = |text: &str| Some(Arc::from(text));
    Forwarder::new().with_dialect(Arc::new(HttpDialect {
        request_id_header: Arc::from("x-id"),
        not_run_header: header("x-not-run"),
        signature_header: header("x-signature"),
        echoes_request_id: true,
        allows_close_delimited: true,
        ..HttpDialect::default()
    }))
}

fn head(id: &str) -> RequestHead {
    RequestHead {
        request_id: 0x1f,
        service: Name::new("recipes").unwrap(),
        method: Method::Post,
        path: "/a".into(),
        headers: vec![Header {
            name: Arc::from("x-id"),
            value: id.as_bytes().to_vec(),
        }],
        time_left: TIME_LEFT,
        latency_target: None,
        may_queue: true,
        expected_run_time: None,
        expected_response_bytes: None,
        importance: Importance::Normal,
        idempotent: false,
        idempotency_key: None,
        depth: 2,
        version: Version(1),
        account: None,
        key_tag: None,
    }
}

async fn send(
    forwarder: &Forwarder,
    address: SocketAddr,
    time_left: Millis,
) -> Result<Bytes, Refusal> {
    send_with_id(forwarder, address, time_left, "7f3a").await
}

async fn send_with_id(
    forwarder: &Forwarder,
    address: SocketAddr,
    time_left: Millis,
    id: &str,
) -> Result<Bytes, Refusal> {
    let response = forwarder
        .send_request(address, &head(id), Bytes::new(), time_left)
        .await?;
    let chunks: Vec<Bytes> = response.body.try_collect().await?;
    Ok(Bytes::from(chunks.concat()))
}

/// Starts a server that writes `first` and, after a pause, `extra` to the first request on its first
/// connection, and answers every other request.
async fn server_with_extra_bytes(first: &'static str, extra: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(serve(stream, Some((first, extra))));
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, None));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, mut once: Option<(&'static str, &'static str)>) {
    let mut read = vec![0; 4_096];
    while stream.read(&mut read).await.is_ok_and(|length| length > 0) {
        let (response, extra) = once.take().unwrap_or((ANSWER, ""));
        let _ = stream.write_all(response.as_bytes()).await;
        sleep(Duration::from_millis(20)).await;
        let _ = stream.write_all(extra.as_bytes()).await;
    }
}

// The copy arrives where the answer to the next request on the connection is expected.
#[tokio::test]
async fn a_repeated_refusal_of_an_earlier_request_is_not_taken_for_the_next_answer() {
    for pause in [Duration::ZERO, Duration::from_millis(60)] {
        let address = server_with_extra_bytes(ANSWER, EARLIER_REFUSAL).await;
        let forwarder = forwarder();
        assert_eq!(send(&forwarder, address, TIME_LEFT).await, Ok("ok".into()));
        sleep(pause).await;
        let next = send(&forwarder, address, TIME_LEFT).await;
        let is_truthful = matches!(next, Ok(_) | Err(Refusal::Lost));
        assert!(is_truthful, "{next:?} after {pause:?}");
    }
}

// The same attempt may be sent to the same server again, so the id alone does not tell the copy.
#[tokio::test]
async fn a_connection_on_which_a_request_was_refused_is_not_used_again() {
    let address = server_with_extra_bytes(REFUSAL, REFUSAL).await;
    let forwarder = forwarder();
    let refused = send(&forwarder, address, TIME_LEFT).await;
    assert!(
        matches!(refused, Err(Refusal::Overloaded { .. })),
        "{refused:?}"
    );
    assert_eq!(send(&forwarder, address, TIME_LEFT).await, Ok("ok".into()));
}

/// Starts a server that answers the first request of its first connection and nothing after it there,
/// and every request on other connections.
async fn swallowing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let mut read = vec![0; 4_096];
            let _ = stream.read(&mut read).await;
            let _ = stream.write_all(ANSWER.as_bytes()).await;
            while stream.read(&mut read).await.is_ok_and(|length| length > 0) {}
        });
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, None));
        }
    });
    address
}

#[tokio::test]
async fn a_connection_on_which_a_request_was_swallowed_is_not_used_again() {
    let address = swallowing_server().await;
    let forwarder = forwarder();
    assert_eq!(send(&forwarder, address, TIME_LEFT).await, Ok("ok".into()));
    // The request may have run: the server has read it.
    let swallowed = send(&forwarder, address, Millis(100)).await;
    assert_eq!(swallowed, Err(Refusal::TimedOut));
    assert_eq!(send(&forwarder, address, TIME_LEFT).await, Ok("ok".into()));
}

// The copy has the first request's id, and arrives in two parts around the next request.
#[tokio::test]
async fn a_late_copy_in_two_parts_is_never_the_answer_to_the_next_request() {
    for cut in 0..ANSWER.len() {
        let (first, rest) = ANSWER.split_at(cut);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut read = vec![0; 4_096];
            let _ = stream.read(&mut read).await;
            let _ = stream.write_all(ANSWER.as_bytes()).await;
            let _ = stream.write_all(first.as_bytes()).await;
            let _ = stream.read(&mut read).await;
            let _ = stream.write_all(rest.as_bytes()).await;
            let (stream, _) = listener.accept().await.unwrap();
            serve(stream, None).await;
        });
        let forwarder = forwarder();
        assert_eq!(send(&forwarder, address, TIME_LEFT).await, Ok("ok".into()));
        let next = send_with_id(&forwarder, address, TIME_LEFT, "0002").await;
        assert!(next.is_err(), "{next:?} with a copy cut after {cut} bytes");
    }
}

// A short body must not look whole, nor a head that is cut off count as an answer.
#[tokio::test]
async fn an_answer_that_ends_after_any_of_its_bytes_is_never_a_success() {
    const LONG_ANSWER: &str = "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\ncontent-length: 12\r\n\r\nspoons, dozen";
    let whole = LONG_ANSWER.len() - 1;
    for cut in 0..whole {
        for is_reset in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut vec![0; 4_096]).await;
                let _ = stream.write_all(&LONG_ANSWER.as_bytes()[..cut]).await;
                if is_reset {
                    let _ = stream.set_zero_linger();
                }
            });
            let answer = send(&forwarder(), address, TIME_LEFT).await;
            assert!(answer.is_err(), "{answer:?} after {cut} bytes");
        }
    }
}

/// Starts a server that answers with `start`, then with `part` over and over. The receiver is told
/// when the connection is closed.
async fn endless_server(
    start: &'static str,
    part: &'static str,
) -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, is_closed) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut read = vec![0; 4_096];
        let _ = stream.read(&mut read).await;
        let _ = stream.write_all(start.as_bytes()).await;
        while stream.write_all(part.as_bytes()).await.is_ok() {}
        let _ = closed.send(());
    });
    (address, is_closed)
}

#[tokio::test]
async fn bytes_without_end_in_a_response_head_end_the_connection() {
    for (start, part) in [
        ("HTTP/1.1 200 OK\r\nx-long: ", "aaaaaaaaaaaaaaaa"),
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        ("", "no answer "),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ] {
        let (address, is_closed) = endless_server(start, part).await;
        let sent = send(&forwarder(), address, Millis(1_000)).await;
        let is_unknown = matches!(sent, Err(Refusal::Lost | Refusal::TimedOut));
        assert!(is_unknown, "{part}: {sent:?}");
        timeout(CLOSE_TIME, is_closed).await.unwrap().unwrap();
    }
}

// Guards against waiting until the deadline for a head that will not come.
#[tokio::test]
async fn interim_responses_and_chunk_sizes_without_end_are_given_up_before_the_deadline() {
    let signed =
        "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, part, refusal) in [
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n", Refusal::Lost),
        (signed, "0", Refusal::Cut),
    ] {
        let block = part.repeat(10_000).leak();
        let (address, is_closed) = endless_server(start, block).await;
        let sent = send(&forwarder(), address, TIME_LEFT).await;
        assert_eq!(sent, Err(refusal));
        timeout(CLOSE_TIME, is_closed).await.unwrap().unwrap();
    }
}

#[tokio::test]
async fn bytes_without_end_in_a_response_body_end_at_the_deadline() {
    let signed = "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\n";
    for (framing, part) in [
        ("transfer-encoding: chunked\r\n\r\n", "4\r\nmore\r\n"),
        ("connection: close\r\n\r\n", "more"),
        ("transfer-encoding: chunked\r\n\r\n4;", "extension"),
    ] {
        let start: &'static str = format!("{signed}{framing}").leak();
        let (address, is_closed) = endless_server(start, part).await;
        let sent = send(&forwarder(), address, Millis(1_000)).await;
        let is_cut = matches!(sent, Err(Refusal::Cut | Refusal::TimedOut));
        assert!(is_cut, "{framing}: {sent:?}");
        timeout(CLOSE_TIME, is_closed).await.unwrap().unwrap();
    }
}
