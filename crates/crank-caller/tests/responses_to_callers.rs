//! The HTTP edge as callers see it.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_caller::{Edge, Gateway, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crank_protocol::Millis;
use crank_protocol::call::{
    Body, Header, Load, Outcome, Refusal, RefusedRequest, Request, Response, ResponseHead,
};
use futures::{StreamExt, stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway that answers by path. A request to `/wait` adds a permit to `started`, waits for one
/// from `gate`, and adds one to `dropped` if its future is dropped before.
#[derive(Clone)]
struct TestGateway {
    started: Arc<Semaphore>,
    dropped: Arc<Semaphore>,
    gate: Arc<Semaphore>,
}

struct DropGuard(Arc<Semaphore>);

impl Drop for DropGuard {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

fn response(length: Option<u64>, body: Body) -> Response {
    let header = Header {
        name: "x-mark".into(),
        value: b"kept".to_vec(),
    };
    let head = ResponseHead {
        status: 200,
        headers: vec![header],
        length,
        load: Load::default(),
    };
    Response { head, body }
}

fn body(chunks: Vec<Result<Bytes, Refusal>>) -> Body {
    Box::pin(stream::iter(chunks))
}

fn refused(refusal: Refusal, outcome: Outcome) -> RefusedRequest {
    RefusedRequest {
        refusal,
        outcome,
        load: None,
        reached: outcome != Outcome::NotRun,
    }
}

fn half() -> Result<Bytes, Refusal> {
    Ok(Bytes::from_static(b"half"))
}

impl Gateway for TestGateway {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        match &*request.path {
            "/headers" => {
                let names = request.headers.iter().map(|header| header.name.to_string());
                let names = Bytes::from(names.collect::<Vec<_>>().join(" "));
                Ok(response(None, body(vec![Ok(names)])))
            }
            "/short" => Ok(response(Some(8), body(vec![half()]))),
            "/long" => Ok(response(Some(4), body(vec![half(), half()]))),
            "/cut" => Ok(response(None, body(vec![half(), Err(Refusal::Cut)]))),
            "/busy" => {
                let retry_after = Millis(1_200);
                Err(refused(
                    Refusal::Overloaded { retry_after },
                    Outcome::NotRun,
                ))
            }
            path if path.starts_with("/status/") => {
                let mut response = response(Some(4), body(vec![half()]));
                response.head.status = path.rsplit('/').next().unwrap().parse().unwrap();
                Ok(response)
            }
            "/lost" => Err(refused(Refusal::Lost, Outcome::Unknown)),
            "/wait" => {
                let guard = DropGuard(self.dropped.clone());
                self.started.add_permits(1);
                self.gate.acquire().await.unwrap().forget();
                std::mem::forget(guard);
                Ok(response(Some(4), body(vec![half()])))
            }
            _ => {
                let length = request.body.len() as u64;
                Ok(response(Some(length), body(vec![Ok(request.body)])))
            }
        }
    }
}

struct RunningEdge {
    address: SocketAddr,
    gateway: TestGateway,
    leaving: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl RunningEdge {
    async fn start() -> Self {
        let edge = Edge::new(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = edge.address();
        let gateway = TestGateway {
            started: Arc::new(Semaphore::new(0)),
            dropped: Arc::new(Semaphore::new(0)),
            gate: Arc::new(Semaphore::new(0)),
        };
        let leaving = CancellationToken::new();
        let task = tokio::spawn(edge.run(gateway.clone(), leaving.clone()));
        Self {
            address,
            gateway,
            leaving,
            task,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn get(&self, path: &str) -> reqwest::Response {
        reqwest::get(self.url(path)).await.unwrap()
    }

    /// Sends raw bytes and reads until the edge closes the connection.
    async fn send_raw(&self, request: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(request).await.unwrap();
        let mut read = Vec::new();
        let ended = timeout(TIMEOUT, stream.read_to_end(&mut read)).await;
        let _ = ended.unwrap();
        String::from_utf8(read).unwrap()
    }
}

#[tokio::test]
async fn responses_arrive_complete_with_their_headers() {
    let edge = RunningEdge::start().await;
    let client = reqwest::Client::new();
    let response = client
        .post(edge.url("/echo?a=1"))
        .body("spoons")
        .send()
        .await
        .unwrap();
    assert_eq!(response.headers()["crank-outcome"], "ran");
    assert_eq!(response.headers()["x-mark"], "kept");
    assert_eq!(response.text().await.unwrap(), "spoons");
}

#[tokio::test]
async fn responses_that_are_too_short_too_long_or_truncated_are_errors() {
    let edge = RunningEdge::start().await;
    for path in ["/short", "/long", "/cut"] {
        let response = reqwest::get(edge.url(path)).await;
        let body = match response {
            Ok(response) => response.bytes().await,
            Err(error) => Err(error),
        };
        assert!(body.is_err(), "{path}: {body:?}");
    }
}

// Guards against a gateway whose answer has a status that no answer may have: the caller must not get
// the answer's headers and body under another status.
#[tokio::test]
async fn a_response_without_a_final_status_is_replaced_by_a_refusal() {
    let edge = RunningEdge::start().await;
    for status in [0, 1, 99, 100, 101, 199, 600, 999, 65_535] {
        let request =
            format!("GET /status/{status} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let answer = edge.send_raw(request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{status}: {answer}");
        assert!(
            answer.contains("crank-outcome: unknown"),
            "{status}: {answer}"
        );
        assert!(!answer.contains("x-mark"), "{status}: {answer}");
        assert!(!answer.ends_with("half"), "{status}: {answer}");
    }
}

#[tokio::test]
async fn refusals_carry_outcome_refusal_and_retry_after() {
    let edge = RunningEdge::start().await;
    let busy = edge.get("/busy").await;
    assert_eq!(busy.status(), 503);
    assert_eq!(busy.headers()["crank-outcome"], "not-run");
    assert_eq!(busy.headers()["crank-refusal"], "overloaded");
    assert_eq!(busy.headers()["retry-after"], "2");
    let refusal_body: serde_json::Value = busy.json().await.unwrap();
    assert_eq!(refusal_body["retry_after_ms"], 1_200);
    let lost = edge.get("/lost").await;
    assert_eq!(lost.status(), 502);
    assert_eq!(lost.headers()["crank-outcome"], "unknown");
}

#[tokio::test]
async fn invalid_requests_are_refused_as_not_run() {
    let edge = RunningEdge::start().await;
    let client = reqwest::Client::new();
    let method = reqwest::Method::OPTIONS;
    let options = client
        .request(method, edge.url("/echo"))
        .send()
        .await
        .unwrap();
    assert_eq!(options.status(), 405);
    assert_eq!(options.headers()["crank-outcome"], "not-run");
    let head = format!(
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    let large = edge.send_raw(head.as_bytes()).await;
    assert!(large.starts_with("HTTP/1.1 413"), "{large}");
    let mut chunked =
        b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    write!(chunked, "{:x}\r\n", MAX_BODY_BYTES + 1).unwrap();
    chunked.resize(chunked.len() + MAX_BODY_BYTES + 1, b'x');
    let large = edge.send_raw(&chunked).await;
    assert!(large.contains("crank-outcome: not-run"), "{large}");
}

#[tokio::test]
async fn bodies_above_the_budget_are_refused_as_not_run_until_some_is_released() {
    let edge = RunningEdge::start().await;
    let client = reqwest::Client::new();
    let post = |path: &str| {
        let body = vec![b'x'; MAX_BODY_BYTES];
        client.post(edge.url(path)).body(body).send()
    };
    let bodies = MAX_BUFFERED_BODY_BYTES / MAX_BODY_BYTES;
    let waiting: Vec<_> = (0..bodies).map(|_| tokio::spawn(post("/wait"))).collect();
    let all = u32::try_from(bodies).unwrap();
    edge.gateway
        .started
        .acquire_many(all)
        .await
        .unwrap()
        .forget();

    let refused = post("/echo").await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["crank-outcome"], "not-run");
    assert_eq!(refused.headers()["crank-refusal"], "overloaded");
    assert!(refused.headers().contains_key("retry-after"));

    edge.gateway.gate.add_permits(bodies);
    for answer in waiting {
        assert_eq!(answer.await.unwrap().unwrap().status(), 200);
    }
    assert_eq!(post("/echo").await.unwrap().status(), 200);
}

#[tokio::test]
async fn hop_by_hop_headers_are_not_forwarded() {
    let edge = RunningEdge::start().await;
    let request = b"GET /headers HTTP/1.1\r\nhost: a\r\nconnection: close, x-hop\r\nx-hop: 1\r\n\
        te: trailers\r\nx-kept: 1\r\n\r\n";
    let answer = edge.send_raw(request).await;
    assert!(answer.contains("\r\nx-kept\r\n"), "{answer}");
}

#[tokio::test]
async fn a_request_is_dropped_when_its_caller_disconnects() {
    let edge = RunningEdge::start().await;
    let mut stream = TcpStream::connect(edge.address).await.unwrap();
    let request = b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    edge.gateway.started.acquire().await.unwrap().forget();
    drop(stream);
    let was_dropped = timeout(TIMEOUT, edge.gateway.dropped.acquire()).await;
    assert!(was_dropped.is_ok());
}

// A request without a path made the connection's task panic: its caller got no answer.
#[tokio::test]
async fn a_request_without_a_path_is_refused_by_its_method() {
    let edge = RunningEdge::start().await;
    let request = b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let response = edge.send_raw(request).await;
    assert!(response.starts_with("HTTP/1.1 405 "), "{response}");
}

#[tokio::test]
async fn a_leaving_edge_completes_the_responses_in_flight() {
    let edge = RunningEdge::start().await;
    let waiting = tokio::spawn(reqwest::get(edge.url("/wait")));
    edge.gateway.started.acquire().await.unwrap().forget();
    edge.leaving.cancel();
    let closed = async { while TcpStream::connect(edge.address).await.is_ok() {} };
    timeout(TIMEOUT, closed).await.unwrap();
    tokio::task::yield_now().await;
    assert!(!edge.task.is_finished());
    edge.gateway.gate.add_permits(1);
    let response = waiting.await.unwrap().unwrap();
    let body: Vec<_> = response.bytes_stream().collect().await;
    assert!(
        matches!(&body[..], [Ok(data)] if data == "half"),
        "{body:?}"
    );
    timeout(TIMEOUT, edge.task).await.unwrap().unwrap();
}
