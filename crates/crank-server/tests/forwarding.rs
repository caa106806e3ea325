//! Requests to a backend server: what is sent, and which refusal each kind of failure gives.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Header, Refusal, RequestHead, Response};
use crank_protocol::config::{Importance, Method, Version};
use crank_protocol::{HttpDialect, Millis, Name, Permille};
use crank_server::Forwarder;
use futures::TryStreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TIME_LEFT: Millis = Millis(15_000);

/// Starts a backend server that answers the first request on each connection with fixed bytes and
/// closes the connection. Returns its address and the requests that it receives.
async fn backend(response: &'static str) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut read = vec![0; 4_096];
            let length = stream.read(&mut read).await.unwrap();
            let text = String::from_utf8_lossy(&read[..length]).into_owned();
            sender.send(text).unwrap();
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    });
    (address, requests)
}

fn head(method: Method, path: &str) -> RequestHead {
    RequestHead {
        request_id: 0x1f,
        service: Name::new("recipes").unwrap(),
        method,
        path: path.into(),
        headers: Vec::new(),
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

async fn read_body(response: Result<Response, Refusal>) -> Result<Bytes, Refusal> {
    let chunks: Vec<Bytes> = response?.body.try_collect().await?;
    Ok(Bytes::from(chunks.concat()))
}

async fn send(
    address: SocketAddr,
    head: &RequestHead,
    time_left: Millis,
) -> Result<Bytes, Refusal> {
    let forwarder = Forwarder::new();
    let response = forwarder
        .send_request(address, head, Bytes::new(), time_left)
        .await;
    read_body(response).await
}

#[tokio::test]
async fn the_request_is_sent_with_its_id_time_left_and_depth() {
    let (address, mut requests) = backend("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    let body = send(address, &head(Method::Post, "/a?b=c"), TIME_LEFT).await;
    assert_eq!(body, Ok(Bytes::from("ok")));
    let request = requests.recv().await.unwrap();
    assert!(request.starts_with("POST /a?b=c HTTP/1.1\r\n"), "{request}");
    for line in [
        "crank-request-id: 0000000000000000000000000000001f\r\n",
        "crank-timeout-ms: 15000\r\n",
        "crank-depth: 3\r\n",
    ] {
        assert!(request.contains(line), "{request}");
    }
}

#[tokio::test]
async fn truncated_responses_and_those_without_a_recognisable_end_are_errors() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf",
    ] {
        let (address, _requests) = backend(response).await;
        let body = send(address, &head(Method::Get, "/"), TIME_LEFT).await;
        assert_eq!(body, Err(Refusal::Cut), "{response}");
    }
}

#[tokio::test]
async fn responses_without_a_body_are_complete() {
    let (address, _requests) = backend("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n").await;
    let forwarder = Forwarder::new();
    let head = head(Method::Head, "/");
    let response = forwarder
        .send_request(address, &head, Bytes::new(), TIME_LEFT)
        .await;
    let response = response.map_err(|refusal| panic!("{refusal:?}")).unwrap();
    assert_eq!(response.head.length, Some(9));
    assert_eq!(read_body(Ok(response)).await, Ok(Bytes::new()));
}

#[tokio::test]
async fn refusals_say_not_run_only_if_that_is_certain() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let get = head(Method::Get, "/");
    assert_eq!(send(address, &get, TIME_LEFT).await, Err(Refusal::NotSent));
    let (address, _requests) = backend("").await;
    assert_eq!(send(address, &get, TIME_LEFT).await, Err(Refusal::Lost));
    let shed = "HTTP/1.1 503 Busy\r\ncrank-outcome: not-run\r\nretry-after: 2\r\n\
        content-length: 0\r\n\r\n";
    let (address, _requests) = backend(shed).await;
    let retry_after = Millis(2_000);
    assert_eq!(
        send(address, &get, TIME_LEFT).await,
        Err(Refusal::Overloaded { retry_after })
    );
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap();
    assert_eq!(
        send(address, &get, Millis(50)).await,
        Err(Refusal::TimedOut)
    );
}

#[tokio::test]
async fn a_path_with_dot_segments_is_not_sent() {
    let (address, mut requests) = backend("").await;
    let sent = send(address, &head(Method::Get, "/public/../private"), TIME_LEFT).await;
    assert!(matches!(sent, Err(Refusal::BadRequest { .. })));
    assert!(requests.try_recv().is_err());
}

fn dialect() -> HttpDialect {
    let header = |text: &str| Some(Arc::from(text));
    HttpDialect {
        request_id_header: Arc::from("x-id"),
        timeout_header: Arc::from("x-left"),
        expected_instance_header: header("x-server"),
        instance_id_header: header("x-instance"),
        calling_service_header: None,
        load_header: header("x-load"),
        not_run_header: header("x-not-run"),
        signature_header: header("x-signature"),
        echoes_request_id: true,
        allows_close_delimited: true,
        fractional_retry_after: true,
        ..HttpDialect::default()
    }
}

async fn send_with_id(address: SocketAddr) -> Result<Bytes, Refusal> {
    let forwarder = Forwarder::new().with_dialect(Arc::new(dialect()));
    let mut head = head(Method::Get, "/a");
    head.headers.push(Header {
        name: Arc::from("x-id"),
        value: b"7f3a".to_vec(),
    });
    read_body(
        forwarder
            .send_request(address, &head, Bytes::new(), TIME_LEFT)
            .await,
    )
    .await
}

#[tokio::test]
async fn only_a_signed_response_to_the_same_request_is_forwarded() {
    let whole = "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok";
    let (address, mut requests) = backend(whole).await;
    assert_eq!(send_with_id(address).await, Ok(Bytes::from("ok")));
    let request = requests.recv().await.unwrap();
    assert!(request.contains("x-id: 7f3a\r\n"), "{request}");
    for invalid in [
        "HTTP/1.1 200 OK\r\nx-id: 0000\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok",
        "no answer at all\r\n\r\n",
    ] {
        let (address, _requests) = backend(invalid).await;
        assert_eq!(send_with_id(address).await, Err(Refusal::Lost), "{invalid}");
    }
}

#[tokio::test]
async fn a_request_that_the_server_has_not_run_is_refused_as_not_run() {
    for (response, refusal) in [
        (
            "HTTP/1.1 429 Busy\r\nx-id: 7f3a\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
            Refusal::Overloaded {
                retry_after: Millis(100),
            },
        ),
        (
            "HTTP/1.1 421 Misdirected\r\nx-id: 7f3a\r\ncontent-length: 0\r\n\r\n",
            Refusal::Leaving,
        ),
    ] {
        let (address, _requests) = backend(response).await;
        assert_eq!(send_with_id(address).await, Err(refusal));
    }
}

#[tokio::test]
async fn a_response_may_end_by_closing_the_connection_if_the_dialect_allows_it() {
    let response =
        "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\nconnection: close\r\n\r\nspoons";
    let (address, _requests) = backend(response).await;
    assert_eq!(send_with_id(address).await, Ok(Bytes::from("spoons")));
}

#[tokio::test]
async fn a_server_may_state_how_long_work_takes_there_now() {
    for (stated, slowdown) in [
        ("3, 0, 12, 250", Some(Permille(2_500))),
        ("3, 0, 12", None),
        ("3, 0, 12, soon", None),
    ] {
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\nx-load: {stated}\r\ncontent-length: 0\r\n\r\n"
        );
        let (address, _requests) = backend(Box::leak(response.into_boxed_str())).await;
        let forwarder = Forwarder::new().with_dialect(Arc::new(dialect()));
        let mut head = head(Method::Get, "/a");
        head.headers.push(Header {
            name: Arc::from("x-id"),
            value: b"7f3a".to_vec(),
        });
        let sent = forwarder.send_request(address, &head, Bytes::new(), TIME_LEFT);
        let load = sent.await.ok().unwrap().head.load;
        assert_eq!((load.slots, load.slowdown), (12, slowdown), "{stated}");
    }
}
