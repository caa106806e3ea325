//! What a backend server states in the headers of its answers reaches the tracker of its state, and
//! unreadable statements change nothing.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Header, RequestHead};
use crank_protocol::config::{Importance, Method, Version};
use crank_protocol::member::Stage;
use crank_protocol::{HttpDialect, Millis, Name, RequestRate};
use crank_server::{Forwarder, HeartbeatReport, HeartbeatTracker, ProcessStart};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIME_LEFT: Millis = Millis(9_000);

/// Starts a server that gives these answers, one on each connection.
async fn start_server(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut vec![0; 4_096]).await.unwrap();
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    address
}

fn answer(status: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-id: 7f3a\r\nx-signature: s\r\nx-instance: s1\r\nx-load: 1,0,6\r\n\
         {more}connection: close\r\ncontent-length: 0\r\n\r\n"
    )
}

fn dialect() -> HttpDialect {
    let header = |text: &str| Some(Arc::from(text));
    HttpDialect {
        request_id_header: Arc::from("x-id"),
        expected_instance_header: header("x-server"),
        instance_id_header: header("x-instance"),
        load_header: header("x-load"),
        rate_limit_header: header("x-limit"),
        leaving_header: header("x-leaving"),
        not_run_header: header("x-not-run"),
        signature_header: header("x-signature"),
        echoes_request_id: true,
        ..HttpDialect::default()
    }
}

fn tracker() -> HeartbeatTracker {
    let tracker = HeartbeatTracker::new(Millis(60_000));
    tracker.record_heartbeat(HeartbeatReport {
        service: Name::new("recipes").unwrap(),
        stage: Stage::Ready,
        slots: 6,
        address: ([127, 0, 0, 1], 8_080).into(),
        start: ProcessStart {
            server_id: Some("s1".into()),
            started_at_ms: Some(7),
            sequence: Some(1),
            release: None,
        },
    });
    tracker.confirm_ready("s1");
    tracker
}

fn head() -> RequestHead {
    let header = |name: &str, value: &str| Header {
        name: Arc::from(name),
        value: value.as_bytes().to_vec(),
    };
    RequestHead {
        request_id: 0x1f,
        service: Name::new("recipes").unwrap(),
        method: Method::Get,
        path: "/a".into(),
        headers: vec![header("x-id", "7f3a"), header("x-server", "s1")],
        time_left: TIME_LEFT,
        latency_target: None,
        may_queue: true,
        expected_run_time: None,
        expected_response_bytes: None,
        importance: Importance::Normal,
        idempotent: false,
        idempotency_key: None,
        depth: 0,
        version: Version(1),
        account: None,
        key_tag: None,
    }
}

/// Sends a request for each answer; returns the stated limit and the stage after each.
async fn states_after(answers: &[(&str, &str)]) -> Vec<(Option<RequestRate>, Stage)> {
    let texts = answers.iter().map(|(status, more)| answer(status, more));
    let address = start_server(texts.collect()).await;
    let tracker = tracker();
    let forwarder = Forwarder::new()
        .with_dialect(Arc::new(dialect()))
        .with_tracker(tracker.clone());
    let mut states = Vec::new();
    for _ in answers {
        let _ = forwarder
            .send_request(address, &head(), Bytes::new(), TIME_LEFT)
            .await;
        let stage = tracker.watch().borrow().as_ref().unwrap().endpoint.stage;
        states.push((*tracker.watch_rate().borrow(), stage));
    }
    states
}

#[tokio::test]
async fn a_limit_holds_until_a_whole_answer_states_none() {
    let limit = Some(RequestRate(17_300));
    for (status, more, expected) in [
        ("200 OK", "", None),
        ("200 OK", "x-limit: 4\r\n", Some(RequestRate(4_000))),
        ("200 OK", "x-limit: many\r\n", limit),
        ("200 OK", "x-limit: -1\r\n", limit),
        ("200 OK", "x-limit: inf\r\n", limit),
        ("500 Error", "", limit),
        ("503 Full", "x-not-run: 1\r\n", limit),
        ("421 Other", "x-limit: 4\r\n", limit),
    ] {
        let answers = [("200 OK", "x-limit: 17.3\r\n"), (status, more)];
        let states = states_after(&answers).await;
        assert_eq!(states[0], (limit, Stage::Ready));
        assert_eq!(states[1], (expected, Stage::Ready), "{status} {more}");
    }
}

#[tokio::test]
async fn failures_and_refusals_state_a_limit_too() {
    for (status, more) in [
        ("500 Error", "x-limit: 3\r\n"),
        ("503 Full", "x-not-run: 1\r\nx-limit: 3\r\n"),
        ("429 Full", "x-not-run: 1\r\nx-limit: 3\r\n"),
    ] {
        let states = states_after(&[(status, more)]).await;
        assert_eq!(
            states[0],
            (Some(RequestRate(3_000)), Stage::Ready),
            "{status}"
        );
    }
}

#[tokio::test]
async fn a_server_that_states_that_it_leaves_counts_as_draining() {
    for (status, more, expected) in [
        ("200 OK", "x-leaving: 1\r\n", Stage::Draining),
        ("500 Error", "x-leaving: 1\r\n", Stage::Draining),
        (
            "503 Full",
            "x-not-run: 1\r\nx-leaving: 1\r\n",
            Stage::Draining,
        ),
        ("200 OK", "x-leaving: 0\r\n", Stage::Ready),
        ("421 Other", "x-leaving: 1\r\n", Stage::Ready),
    ] {
        let states = states_after(&[(status, more)]).await;
        assert_eq!(states[0].1, expected, "{status} {more}");
    }
}

#[tokio::test]
async fn a_health_check_of_a_server_that_leaves_fails() {
    for (more, expected) in [("", true), ("x-leaving: 1\r\n", false)] {
        let address = start_server(vec![answer("200 OK", more)]).await;
        let forwarder = Forwarder::new().with_dialect(Arc::new(dialect()));
        let health = forwarder.check_health(address, "/health", TIME_LEFT).await;
        assert_eq!(health.is_some(), expected, "{more}");
    }
}
