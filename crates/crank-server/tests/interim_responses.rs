//! Backend servers that send interim responses: some are skipped, too many end the connection.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::call::{Refusal, RequestHead};
use crank_protocol::config::{Importance, Method, Version};
use crank_protocol::{Millis, Name};
use crank_server::Forwarder;
use futures::TryStreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

const TIME_LEFT: Millis = Millis(20_000);
/// The time within which a request must be given up: far less than its deadline.
const GIVE_UP_TIME: Duration = Duration::from_secs(10);
/// The most interim responses of one answer, as the operators' page states them.
const MAX_INTERIM_RESPONSES: usize = 64;
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn head() -> RequestHead {
    RequestHead {
        request_id: 0x1f,
        service: Name::new("recipes").unwrap(),
        method: Method::Post,
        path: "/a".into(),
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

async fn send(forwarder: &Forwarder, address: SocketAddr) -> Result<Bytes, Refusal> {
    let head = head();
    let sent = forwarder.send_request(address, &head, Bytes::new(), TIME_LEFT);
    let response = sent.await?;
    let chunks: Vec<Bytes> = response.body.try_collect().await?;
    Ok(Bytes::from(chunks.concat()))
}

/// Starts a server that answers each request on its first connection with `count` interim responses
/// and the answer, in one piece. The receiver is told when that connection has ended.
async fn start_server(count: usize) -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (ended, has_ended) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut read = vec![0; 4_096];
        let answer = format!("{}{ANSWER}", INTERIM.repeat(count));
        while stream.read(&mut read).await.is_ok_and(|length| length > 0) {
            let _ = stream.write_all(answer.as_bytes()).await;
        }
        let _ = ended.send(());
    });
    (address, has_ended)
}

// The count starts anew with each request of a connection.
#[tokio::test]
async fn as_many_interim_responses_as_allowed_are_skipped_before_each_answer() {
    let (address, _has_ended) = start_server(MAX_INTERIM_RESPONSES).await;
    let forwarder = Forwarder::new();
    for _ in 0..3 {
        assert_eq!(send(&forwarder, address).await, Ok("ok".into()));
    }
}

#[tokio::test]
async fn an_answer_behind_more_interim_responses_is_lost_and_its_connection_ends() {
    let (address, has_ended) = start_server(MAX_INTERIM_RESPONSES + 1).await;
    let sent = send(&Forwarder::new(), address).await;
    assert_eq!(sent, Err(Refusal::Lost));
    timeout(GIVE_UP_TIME, has_ended).await.unwrap().unwrap();
}

// Guards against a bound on bytes alone: so few bytes reach it only after the deadline.
#[tokio::test]
async fn interim_responses_in_small_pieces_are_given_up_long_before_the_deadline() {
    const PAUSE: Duration = Duration::from_millis(5);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut vec![0; 4_096]).await;
        while stream.write_all(INTERIM.as_bytes()).await.is_ok() {
            sleep(PAUSE).await;
        }
    });
    let sent = timeout(GIVE_UP_TIME, send(&Forwarder::new(), address)).await;
    assert_eq!(sent.unwrap(), Err(Refusal::Lost));
}
