//! Call connections that go silent for good while the node behind them goes on answering.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{head, hello, name, response, start_server};
use crank_mesh::call::{Peer, Pool, RequestHandler};
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, RequestHead, Response};
use futures::stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The time within which silence must be noticed: some round trips and the pause of a slow node,
/// not the seconds that a caller waits at most.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(1_500);

/// Answers after the number of milliseconds in the path.
#[derive(Clone)]
struct SlowHandler;

impl RequestHandler for SlowHandler {
    async fn handle(&self, head: RequestHead, sent: Bytes) -> Result<Response, RefusedRequest> {
        let millis = head.path.trim_start_matches('/').parse().unwrap();
        sleep(Duration::from_millis(millis)).await;
        let body = Box::pin(stream::iter([Ok(sent)]));
        Ok(response(None, body))
    }
}

/// A loopback proxy that can silence all connections that are open.
struct Proxy {
    address: SocketAddr,
    /// Connections of an earlier generation deliver nothing.
    generation: watch::Sender<u64>,
    opened: watch::Receiver<u64>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let generation = watch::Sender::new(0);
        let (count, opened) = watch::channel(0);
        let generations = generation.clone();
        tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                count.send_modify(|count| *count += 1);
                let server = TcpStream::connect(target).await.unwrap();
                let own = *generations.borrow();
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                let there = generations.subscribe();
                tokio::spawn(copy(client_read, server_write, own, there));
                let back = generations.subscribe();
                tokio::spawn(copy(server_read, client_write, own, back));
            }
        });
        Self {
            address,
            generation,
            opened,
        }
    }

    fn silence_open_connections(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    own: u64,
    generation: watch::Receiver<u64>,
) {
    let mut buffer = vec![0; 4_096];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0
            || (*generation.borrow() == own && to.write_all(&buffer[..length]).await.is_err())
        {
            return;
        }
    }
}

struct Scene {
    proxy: Proxy,
    pool: Pool,
    peer: Peer,
}

impl Scene {
    async fn start() -> Self {
        let target = start_server(SlowHandler, CancellationToken::new()).await;
        let proxy = Proxy::start(target).await;
        let peer = Peer {
            id: name("target"),
            address: proxy.address,
        };
        let pool = Pool::new(hello("entry", "sutkent"));
        let scene = Self { proxy, pool, peer };
        assert!(scene.send("/0").await.is_ok());
        scene
    }

    async fn send(&self, path: &str) -> Result<Response, RefusedRequest> {
        self.pool
            .send_request(&self.peer, head(path), Bytes::from("spoons"))
            .await
    }
}

#[tokio::test]
async fn requests_after_the_silence_go_over_another_connection() {
    let scene = Scene::start().await;
    scene.proxy.silence_open_connections();
    let started_at = Instant::now();
    // The first one may still go onto the silent connection.
    let _ = timeout(MAX_NOTICE_TIME, scene.send("/0")).await;
    let next = timeout(MAX_NOTICE_TIME, scene.send("/0")).await;
    assert!(next.unwrap().is_ok());
    assert!(started_at.elapsed() < 2 * MAX_NOTICE_TIME);
    assert_eq!(*scene.proxy.opened.borrow(), 2);
}

#[tokio::test]
async fn a_request_on_the_silent_connection_ends_as_unknown_long_before_its_deadline() {
    let scene = Scene::start().await;
    scene.proxy.silence_open_connections();
    let refused = timeout(2 * MAX_NOTICE_TIME, scene.send("/0"))
        .await
        .unwrap();
    let refused = refused.err().unwrap();
    assert_eq!(refused.refusal, Refusal::ConnectionLost);
    assert_eq!(refused.outcome, Outcome::Unknown);
}

#[tokio::test]
async fn slow_answers_over_a_sound_connection_open_no_other_one() {
    let scene = Scene::start().await;
    let slow = (0..20).map(|_| scene.send("/1800"));
    let results = futures::future::join_all(slow).await;
    assert!(results.iter().all(Result::is_ok));
    assert_eq!(*scene.proxy.opened.borrow(), 1);
}
