//! Connections whose callers are out of control end after an answer.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;

use common::{AheadGateway, RunningEdge, TIMEOUT};
use crank_caller::{Edge, MAX_KEPT_FIELDS, MAX_REQUESTS_AHEAD, MAX_WAITING_REQUESTS};
use crank_protocol::Name;
use crank_protocol::config::{Config, Owner, Snapshot, Stamp, Version};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const REQUEST: &str = "GET /safe/a HTTP/1.1\r\nhost: a\r\n\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_with_too_many_requests_ahead_ends_after_the_running_answer() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    let count = 4 * MAX_WAITING_REQUESTS;
    client.send(REQUEST.repeat(count).as_bytes()).await;
    let answers = client.read_to_end().await;
    assert!(answers.len() < count, "{} answers", answers.len());
    assert!(answers.last().is_none_or(|last| last.closes), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn as_many_requests_ahead_as_may_wait_are_all_answered() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    let count = MAX_WAITING_REQUESTS;
    client.send(REQUEST.repeat(count).as_bytes()).await;
    let answers = client.read_answers(count).await;
    assert!(
        answers
            .iter()
            .all(|answer| answer.status == "200" && !answer.closes)
    );
}

/// Starts an edge whose operator allows heads of 16 KiB.
async fn start_with_large_heads() -> std::net::SocketAddr {
    let name = Name::new("a").unwrap();
    let mut config = Config::new(Owner {
        name,
        notice_ends: None,
    });
    config.limits.header_bytes = Some(16_384);
    let stamp = Stamp {
        version: Version(1),
        digest: crank_engine::config::digest(&config),
    };
    let (_sender, config) = watch::channel(Some(Arc::new(Snapshot { stamp, config })));
    let edge = Edge::new(([127, 0, 0, 1], 0).into()).await.unwrap();
    let edge = edge
        .with_config(config)
        .with_requests_ahead(MAX_REQUESTS_AHEAD);
    let address = edge.address();
    tokio::spawn(edge.run(AheadGateway::default(), CancellationToken::new()));
    address
}

fn request_of_fields(count: usize) -> String {
    let fields: String = (1..count).map(|number| format!("f{number}:\r\n")).collect();
    format!("GET /safe/a HTTP/1.1\r\nhost: a\r\n{fields}\r\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_very_many_fields_is_answered_and_is_the_last_of_its_connection() {
    let address = start_with_large_heads().await;
    for (fields, ends) in [(MAX_KEPT_FIELDS, false), (MAX_KEPT_FIELDS + 1, true)] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = request_of_fields(fields);
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = vec![0; 4_096];
        let length = timeout(TIMEOUT, stream.read(&mut answer))
            .await
            .unwrap()
            .unwrap();
        let answer = String::from_utf8_lossy(&answer[..length]).to_lowercase();
        assert!(answer.starts_with("http/1.1 200"), "{answer}");
        assert_eq!(answer.contains("connection: close"), ends, "{answer}");
    }
}
