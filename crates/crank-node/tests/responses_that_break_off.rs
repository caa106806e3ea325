//! What callers get when the node of a target ends while its response is on the way, over real
//! connections.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{dependencies, name, place, view};
use crank_caller::Edge;
use crank_mesh::View;
use crank_mesh::call::{self, Pool, RequestHandler, SharedUplink};
use crank_node::entry::{Dependencies, EntryProxy};
use crank_node::transport::MeshTransport;
use crank_protocol::call::{Load, RefusedRequest, RequestHead, Response, ResponseHead};
use crank_protocol::member::{Member, State};
use crank_protocol::wire::{Hello, PROTOCOL_VERSION};
use futures::{StreamExt, stream};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

const PATIENCE: Duration = Duration::from_secs(20);
/// Long enough for what was sent to have arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);
const BODY_BYTES: usize = 200_000;

/// What a target sends of the response to the next request, before its node ends.
#[derive(Debug, Clone, Copy)]
struct Break {
    after_bytes: usize,
    length: Option<u64>,
}

/// Backend servers that answer with `BODY_BYTES` bytes; one response breaks off.
#[derive(Clone)]
struct Servers {
    next_break: Arc<Mutex<Option<Break>>>,
    runs: Arc<Mutex<usize>>,
    /// Notified when the part of the response that breaks off was sent.
    sent: Arc<Notify>,
    /// Ends all nodes of targets that are connected.
    ending: Arc<Mutex<CancellationToken>>,
}

impl RequestHandler for Servers {
    async fn handle(&self, _head: RequestHead, _body: Bytes) -> Result<Response, RefusedRequest> {
        *self.runs.lock() += 1;
        let Some(broken) = self.next_break.lock().take() else {
            let body = Bytes::from(vec![b'w'; BODY_BYTES]);
            let whole = stream::iter([Ok(body)]);
            return Ok(response(Some(BODY_BYTES as u64), Box::pin(whole)));
        };
        let part = Bytes::from(vec![b'w'; broken.after_bytes]);
        let parts = stream::iter([Ok(part)]);
        let sent = self.sent.clone();
        let stuck = stream::once(async move {
            sent.notify_one();
            std::future::pending().await
        });
        Ok(response(broken.length, Box::pin(parts.chain(stuck))))
    }
}

fn response(length: Option<u64>, body: crank_protocol::call::Body) -> Response {
    let head = ResponseHead {
        status: 200,
        headers: Vec::new(),
        length,
        load: Load::default(),
    };
    Response { head, body }
}

fn hello(member: Member) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        account: name("lenha-viva"),
        member,
    }
}

impl Servers {
    fn new() -> Self {
        Self {
            next_break: Arc::default(),
            runs: Arc::default(),
            sent: Arc::default(),
            ending: Arc::default(),
        }
    }

    fn break_next(&self, after_bytes: usize, length: Option<u64>) {
        *self.next_break.lock() = Some(Break {
            after_bytes,
            length,
        });
    }

    /// Waits for the part of the response that breaks off, then closes all connections.
    async fn end_nodes(&self) {
        timeout(PATIENCE, self.sent.notified()).await.unwrap();
        sleep(ARRIVAL_TIME).await;
        let ending = std::mem::take(&mut *self.ending.lock());
        ending.cancel();
    }

    /// Starts the node of a target, and returns its member with its address.
    async fn start_node(&self, member: &Member) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let member = Member {
            address: listener.local_addr().unwrap(),
            state: State::Alive,
            ..member.clone()
        };
        let (servers, hello) = (self.clone(), hello(member.clone()));
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let ending = servers.ending.lock().clone();
                let (servers, hello) = (servers.clone(), hello.clone());
                tokio::spawn(ending.run_until_cancelled_owned(async move {
                    let socket = tokio_tungstenite::accept_async(stream).await.unwrap();
                    let draining = CancellationToken::new();
                    let _ =
                        call::serve(socket, &hello, servers, SharedUplink::new(0), draining).await;
                }));
            }
        });
        member
    }

    /// Starts the nodes of all targets and an entry; returns the entry's address.
    async fn start_mesh(&self) -> SocketAddr {
        let mut members = Vec::new();
        for member in view().members() {
            members.push(self.start_node(member).await);
        }
        let own = Member {
            id: name("entry"),
            endpoint: None,
            ..members[0].clone()
        };
        let pool = Pool::new(hello(own));
        let transport = MeshTransport::new(name("entry"), self.clone(), pool);
        let fakes = dependencies(common::FakeTransport::default());
        let view = View::new(name("entry"), members, Default::default());
        let entry = EntryProxy::new(Dependencies {
            clock: fakes.clock,
            node: fakes.node,
            place: place(),
            config: fakes.config,
            view: watch::Sender::new(Arc::new(view)).subscribe(),
            ready: fakes.ready,
            transport,
            burn: fakes.burn,
            conventions: fakes.conventions,
        });
        let edge = Edge::new(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = edge.address();
        tokio::spawn(edge.run(entry, CancellationToken::new()));
        address
    }
}

/// A caller with one kept connection.
struct Caller(TcpStream);

impl Caller {
    async fn connect(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.unwrap())
    }

    async fn send(&mut self, path: &str) {
        let head = format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n");
        self.0.write_all(head.as_bytes()).await.unwrap();
    }

    /// Reads up to the end of a head.
    async fn read_head(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let byte = timeout(PATIENCE, self.0.read_u8()).await.unwrap();
            head.push(byte.ok()?);
        }
        Some(String::from_utf8(head).unwrap().to_lowercase())
    }

    /// Reads a response with a length; `None` if the connection closes before its end.
    async fn read(&mut self) -> Option<(String, usize)> {
        let head = self.read_head().await?;
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.unwrap().parse().unwrap()];
        let read = timeout(PATIENCE, self.0.read_exact(&mut body)).await;
        read.unwrap().ok()?;
        Some((head, body.len()))
    }
}

#[tokio::test]
async fn a_safe_request_whose_response_breaks_off_is_answered_by_another_server() {
    let length = Some(BODY_BYTES as u64);
    let breaks = [
        (0, length),
        (1, length),
        (16_384, length),
        (100_000, length),
        (BODY_BYTES - 1, length),
        (100_000, None),
    ];
    for (after_bytes, length) in breaks {
        let servers = Servers::new();
        let mut caller = Caller::connect(servers.start_mesh().await).await;
        servers.break_next(after_bytes, length);
        caller.send("/lookups").await;
        servers.end_nodes().await;
        let (head, bytes) = caller.read().await.expect("the connection was closed");
        assert!(head.starts_with("http/1.1 200 "), "{after_bytes} {head}");
        assert_eq!(bytes, BODY_BYTES, "{after_bytes}");
        assert_eq!(*servers.runs.lock(), 2, "{after_bytes}");
        caller.send("/lookups").await;
        let (_, bytes) = caller.read().await.expect("the connection was closed");
        assert_eq!(bytes, BODY_BYTES, "{after_bytes}");
    }
}

#[tokio::test]
async fn an_unsafe_request_whose_response_breaks_off_is_answered_as_unknown_and_runs_once() {
    let servers = Servers::new();
    let mut caller = Caller::connect(servers.start_mesh().await).await;
    servers.break_next(100_000, Some(BODY_BYTES as u64));
    caller.send("/orders").await;
    servers.end_nodes().await;
    let (head, _) = caller.read().await.expect("the connection was closed");
    assert!(head.starts_with("http/1.1 502 "), "{head}");
    assert!(head.contains("crank-outcome: unknown"), "{head}");
    assert_eq!(*servers.runs.lock(), 1);
    caller.send("/orders").await;
    let (head, bytes) = caller.read().await.expect("the connection was closed");
    assert!(head.starts_with("http/1.1 200 "), "{head}");
    assert_eq!(bytes, BODY_BYTES);
}

#[tokio::test]
async fn a_download_is_passed_on_as_it_comes_and_never_looks_complete_when_it_breaks_off() {
    let servers = Servers::new();
    let mut caller = Caller::connect(servers.start_mesh().await).await;
    let length = 1 << 20;
    servers.break_next(BODY_BYTES, Some(length));
    caller.send("/lookups").await;
    let head = caller.read_head().await.unwrap();
    assert!(head.contains("content-length: 1048576"), "{head}");
    let mut first = [0; 1_024];
    let read = timeout(PATIENCE, caller.0.read_exact(&mut first)).await;
    read.unwrap().unwrap();
    servers.end_nodes().await;
    let mut rest = Vec::new();
    let _ = timeout(PATIENCE, caller.0.read_to_end(&mut rest))
        .await
        .unwrap();
    assert!(first.len() + rest.len() < length as usize);
    assert_eq!(*servers.runs.lock(), 1);
}
