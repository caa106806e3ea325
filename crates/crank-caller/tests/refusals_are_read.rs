//! A refusal of a body that is not read whole reaches its caller, who still sends.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{AheadGateway, RunningEdge, TIMEOUT};
use crank_caller::MAX_BODY_BYTES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Four times what the node keeps in hand.
const LARGE_BODY_BYTES: usize = 4 * MAX_BODY_BYTES;

// The answer must not be overtaken by a reset, whose cause is bytes that nobody has read.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_read_by_a_caller_that_first_sends_its_whole_body() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut stream = TcpStream::connect(edge.address).await.unwrap();
    let head = format!("POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let piece = vec![b'x'; LARGE_BODY_BYTES / 64];
    for _ in 0..64 {
        stream.write_all(&piece).await.unwrap();
        sleep(Duration::from_millis(2)).await;
    }
    let mut answer = String::new();
    let reading = stream.read_to_string(&mut answer);
    timeout(TIMEOUT, reading).await.unwrap().unwrap();
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("crank-outcome: not-run"), "{answer}");
}

// A caller that goes on for ever does not keep its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_body_without_end_is_cut() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut stream = TcpStream::connect(edge.address).await.unwrap();
    let head = format!(
        "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        u32::MAX
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let endless = async {
        while stream.write_all(&[b'x'; 1_024]).await.is_ok() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, endless).await.unwrap();
}
