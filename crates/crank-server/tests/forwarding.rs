//! What is certain about a request that went to a backend server.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Header, Refusal, RequestHead, Response};
use crank_protocol::config::{Importance, Method, Version};
use crank_protocol::{HttpDialect, Millis, Name};
use crank_server::Forwarder;
use futures::TryStreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TIME: Millis = Millis(15_000);

/// A backend server that answers each connection's first request with fixed bytes and closes.
async fn backend(answer: &'static str) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
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
            stream.write_all(answer.as_bytes()).await.unwrap();
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
        time_left: TIME,
        latency_target: None,
        may_queue: true,
        expected_run_time: None,
        importance: Importance::Normal,
        idempotent: false,
        idempotency_key: None,
        depth: 2,
        version: Version(1),
    }
}

async fn read(answer: Result<Response, Refusal>) -> Result<Bytes, Refusal> {
    let pieces: Vec<Bytes> = answer?.body.try_collect().await?;
    Ok(Bytes::from(pieces.concat()))
}

async fn send(
    address: SocketAddr,
    head: &RequestHead,
    time_left: Millis,
) -> Result<Bytes, Refusal> {
    let forwarder = Forwarder::new();
    let answer = forwarder.run(address, head, Bytes::new(), time_left).await;
    read(answer).await
}

#[tokio::test]
async fn a_backend_server_is_told_the_request_its_deadline_and_its_depth() {
    let (address, mut requests) = backend("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    let body = send(address, &head(Method::Post, "/a?b=c"), TIME).await;
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
async fn answers_whose_end_is_cut_or_cannot_be_known_are_errors() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf",
    ] {
        let (address, _requests) = backend(answer).await;
        let body = send(address, &head(Method::Get, "/"), TIME).await;
        assert_eq!(body, Err(Refusal::Cut), "{answer}");
    }
}

#[tokio::test]
async fn answers_without_a_body_are_whole() {
    let (address, _requests) = backend("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n").await;
    let forwarder = Forwarder::new();
    let head = head(Method::Head, "/");
    let answer = forwarder.run(address, &head, Bytes::new(), TIME).await;
    let answer = answer.map_err(|refusal| panic!("{refusal:?}")).unwrap();
    assert_eq!(answer.head.length, Some(9));
    assert_eq!(read(Ok(answer)).await, Ok(Bytes::new()));
}

#[tokio::test]
async fn only_what_was_certainly_not_run_is_called_so() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let get = head(Method::Get, "/");
    assert_eq!(send(address, &get, TIME).await, Err(Refusal::NotSent));
    let (address, _requests) = backend("").await;
    assert_eq!(send(address, &get, TIME).await, Err(Refusal::Lost));
    let shed = "HTTP/1.1 503 Busy\r\ncrank-outcome: not-run\r\nretry-after: 2\r\n\
        content-length: 0\r\n\r\n";
    let (address, _requests) = backend(shed).await;
    let retry_after = Millis(2_000);
    assert_eq!(
        send(address, &get, TIME).await,
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
async fn a_path_that_would_be_rewritten_is_not_sent() {
    let (address, mut requests) = backend("").await;
    let sent = send(address, &head(Method::Get, "/public/../private"), TIME).await;
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
    }
}

async fn send_with_id(address: SocketAddr) -> Result<Bytes, Refusal> {
    let forwarder = Forwarder::new().with_dialect(Arc::new(dialect()));
    let mut head = head(Method::Get, "/a");
    head.headers.push(Header {
        name: Arc::from("x-id"),
        value: b"7f3a".to_vec(),
    });
    read(forwarder.run(address, &head, Bytes::new(), TIME).await).await
}

#[tokio::test]
async fn only_a_signed_answer_to_the_same_request_is_passed_on() {
    let whole = "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok";
    let (address, mut requests) = backend(whole).await;
    assert_eq!(send_with_id(address).await, Ok(Bytes::from("ok")));
    let request = requests.recv().await.unwrap();
    assert!(request.contains("x-id: 7f3a\r\n"), "{request}");
    for doubtful in [
        "HTTP/1.1 200 OK\r\nx-id: 0000\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok",
        "no answer at all\r\n\r\n",
    ] {
        let (address, _requests) = backend(doubtful).await;
        assert_eq!(
            send_with_id(address).await,
            Err(Refusal::Lost),
            "{doubtful}"
        );
    }
}

#[tokio::test]
async fn what_a_server_says_it_has_not_run_is_called_so() {
    for (answer, refusal) in [
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
        let (address, _requests) = backend(answer).await;
        assert_eq!(send_with_id(address).await, Err(refusal));
    }
}

#[tokio::test]
async fn an_answer_may_end_with_its_connection_where_that_is_the_custom() {
    let answer =
        "HTTP/1.1 200 OK\r\nx-id: 7f3a\r\nx-signature: s\r\nconnection: close\r\n\r\nspoons";
    let (address, _requests) = backend(answer).await;
    assert_eq!(send_with_id(address).await, Ok(Bytes::from("spoons")));
}
