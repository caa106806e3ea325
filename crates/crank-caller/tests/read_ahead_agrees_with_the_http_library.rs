//! With reading ahead, callers get the answers, and the gateway the requests, that the HTTP library
//! alone gives them: for drawn sequences of requests, also malformed ones, split at any byte.

#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use crank_caller::{AheadEvent, Edge, Gateway, MAX_BODY_BYTES, MAX_REQUESTS_AHEAD};
use crank_protocol::call::{Load, RefusedRequest, Request, Response, ResponseHead};
use crank_protocol::config::Method;
use futures::stream;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(20);
/// How long a call takes, so that requests behind it arrive meanwhile.
const CALL_TIME: Duration = Duration::from_millis(1);
const CASES: u32 = 96;

/// A request as the gateway sees it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Delivered {
    method: String,
    path: String,
    mark: Vec<u8>,
    body: Vec<u8>,
}

/// A gateway that answers with the path.
#[derive(Clone, Default)]
struct EchoGateway {
    delivered: Arc<Mutex<Vec<Delivered>>>,
    taken_over: Arc<Mutex<usize>>,
}

impl EchoGateway {
    fn take_delivered(&self) -> Vec<Delivered> {
        std::mem::take(&mut *self.delivered.lock().unwrap())
    }
}

impl Gateway for EchoGateway {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        let mut marks = request.headers.iter();
        let mark = marks.find(|header| &*header.name == "x-mark");
        self.delivered.lock().unwrap().push(Delivered {
            method: format!("{:?}", request.method).to_uppercase(),
            path: request.path.to_string(),
            mark: mark.map(|header| header.value.clone()).unwrap_or_default(),
            body: request.body.to_vec(),
        });
        sleep(CALL_TIME).await;
        let body = Bytes::from(request.path.to_string());
        let head = ResponseHead {
            status: 200,
            headers: Vec::new(),
            length: Some(body.len() as u64),
            load: Load::default(),
        };
        let body = Box::pin(stream::iter([Ok(body)]));
        Ok(Response { head, body })
    }

    fn may_start_ahead(&self, _method: Method, _host: &str, path: &str) -> bool {
        path.starts_with("/safe/")
    }

    fn count_ahead(&self, event: AheadEvent) {
        if event == AheadEvent::TakenOver {
            *self.taken_over.lock().unwrap() += 1;
        }
    }
}

async fn start_edge(gateway: EchoGateway, max_requests_ahead: usize) -> SocketAddr {
    let edge = Edge::new(([127, 0, 0, 1], 0).into()).await.unwrap();
    let edge = edge.with_requests_ahead(max_requests_ahead);
    let address = edge.address();
    tokio::spawn(edge.run(gateway, CancellationToken::new()));
    address
}

/// Starts the HTTP library alone.
async fn start_library(delivered: Arc<Mutex<Vec<Delivered>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let delivered = delivered.clone();
            let service = service_fn(move |request| answer(request, delivered.clone()));
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn answer(
    request: http::Request<Incoming>,
    delivered: Arc<Mutex<Vec<Delivered>>>,
) -> Result<http::Response<Full<Bytes>>, Infallible> {
    let status = |status: u16| {
        let mut response = http::Response::new(Full::default());
        *response.status_mut() = http::StatusCode::from_u16(status).unwrap();
        Ok(response)
    };
    let (head, body) = request.into_parts();
    if !["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"].contains(&head.method.as_str()) {
        return status(405);
    }
    let length = head.headers.get("content-length");
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return status(413);
    }
    let Ok(body) = body.collect().await else {
        return status(400);
    };
    let path = head.uri.path().to_owned();
    let query = head.uri.query().map(|query| format!("?{query}"));
    let mark = head.headers.get("x-mark");
    delivered.lock().unwrap().push(Delivered {
        method: head.method.to_string(),
        path: path + &query.unwrap_or_default(),
        mark: mark
            .map(|mark| mark.as_bytes().to_vec())
            .unwrap_or_default(),
        body: body.to_bytes().to_vec(),
    });
    status(200)
}

/// Sends bytes in pieces and reads until the server closes the connection.
async fn exchange(address: SocketAddr, bytes: &[u8], cuts: &[prop::sample::Index]) -> Vec<u8> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len())).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    let (mut reader, mut writer) = TcpStream::connect(address).await.unwrap().into_split();
    let send = async {
        for piece in cuts.windows(2) {
            // The server closes after what it cannot read.
            if writer.write_all(&bytes[piece[0]..piece[1]]).await.is_err() {
                return;
            }
            sleep(CALL_TIME / 2).await;
        }
    };
    let read = async {
        let mut read = Vec::new();
        let _ = reader.read_to_end(&mut read).await;
        read
    };
    let exchanged = timeout(TIMEOUT, async { tokio::join!(send, read) }).await;
    exchanged.unwrap().1
}

/// Returns what a caller gets, without what differs by time.
fn without_date(read: &[u8]) -> String {
    let text = String::from_utf8_lossy(read);
    let lines = text.split_inclusive("\r\n");
    lines.filter(|line| !line.starts_with("date: ")).collect()
}

fn statuses(read: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(read);
    let answers = text.split("HTTP/1.").skip(1);
    answers
        .map(|answer| answer.chars().skip(2).take(3).collect())
        .collect()
}

fn sorted(mut delivered: Vec<Delivered>) -> Vec<Delivered> {
    delivered.sort();
    delivered
}

/// Returns the requests that must run one after the other.
fn unsafe_ones(delivered: &[Delivered]) -> Vec<Delivered> {
    let is_unsafe = |one: &&Delivered| one.method == "POST" || !one.path.starts_with("/safe/");
    delivered.iter().filter(is_unsafe).cloned().collect()
}

fn path() -> impl Strategy<Value = String> {
    let place = prop::sample::select(vec!["/safe/", "/safe/", "/safe/", "/unsafe/"]);
    let query = prop::sample::select(vec!["", "?q=1", "?", "#f"]);
    (place, 0..1_000_u32, query).prop_map(|(place, id, query)| format!("{place}{id}{query}"))
}

/// A request without a body, most often a plain one.
fn bodiless() -> impl Strategy<Value = Vec<u8>> {
    let method = prop::sample::select(vec!["GET", "GET", "GET", "GET", "HEAD", "DELETE"]);
    let fields = prop_oneof![
        12 => Just(String::new()),
        1 => Just("Connection: keep-alive\r\n".into()),
        1 => Just("Content-Length: 0\r\n".into()),
        1 => Just("X-Mark:   spaced \t\r\n".into()),
    ];
    (method, path(), fields, 0..9_u32).prop_map(|(method, path, fields, mark)| {
        format!("{method} {path} HTTP/1.1\r\nHost: a\r\nX-Mark: {mark}\r\n{fields}\r\n").into()
    })
}

fn with_body() -> impl Strategy<Value = Vec<u8>> {
    let method = prop::sample::select(vec!["POST", "POST", "GET"]);
    let body = prop::collection::vec(prop::sample::select(b"abcxyz\r\n".to_vec()), 0..40);
    let excess = prop::sample::select(vec![0, 0, 0, 0, 0, 0, 1, 5, -1, -3]);
    (method, path(), body, excess).prop_map(|(method, path, mut body, excess)| {
        // A request with a body may not follow at a wrong boundary: it has no known method, and
        // whether the library reads on behind its body depends on what has arrived.
        body.extend(b"\n\n\n");
        let next = if excess > 0 {
            "GET /safe/16 HTTP/1.1\r\nHost: a\r\n\r\n"
        } else {
            ""
        };
        let length = body.len().saturating_add_signed(excess);
        let head =
            format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
        [head.as_bytes(), &body, next.as_bytes()].concat()
    })
}

/// Requests with what is unclear, unusual or wrong.
fn odd() -> impl Strategy<Value = Vec<u8>> {
    let many = |count: usize| {
        (0..count)
            .map(|n| format!("x-{n}: 1\r\n"))
            .collect::<String>()
    };
    let get = |fields: &str| format!("GET /safe/1 HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
    let post = |fields: &str| format!("POST /safe/2 HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
    let texts = vec![
        post("Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n\r\n",
        post("Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n",
        post("Transfer-Encoding: chunked\r\n") + "3;e=1\r\nabc\r\n",
        post("Transfer-Encoding: gzip, chunked\r\n") + "1\r\na\r\n0\r\n\r\n",
        post("Transfer-Encoding: gzip\r\n"),
        post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n") + "1\r\na\r\n0\r\n\r\n",
        post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\n\r\n",
        post("Transfer-Encoding : chunked\r\n") + "1\r\na\r\n0\r\n\r\n",
        post("Transfer-Encoding:\r\n chunked\r\n") + "1\r\na\r\n0\r\n\r\n",
        get("Transfer-Encoding: chunked\r\n") + "0\r\n\r\n",
        post("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc",
        post("Content-Length: 3\r\nContent-Length: 4\r\n") + "abc",
        post("Content-Length: 1\r\n") + "abGET /safe/15 HTTP/1.1\r\nHost: a\r\n\r\n",
        post("Content-Length: 3, 3\r\n") + "abc",
        post("Content-Length: +3\r\n") + "abc",
        post("Content-Length: 0x3\r\n") + "abc",
        post("Content-Length: 03\r\n") + "abc",
        post("Content-Length:\r\n"),
        post("Content-Length: 99999999999999999999\r\n"),
        post("Expect: 100-continue\r\nContent-Length: 3\r\n") + "abc",
        get("Expect: 100-continue\r\n"),
        get("Upgrade: h2c\r\nConnection: upgrade\r\n"),
        get("Upgrade: websocket\r\n"),
        get("Connection: close\r\n"),
        get("Connection: keep-alive, close\r\n"),
        get("Connection: x-other\r\nX-Mark: 1\r\n"),
        get(&many(46)),
        get(&many(47)),
        get(&many(98)),
        get(&many(99)),
        get(&format!("X-Mark: {}\r\n", "m".repeat(9_000))),
        get(&format!("X-Mark: {}\r\n", "m".repeat(20_000))),
        get("X-Mark: \u{e4}\r\n"),
        get("X Mark: 1\r\n"),
        get(": 1\r\n"),
        get("X-Mark: a\0b\r\n"),
        get("X-Mark: 1\r\n folded\r\n"),
        get("X-Mark: a\rb\r\n"),
        "\r\n\r\nGET /safe/3 HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "GET /safe/4 HTTP/1.1\nHost: a\n\n".into(),
        "GET  /safe/5 HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "GET /safe/6\r\n\r\n".into(),
        "GET /safe/7 HTTP/1.0\r\nHost: a\r\n\r\n".into(),
        "GET /safe/8 HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n".into(),
        "GET /safe/9 HTTP/1.2\r\nHost: a\r\n\r\n".into(),
        "GET /safe/10 HTTP/2.0\r\nHost: a\r\n\r\n".into(),
        // Whether the library answers a whole preface of HTTP/2 depends on what has arrived.
        "PRI * HTTP/2.0\r\n\r\n".into(),
        "GET http://a/safe/11 HTTP/1.1\r\nHost: b\r\n\r\n".into(),
        "GET /safe/a b HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "GET /safe/\u{e4} HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "get /safe/12 HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "GET /safe/13 HTTP/1.1\r\n\r\n".into(),
        "GET /safe/14 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".into(),
        "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "G\u{1}T / HTTP/1.1\r\n\r\n".into(),
    ];
    prop::sample::select(texts).prop_map(String::into_bytes)
}

/// A sequence of requests, the last of which closes the connection.
fn requests() -> impl Strategy<Value = Vec<u8>> {
    let request = prop_oneof![8 => bodiless(), 2 => with_body(), 1 => odd()];
    prop::collection::vec(request, 1..12).prop_map(|requests| {
        let last = b"GET /safe/end HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        [requests.concat(), last.to_vec()].concat()
    })
}

#[test]
fn answers_and_calls_are_those_of_the_http_library_alone() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (ahead, plain) = (EchoGateway::default(), EchoGateway::default());
    let alone = Arc::default();
    let ahead_edge = runtime.block_on(start_edge(ahead.clone(), MAX_REQUESTS_AHEAD));
    let plain_edge = runtime.block_on(start_edge(plain.clone(), 0));
    let library = runtime.block_on(start_library(Arc::clone(&alone)));
    let cuts = prop::collection::vec(any::<prop::sample::Index>(), 0..6);
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let checked = runner.run(&(requests(), cuts), |(bytes, cuts)| {
        let (by_ahead, by_plain, by_library) = runtime.block_on(async {
            tokio::join!(
                exchange(ahead_edge, &bytes, &cuts),
                exchange(plain_edge, &bytes, &cuts),
                exchange(library, &bytes, &cuts),
            )
        });
        let (ahead, plain) = (ahead.take_delivered(), plain.take_delivered());
        let alone = std::mem::take(&mut *alone.lock().unwrap());
        prop_assert_eq!(without_date(&by_ahead), without_date(&by_plain));
        prop_assert_eq!(statuses(&by_ahead), statuses(&by_library));
        prop_assert_eq!(&plain, &alone);
        prop_assert_eq!(unsafe_ones(&ahead), unsafe_ones(&alone));
        prop_assert_eq!(sorted(ahead), sorted(alone));
        Ok(())
    });
    checked.unwrap();
    let taken_over = *ahead.taken_over.lock().unwrap();
    assert!(taken_over > CASES as usize / 4, "{taken_over}");
}
