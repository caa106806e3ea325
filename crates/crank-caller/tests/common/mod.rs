//! A gateway whose requests wait until they are released, and a client that sends ahead.

#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use crank_caller::{AheadEvent, Edge, Gateway, MAX_REQUESTS_AHEAD};
use crank_protocol::call::{Body, Load, Refusal, RefusedRequest, Request, Response, ResponseHead};
use crank_protocol::config::Method;
use futures::{StreamExt, stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
const CHUNK: [u8; 1_024] = [b'x'; 1_024];

/// A gateway that answers with the path of the request.
///
/// Requests with `/wait` in their path wait for [`AheadGateway::release`]. The routes of paths that
/// begin with `/safe/` are idempotent.
#[derive(Clone)]
pub(crate) struct AheadGateway(Arc<State>);

struct State {
    log: watch::Sender<Log>,
    gate: Semaphore,
    broken_gate: Semaphore,
    pulled_bytes: AtomicUsize,
}

#[derive(Debug, Clone, Default)]
struct Log {
    started: Vec<String>,
    ended: Vec<String>,
    cancelled: usize,
    events: [usize; 3],
}

impl Default for AheadGateway {
    fn default() -> Self {
        Self(Arc::new(State {
            log: watch::Sender::new(Log::default()),
            gate: Semaphore::new(0),
            broken_gate: Semaphore::new(0),
            pulled_bytes: AtomicUsize::new(0),
        }))
    }
}

/// Records a call that is dropped before its end.
struct CallGuard {
    state: Arc<State>,
    is_ended: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            self.state.log.send_modify(|log| log.cancelled += 1);
        }
    }
}

impl AheadGateway {
    /// Lets this many waiting requests end.
    pub(crate) fn release(&self, count: usize) {
        self.0.gate.add_permits(count);
    }

    pub(crate) fn release_broken(&self, count: usize) {
        self.0.broken_gate.add_permits(count);
    }

    /// Returns how many calls were started ahead, taken over and cancelled.
    pub(crate) fn events(&self) -> [usize; 3] {
        self.0.log.borrow().events
    }

    /// Returns the methods and paths of the requests in the order in which they were started.
    pub(crate) fn started(&self) -> Vec<String> {
        self.0.log.borrow().started.clone()
    }

    pub(crate) fn running(&self) -> usize {
        self.0.log.borrow().running()
    }

    pub(crate) fn pulled_bytes(&self) -> usize {
        self.0.pulled_bytes.load(Ordering::Relaxed)
    }

    pub(crate) async fn wait_until_running(&self, count: usize) {
        self.wait_until(|log| log.running() >= count).await;
    }

    pub(crate) async fn wait_until_started(&self, count: usize) {
        self.wait_until(|log| log.started.len() >= count).await;
    }

    pub(crate) async fn wait_until_ended(&self, path: &str) {
        self.wait_until(|log| log.ended.iter().any(|ended| ended == path))
            .await;
    }

    pub(crate) async fn wait_until_cancelled(&self, count: usize) {
        self.wait_until(|log| log.cancelled >= count).await;
    }

    async fn wait_until(&self, condition: impl FnMut(&Log) -> bool) {
        let mut log = self.0.log.subscribe();
        let waited = timeout(TIMEOUT, log.wait_for(condition)).await;
        let waited = waited.map(|result| result.map(drop));
        assert!(waited.is_ok(), "{:?}", *self.0.log.borrow());
    }

    fn endless_body(&self, guard: CallGuard) -> Body {
        let state = self.0.clone();
        let chunks = stream::repeat(()).map(move |()| {
            let _held = &guard;
            state.pulled_bytes.fetch_add(CHUNK.len(), Ordering::Relaxed);
            Ok(Bytes::from_static(&CHUNK))
        });
        Box::pin(chunks)
    }
}

impl Log {
    fn running(&self) -> usize {
        self.started.len() - self.ended.len() - self.cancelled
    }
}

impl Gateway for AheadGateway {
    async fn call(&self, request: Request) -> Result<Response, RefusedRequest> {
        let mut guard = CallGuard {
            state: self.0.clone(),
            is_ended: false,
        };
        let path = request.path.to_string();
        let line = format!("{:?} {path}", request.method).replace("Get", "GET");
        self.0.log.send_modify(|log| log.started.push(line));
        if path.contains("/wait") {
            self.0.gate.acquire().await.unwrap().forget();
        }
        if path == "/safe/endless" {
            return Ok(response(None, self.endless_body(guard)));
        }
        let length = path.strip_prefix("/safe/large/");
        let broken_length = path.strip_prefix("/safe/broken/");
        let body = match length.or(broken_length) {
            Some(length) => Bytes::from(vec![b'x'; length.parse().unwrap()]),
            None => Bytes::from(path.clone()),
        };
        let mut chunks = vec![Ok(body.clone())];
        let mut length = body.len() as u64;
        if broken_length.is_some() {
            self.0.broken_gate.acquire().await.unwrap().forget();
            chunks.push(Err(Refusal::Cut));
            length += 1;
        }
        guard.is_ended = true;
        self.0.log.send_modify(|log| log.ended.push(path));
        Ok(response(Some(length), Box::pin(stream::iter(chunks))))
    }

    fn may_start_ahead(&self, method: Method, host: &str, path: &str) -> bool {
        assert!(matches!(method, Method::Get | Method::Head));
        host == "a" && path.starts_with("/safe/")
    }

    fn count_ahead(&self, event: AheadEvent) {
        let index = match event {
            AheadEvent::Started => 0,
            AheadEvent::TakenOver => 1,
            AheadEvent::Cancelled => 2,
        };
        self.0.log.send_modify(|log| log.events[index] += 1);
    }
}

fn response(length: Option<u64>, body: Body) -> Response {
    let head = ResponseHead {
        status: 200,
        headers: Vec::new(),
        length,
        load: Load::default(),
    };
    Response { head, body }
}

pub(crate) struct RunningEdge<G> {
    pub(crate) address: SocketAddr,
    pub(crate) gateway: G,
    pub(crate) leaving: CancellationToken,
    pub(crate) task: JoinHandle<()>,
}

impl<G: Gateway> RunningEdge<G> {
    pub(crate) async fn start(gateway: G) -> Self {
        Self::start_with(gateway, MAX_REQUESTS_AHEAD).await
    }

    pub(crate) async fn start_with(gateway: G, max_requests_ahead: usize) -> Self {
        let edge = Edge::new(([127, 0, 0, 1], 0).into()).await.unwrap();
        let edge = edge.with_requests_ahead(max_requests_ahead);
        let address = edge.address();
        let leaving = CancellationToken::new();
        let task = tokio::spawn(edge.run(gateway.clone(), leaving.clone()));
        Self {
            address,
            gateway,
            leaving,
            task,
        }
    }

    pub(crate) async fn connect(&self) -> Client {
        Client {
            stream: TcpStream::connect(self.address).await.unwrap(),
            read: Vec::new(),
        }
    }

    /// Waits until the edge takes no more connections.
    pub(crate) async fn wait_until_closed(&self) {
        let closed = async {
            while TcpStream::connect(self.address).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TIMEOUT, closed).await.unwrap();
    }
}

/// An answer as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: String,
    pub(crate) body: String,
    pub(crate) closes: bool,
}

pub(crate) struct Client {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Client {
    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    /// Reads this many answers with a stated length.
    pub(crate) async fn read_answers(&mut self, count: usize) -> Vec<Answer> {
        let mut answers = Vec::new();
        while answers.len() < count {
            match self.take_answer() {
                Some(answer) => answers.push(answer),
                None => assert!(self.read_more().await, "closed after {answers:?}"),
            }
        }
        answers
    }

    /// Reads all answers until the connection is closed.
    pub(crate) async fn read_to_end(&mut self) -> Vec<Answer> {
        while self.read_more().await {}
        std::iter::from_fn(|| self.take_answer()).collect()
    }

    async fn read_more(&mut self) -> bool {
        let read = timeout(TIMEOUT, self.stream.read_buf(&mut self.read)).await;
        read.unwrap().is_ok_and(|length| length > 0)
    }

    fn take_answer(&mut self) -> Option<Answer> {
        let head_end = self
            .read
            .windows(4)
            .position(|bytes| bytes == b"\r\n\r\n")?
            + 4;
        let head = String::from_utf8(self.read[..head_end].to_vec())
            .unwrap()
            .to_lowercase();
        let field = |name: &str| {
            let lines = head.lines();
            let mut values = lines.filter_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
            values.next()
        };
        let length: usize = field("content-length").map_or(0, |value| value.parse().unwrap());
        let body = self.read.get(head_end..head_end + length)?;
        let answer = Answer {
            status: head.split(' ').nth(1)?.to_owned(),
            body: String::from_utf8(body.to_vec()).unwrap(),
            closes: field("connection") == Some("close"),
        };
        self.read.drain(..head_end + length);
        Some(answer)
    }
}
