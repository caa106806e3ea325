//! A server sends a second copy of a response, broken off at any byte, right before the next one: the
//! next request gets the status and the body of its own response, or none.

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
use proptest::prelude::*;
use proptest::sample::subsequence;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const TIME_LEFT: Millis = Millis(5_000);
const FIRST_ID: &str = "7f3a";
const NEXT_ID: &str = "0002";
const HEADERS: [&str; 5] = [
    "date: Sat, 05 Dec 2026 12:00:00 GMT",
    "server: backend/1",
    "x-signature: 3e1b.07",
    "keep-alive: timeout=5",
    "via: HTTP/1.1 proxy",
];

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

/// What a caller is told: the status and the body.
type Told = Result<(u16, Bytes), Refusal>;

async fn send(forwarder: &Forwarder, address: SocketAddr, id: &str) -> Told {
    let head = head(id);
    let sent = forwarder.send_request(address, &head, Bytes::new(), TIME_LEFT);
    let response = sent.await?;
    let chunks: Vec<Bytes> = response.body.try_collect().await?;
    Ok((response.head.status, Bytes::from(chunks.concat())))
}

/// A response whose id stands after `id_at` of the other headers.
fn response(status: &str, id: &str, headers: &[&str], id_at: usize, body: &str) -> String {
    let mut lines: Vec<String> = headers.iter().map(|line| (*line).to_owned()).collect();
    lines.insert(id_at.min(lines.len()), format!("x-id: {id}"));
    lines.push(format!("content-length: {}", body.len()));
    format!("HTTP/1.1 {status}\r\n{}\r\n\r\n{body}", lines.join("\r\n"))
}

async fn serve(mut stream: TcpStream, responses: [String; 2]) {
    let mut read = vec![0; 4_096];
    for response in responses {
        let _ = stream.read(&mut read).await;
        let _ = stream.write_all(response.as_bytes()).await;
    }
    let _ = stream.read(&mut read).await;
}

/// Sends two requests one after the other; on the first connection, the response to the second comes
/// after a part of a copy of the first one.
async fn told_after_a_copy(first: String, part: String, next: String) -> Told {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(serve(stream, [first, format!("{part}{next}")]));
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, [next.clone(), String::new()]));
        }
    });
    let forwarder = forwarder();
    assert!(send(&forwarder, address, FIRST_ID).await.is_ok());
    // The connection returns to the pool when the end of the response has been read.
    sleep(Duration::from_millis(1)).await;
    send(&forwarder, address, NEXT_ID).await
}

async fn check_every_cut(statuses: [&str; 2], headers: &[&str], id_at: usize) {
    let first = response(statuses[0], FIRST_ID, headers, id_at, "spoons");
    let next = response(statuses[1], NEXT_ID, headers, id_at, "a failure");
    let status = statuses[1][..3].parse().unwrap();
    for cut in 0..first.len() {
        let part = first[..cut].to_owned();
        let told = told_after_a_copy(first.clone(), part, next.clone()).await;
        match told {
            Ok(told) => assert_eq!(
                told,
                (status, Bytes::from("a failure")),
                "{:?}",
                &first[..cut]
            ),
            Err(refusal) => assert_eq!(refusal, Refusal::Lost, "{:?}", &first[..cut]),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against orders that failed at the server and were answered 200, and the reverse.
    #[test]
    fn a_copy_that_breaks_off_at_any_byte_does_not_change_the_status_of_the_next_response(
        headers in subsequence(HEADERS.to_vec(), 0..HEADERS.len()).prop_shuffle(),
        id_at in 0..HEADERS.len(),
        is_first_ok in any::<bool>(),
    ) {
        let statuses = if is_first_ok {
            ["200 OK", "500 Internal Server Error"]
        } else {
            ["500 Internal Server Error", "200 OK"]
        };
        let mut headers = headers;
        // A success without a signature is refused anyway.
        if !headers.contains(&HEADERS[2]) {
            headers.push(HEADERS[2]);
        }
        tokio::runtime::Runtime::new()
            .unwrap()
            .block_on(check_every_cut(statuses, &headers, id_at));
    }
}

#[tokio::test]
async fn a_header_that_names_a_protocol_version_is_passed_on() {
    for value in [
        "via: HTTP/1.1 proxy",
        "x-note: HTTP/1.1 2",
        "upgrade: HTTP/2.0",
    ] {
        let first = response("200 OK", FIRST_ID, &[value, HEADERS[2]], 0, "spoons");
        let next = response("200 OK", NEXT_ID, &[value, HEADERS[2]], 0, "forks");
        let told = told_after_a_copy(first, String::new(), next).await;
        assert_eq!(told, Ok((200, Bytes::from("forks"))), "{value}");
    }
}
