//! Requests that a caller sends on a connection before the first has been answered.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{AheadGateway, Answer, RunningEdge, TIMEOUT};
use crank_caller::{MAX_REQUESTS_AHEAD, MAX_STARTED_AHEAD};

use tokio::time::{sleep, timeout};

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

fn pipelined(paths: &[&str]) -> Vec<u8> {
    paths
        .iter()
        .map(|path| get(path))
        .collect::<String>()
        .into_bytes()
}

fn paths(answers: &[Answer]) -> Vec<&str> {
    answers.iter().map(|answer| &*answer.body).collect()
}

// Each call waits for all the others: run one after the other, none of them ended.
#[tokio::test]
async fn safe_requests_sent_ahead_run_at_the_same_time_and_are_answered_in_their_order() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    client
        .send(&pipelined(&[
            "/safe/wait/0",
            "/safe/wait/1",
            "/safe/wait/2",
            "/safe/wait/3",
        ]))
        .await;
    edge.gateway.wait_until_running(4).await;
    edge.gateway.release(4);
    let answers = client.read_answers(4).await;
    let expected = [
        "/safe/wait/0",
        "/safe/wait/1",
        "/safe/wait/2",
        "/safe/wait/3",
    ];
    assert_eq!(paths(&answers), expected);
    assert_eq!(edge.gateway.events(), [3, 3, 0]);
}

#[tokio::test]
async fn a_later_answer_that_is_ready_first_waits_for_its_turn() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    client
        .send(&pipelined(&[
            "/safe/wait/0",
            "/safe/large/40000",
            "/safe/now",
        ]))
        .await;
    edge.gateway.wait_until_ended("/safe/now").await;
    edge.gateway.release(1);
    let answers = client.read_answers(3).await;
    assert_eq!(answers[0].body, "/safe/wait/0");
    assert_eq!(answers[1].body.len(), 40_000);
    assert_eq!(answers[2].body, "/safe/now");
}

#[tokio::test]
async fn no_more_requests_run_before_their_turn_than_the_bound_allows() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    let count = MAX_REQUESTS_AHEAD + 4;
    let all = vec!["/safe/wait"; count];
    client.send(&pipelined(&all)).await;
    edge.gateway
        .wait_until_running(MAX_REQUESTS_AHEAD + 1)
        .await;
    sleep(SETTLING_TIME).await;
    assert_eq!(edge.gateway.running(), MAX_REQUESTS_AHEAD + 1);
    edge.gateway.release(count);
    assert_eq!(client.read_answers(count).await.len(), count);
}

/// Time for something to happen that must not.
const SETTLING_TIME: Duration = Duration::from_millis(200);

#[tokio::test]
async fn all_connections_together_start_no_more_than_the_node_allows() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let connections = MAX_STARTED_AHEAD / MAX_REQUESTS_AHEAD + 3;
    let mut clients = Vec::new();
    for _ in 0..connections {
        let mut client = edge.connect().await;
        client
            .send(&pipelined(&["/safe/wait"; MAX_REQUESTS_AHEAD + 1]))
            .await;
        clients.push(client);
    }
    let expected = connections + MAX_STARTED_AHEAD;
    edge.gateway.wait_until_running(expected).await;
    sleep(SETTLING_TIME).await;
    assert_eq!(edge.gateway.running(), expected);
    edge.gateway.release(connections * (MAX_REQUESTS_AHEAD + 1));
    for client in &mut clients {
        let answers = client.read_answers(MAX_REQUESTS_AHEAD + 1).await;
        assert_eq!(answers.len(), MAX_REQUESTS_AHEAD + 1);
    }
}

#[tokio::test]
async fn an_unsafe_request_waits_for_those_before_it_and_those_behind_it_wait_for_it() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    let mut sent = pipelined(&["/safe/wait/0", "/safe/wait/1"]);
    sent.extend(b"POST /safe/wait/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
    sent.extend(pipelined(&["/safe/wait/3"]));
    client.send(&sent).await;
    edge.gateway.wait_until_running(2).await;
    sleep(SETTLING_TIME).await;
    assert_eq!(
        edge.gateway.started(),
        ["GET /safe/wait/0", "GET /safe/wait/1"]
    );
    edge.gateway.release(2);
    edge.gateway.wait_until_started(3).await;
    sleep(SETTLING_TIME).await;
    assert_eq!(edge.gateway.started().len(), 3);
    edge.gateway.release(2);
    assert_eq!(client.read_answers(4).await.len(), 4);
}

#[tokio::test]
async fn a_request_whose_route_is_not_idempotent_waits_for_its_turn() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    client
        .send(&pipelined(&["/safe/wait", "/unsafe/wait", "/safe/now"]))
        .await;
    edge.gateway.wait_until_running(1).await;
    sleep(SETTLING_TIME).await;
    assert_eq!(edge.gateway.started(), ["GET /safe/wait"]);
    edge.gateway.release(2);
    assert_eq!(client.read_answers(3).await.len(), 3);
    assert_eq!(edge.gateway.events(), [0, 0, 0]);
}

#[tokio::test]
async fn nothing_behind_a_request_that_closes_the_connection_is_passed_on() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    let mut sent = pipelined(&["/safe/wait/0"]);
    sent.extend(b"GET /safe/wait/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    sent.extend(pipelined(&["/safe/wait/2"]));
    client.send(&sent).await;
    edge.gateway.wait_until_running(1).await;
    edge.gateway.release(2);
    let answers = client.read_to_end().await;
    assert_eq!(paths(&answers), ["/safe/wait/0", "/safe/wait/1"]);
    assert_eq!(edge.gateway.started().len(), 2);
}

// The bytes of the second request in the HTTP library's buffer hid that the caller had left.
#[tokio::test]
async fn a_caller_that_leaves_cancels_all_of_its_requests() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    client.send(&pipelined(&["/safe/wait"; 3])).await;
    edge.gateway.wait_until_running(3).await;
    drop(client);
    edge.gateway.wait_until_cancelled(3).await;
    assert_eq!(edge.gateway.events(), [2, 0, 2]);
}

#[tokio::test]
async fn a_caller_that_leaves_while_an_unsafe_request_waits_cancels_the_running_one() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    client
        .send(&pipelined(&["/unsafe/wait", "/unsafe/wait"]))
        .await;
    edge.gateway.wait_until_running(1).await;
    drop(client);
    edge.gateway.wait_until_cancelled(1).await;
    sleep(SETTLING_TIME).await;
    assert_eq!(edge.gateway.started().len(), 1);
}

// The broken answer closed the connection, and those that had run behind it were lost.
#[tokio::test]
async fn a_small_answer_that_breaks_off_is_a_failure_and_those_behind_it_are_answered() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    let sent = [
        "/safe/broken/9",
        "/safe/wait",
        "/safe/broken/9",
        "/safe/wait",
    ];
    client.send(&pipelined(&sent)).await;
    edge.gateway.wait_until_running(2).await;
    edge.gateway.release(2);
    edge.gateway.release_broken(2);
    let answers = client.read_answers(4).await;
    let statuses: Vec<_> = answers.iter().map(|answer| &*answer.status).collect();
    assert_eq!(statuses, ["502", "200", "502", "200"]);
}

#[tokio::test]
async fn a_large_answer_that_breaks_off_cancels_those_behind_it() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    let sent = ["/safe/broken/200000", "/safe/wait", "/safe/wait"];
    client.send(&pipelined(&sent)).await;
    edge.gateway.wait_until_running(3).await;
    edge.gateway.release_broken(1);
    edge.gateway.wait_until_cancelled(2).await;
    assert!(client.read_to_end().await.is_empty());
}

#[tokio::test]
async fn a_planned_stop_answers_what_was_started_and_closes_behind_it() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    client
        .send(&pipelined(&[
            "/safe/wait/0",
            "/safe/wait/1",
            "/safe/wait/2",
        ]))
        .await;
    edge.gateway.wait_until_running(3).await;
    edge.leaving.cancel();
    sleep(SETTLING_TIME).await;
    client.send(&pipelined(&["/safe/wait/3"])).await;
    sleep(SETTLING_TIME).await;
    edge.gateway.release(3);
    let answers = client.read_to_end().await;
    assert_eq!(
        paths(&answers),
        ["/safe/wait/0", "/safe/wait/1", "/safe/wait/2"]
    );
    let closes: Vec<_> = answers.iter().map(|answer| answer.closes).collect();
    assert_eq!(closes, [false, false, true]);
    assert_eq!(edge.gateway.started().len(), 3);
    assert!(timeout(TIMEOUT, edge.task).await.is_ok());
}

// Connections were told to close while calls that had been started on them waited for their turns.
#[tokio::test]
async fn what_was_started_is_answered_though_the_edge_closes_meanwhile() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    client
        .send(&pipelined(&[
            "/safe/wait/0",
            "/safe/wait/1",
            "/safe/wait/2",
        ]))
        .await;
    edge.gateway.wait_until_running(3).await;
    edge.leaving.cancel();
    edge.wait_until_closed().await;
    edge.gateway.release(3);
    let answers = client.read_to_end().await;
    assert_eq!(
        paths(&answers),
        ["/safe/wait/0", "/safe/wait/1", "/safe/wait/2"]
    );
    assert!(timeout(TIMEOUT, edge.task).await.is_ok());
}

#[tokio::test]
async fn bodies_that_are_too_large_to_be_held_wait_where_they_are() {
    let edge = RunningEdge::start(AheadGateway::default()).await;
    let mut client = edge.connect().await;
    client
        .send(&pipelined(&["/safe/wait", "/safe/endless"]))
        .await;
    edge.gateway.wait_until_running(1).await;
    sleep(SETTLING_TIME).await;
    let held = edge.gateway.pulled_bytes();
    assert!(
        held <= 2 * 32 * 1_024,
        "{held} bytes were pulled before their turn"
    );
    drop(client);
    edge.gateway.wait_until_cancelled(1).await;
}

#[tokio::test]
async fn an_edge_without_requests_ahead_runs_one_after_the_other() {
    let edge = RunningEdge::start_with(AheadGateway::default(), 0).await;
    let mut client = edge.connect().await;
    client.send(&pipelined(&["/safe/wait", "/safe/wait"])).await;
    edge.gateway.wait_until_running(1).await;
    sleep(SETTLING_TIME).await;
    assert_eq!(edge.gateway.running(), 1);
    edge.gateway.release(2);
    assert_eq!(client.read_answers(2).await.len(), 2);
}
