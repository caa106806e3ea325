//! What a caller sees over HTTP.

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

const LIMIT: Duration = Duration::from_secs(20);

/// Answers by path; `started`, `left` and `gate` tell and steer what `/wait` does.
#[derive(Clone)]
struct Paths {
    started: Arc<Semaphore>,
    left: Arc<Semaphore>,
    gate: Arc<Semaphore>,
}

struct Left(Arc<Semaphore>);

impl Drop for Left {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

fn answer(length: Option<u64>, body: Body) -> Response {
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

fn pieces(pieces: Vec<Result<Bytes, Refusal>>) -> Body {
    Box::pin(stream::iter(pieces))
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

impl Gateway for Paths {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        match &*request.path {
            "/headers" => {
                let names = request.headers.iter().map(|header| header.name.to_string());
                let names = Bytes::from(names.collect::<Vec<_>>().join(" "));
                Ok(answer(None, pieces(vec![Ok(names)])))
            }
            "/short" => Ok(answer(Some(8), pieces(vec![half()]))),
            "/long" => Ok(answer(Some(4), pieces(vec![half(), half()]))),
            "/cut" => Ok(answer(None, pieces(vec![half(), Err(Refusal::Cut)]))),
            "/busy" => {
                let retry_after = Millis(1_200);
                Err(refused(
                    Refusal::Overloaded { retry_after },
                    Outcome::NotRun,
                ))
            }
            "/lost" => Err(refused(Refusal::Lost, Outcome::Unknown)),
            "/wait" => {
                let left = Left(self.left.clone());
                self.started.add_permits(1);
                self.gate.acquire().await.unwrap().forget();
                std::mem::forget(left);
                Ok(answer(Some(4), pieces(vec![half()])))
            }
            _ => {
                let length = request.body.len() as u64;
                Ok(answer(Some(length), pieces(vec![Ok(request.body)])))
            }
        }
    }
}

struct Running {
    address: SocketAddr,
    paths: Paths,
    leaving: CancellationToken,
    ended: tokio::task::JoinHandle<()>,
}

impl Running {
    async fn start() -> Self {
        let edge = Edge::new(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = edge.address();
        let paths = Paths {
            started: Arc::new(Semaphore::new(0)),
            left: Arc::new(Semaphore::new(0)),
            gate: Arc::new(Semaphore::new(0)),
        };
        let leaving = CancellationToken::new();
        let ended = tokio::spawn(edge.run(paths.clone(), leaving.clone()));
        Self {
            address,
            paths,
            leaving,
            ended,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn get(&self, path: &str) -> reqwest::Response {
        reqwest::get(self.url(path)).await.unwrap()
    }

    /// Sends bytes as they are and reads until the edge closes the connection.
    async fn raw(&self, request: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(request).await.unwrap();
        let mut read = Vec::new();
        let ended = timeout(LIMIT, stream.read_to_end(&mut read)).await;
        let _ = ended.unwrap();
        String::from_utf8(read).unwrap()
    }
}

#[tokio::test]
async fn answers_come_back_whole_with_their_headers() {
    let running = Running::start().await;
    let client = reqwest::Client::new();
    let response = client
        .post(running.url("/echo?a=1"))
        .body("spoons")
        .send()
        .await
        .unwrap();
    assert_eq!(response.headers()["crank-outcome"], "ran");
    assert_eq!(response.headers()["x-mark"], "kept");
    assert_eq!(response.text().await.unwrap(), "spoons");
}

#[tokio::test]
async fn answers_that_end_short_long_or_cut_never_seem_whole() {
    let running = Running::start().await;
    for path in ["/short", "/long", "/cut"] {
        let response = reqwest::get(running.url(path)).await;
        let body = match response {
            Ok(response) => response.bytes().await,
            Err(error) => Err(error),
        };
        assert!(body.is_err(), "{path}: {body:?}");
    }
}

#[tokio::test]
async fn refusals_carry_their_marks() {
    let running = Running::start().await;
    let busy = running.get("/busy").await;
    assert_eq!(busy.status(), 503);
    assert_eq!(busy.headers()["crank-outcome"], "not-run");
    assert_eq!(busy.headers()["crank-refusal"], "overloaded");
    assert_eq!(busy.headers()["retry-after"], "2");
    let note: serde_json::Value = busy.json().await.unwrap();
    assert_eq!(note["retry_after_ms"], 1_200);
    let lost = running.get("/lost").await;
    assert_eq!(lost.status(), 502);
    assert_eq!(lost.headers()["crank-outcome"], "unknown");
}

#[tokio::test]
async fn requests_that_cannot_be_taken_are_marked_not_run() {
    let running = Running::start().await;
    let client = reqwest::Client::new();
    let method = reqwest::Method::OPTIONS;
    let options = client
        .request(method, running.url("/echo"))
        .send()
        .await
        .unwrap();
    assert_eq!(options.status(), 405);
    assert_eq!(options.headers()["crank-outcome"], "not-run");
    let head = format!(
        "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    let large = running.raw(head.as_bytes()).await;
    assert!(large.starts_with("HTTP/1.1 413"), "{large}");
    let mut chunked =
        b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    write!(chunked, "{:x}\r\n", MAX_BODY_BYTES + 1).unwrap();
    chunked.resize(chunked.len() + MAX_BODY_BYTES + 1, b'x');
    let large = running.raw(&chunked).await;
    assert!(large.contains("crank-outcome: not-run"), "{large}");
}

#[tokio::test]
async fn bodies_that_find_no_room_are_refused_as_not_run_until_there_is_some() {
    let running = Running::start().await;
    let client = reqwest::Client::new();
    let post = |path: &str| {
        let body = vec![b'x'; MAX_BODY_BYTES];
        client.post(running.url(path)).body(body).send()
    };
    let bodies = MAX_BUFFERED_BODY_BYTES / MAX_BODY_BYTES;
    let waiting: Vec<_> = (0..bodies).map(|_| tokio::spawn(post("/wait"))).collect();
    let all = u32::try_from(bodies).unwrap();
    running
        .paths
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

    running.paths.gate.add_permits(bodies);
    for answer in waiting {
        assert_eq!(answer.await.unwrap().unwrap().status(), 200);
    }
    assert_eq!(post("/echo").await.unwrap().status(), 200);
}

#[tokio::test]
async fn headers_of_one_hop_are_not_passed_on() {
    let running = Running::start().await;
    let request = b"GET /headers HTTP/1.1\r\nhost: a\r\nconnection: close, x-hop\r\nx-hop: 1\r\n\
        te: trailers\r\nx-kept: 1\r\n\r\n";
    let answer = running.raw(request).await;
    assert!(answer.contains("\r\nx-kept\r\n"), "{answer}");
}

#[tokio::test]
async fn a_caller_who_leaves_drops_the_request() {
    let running = Running::start().await;
    let mut stream = TcpStream::connect(running.address).await.unwrap();
    let request = b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    running.paths.started.acquire().await.unwrap().forget();
    drop(stream);
    let left = timeout(LIMIT, running.paths.left.acquire()).await;
    assert!(left.is_ok());
}

#[tokio::test]
async fn a_leaving_edge_cuts_nothing_in_flight() {
    let running = Running::start().await;
    let waiting = tokio::spawn(reqwest::get(running.url("/wait")));
    running.paths.started.acquire().await.unwrap().forget();
    running.leaving.cancel();
    let closed = async { while TcpStream::connect(running.address).await.is_ok() {} };
    timeout(LIMIT, closed).await.unwrap();
    tokio::task::yield_now().await;
    assert!(!running.ended.is_finished());
    running.paths.gate.add_permits(1);
    let response = waiting.await.unwrap().unwrap();
    let body: Vec<_> = response.bytes_stream().collect().await;
    assert!(
        matches!(&body[..], [Ok(data)] if data == "half"),
        "{body:?}"
    );
    timeout(LIMIT, running.ended).await.unwrap().unwrap();
}
