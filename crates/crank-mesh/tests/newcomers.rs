//! Connections of other nodes are bounded: silent ones give way, and a node that opens many loses
//! its oldest.

#![allow(clippy::unwrap_used)]

mod common;
mod support;

use std::net::SocketAddr;

use bytes::Bytes;
use common::{connect, head, hello, response};
use crank_engine::caller_budget::{Bounds, MachineLimits};
use crank_engine::peer_budget;
use crank_mesh::call::{Inbound, RequestHandler, SharedUplink};
use crank_mesh::{CALL_PATH, CONTROL_PATH, Settings, start};
use crank_protocol::call::{RefusedRequest, RequestHead, Response};
use futures::{SinkExt, StreamExt, stream};
use support::{WAIT_TIMEOUT, sees_reachable_members, settings, start_node, wait_until};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::frame::Frame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, connect_async};
use tokio_util::sync::CancellationToken;

type Socket = WebSocketStream<MaybeTlsStream<TcpStream>>;

const MACHINE: MachineLimits = MachineLimits {
    memory_bytes: None,
    descriptors: Some(256),
};
/// More than the bytes that are read before the hello.
const LONG_FRAME_BYTES: usize = 64 * 1_024;
/// The hello of a call connection may take 2 s; a frame that is too long ends it at once.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(1_500);

fn small(settings: Settings) -> Settings {
    settings.with_machine(MACHINE)
}

/// Opens a WebSocket; `None` if its connection gives way before that.
async fn open(address: SocketAddr, path: &str) -> Option<Socket> {
    let opened = connect_async(format!("ws://{address}{path}")).await;
    opened.ok().map(|(socket, _)| socket)
}

/// Answers with the body of the request.
#[derive(Clone)]
struct Echo;

impl RequestHandler for Echo {
    async fn handle(&self, _: RequestHead, sent: Bytes) -> Result<Response, RefusedRequest> {
        Ok(response(None, Box::pin(stream::iter([Ok(sent)]))))
    }
}

async fn serve_all(mut calls: mpsc::Receiver<Inbound>) {
    while let Some(inbound) = calls.recv().await {
        tokio::spawn(async move {
            let (hello, uplink) = (hello("target", "sutkent"), SharedUplink::new(0));
            let draining = CancellationToken::new();
            inbound.serve(&hello, Echo, uplink, draining).await
        });
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_joins_beside_strangers_that_say_nothing() {
    let node = start_node(small(settings(0, 1, Vec::new()))).await;
    let address = node.mesh.address();
    let crowd = 2 * Bounds::for_newcomers(MACHINE).connections;
    let strangers = (0..crowd).map(|number| async move {
        let path = [CONTROL_PATH, CALL_PATH][number % 2];
        open(address, path).await
    });
    let _strangers = futures::future::join_all(strangers).await;
    let other = start_node(settings(1, 1, vec![address])).await;
    wait_until("both nodes to see each other", || {
        sees_reachable_members(&node, 2) && sees_reachable_members(&other, 2)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stranger_that_says_nothing_is_told_to_go() {
    let (calls, accepted) = mpsc::channel(16);
    let mesh = start(settings(0, 1, Vec::new()), calls).await.unwrap();
    tokio::spawn(serve_all(accepted));
    for path in [CONTROL_PATH, CALL_PATH] {
        let mut socket = open(mesh.address(), path).await.unwrap();
        let ending = async { while let Some(Ok(_)) = socket.next().await {} };
        timeout(WAIT_TIMEOUT, ending).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_frame_that_is_too_long_for_a_hello_is_not_read_to_its_end() {
    let (calls, accepted) = mpsc::channel(16);
    let mesh = start(settings(0, 1, Vec::new()), calls).await.unwrap();
    tokio::spawn(serve_all(accepted));
    for path in [CONTROL_PATH, CALL_PATH] {
        let mut socket = open(mesh.address(), path).await.unwrap();
        // Half of a message of legal size: without a bound, the rest would be waited for.
        let binary = OpCode::Data(Data::Binary);
        let half = Frame::message(vec![0; LONG_FRAME_BYTES], binary, false);
        let _ = socket.send(Message::Frame(half)).await;
        let sent_at = Instant::now();
        let ending = async { while let Some(Ok(_)) = socket.next().await {} };
        timeout(WAIT_TIMEOUT, ending).await.unwrap();
        // Long before the time limit of a call connection's hello.
        let waited = sent_at.elapsed();
        assert!(waited < MAX_NOTICE_TIME, "{waited:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_oldest_call_connection_of_a_node_that_opens_many_ends() {
    let (calls, accepted) = mpsc::channel(16);
    let mesh = start(small(settings(0, 1, Vec::new())), calls)
        .await
        .unwrap();
    tokio::spawn(serve_all(accepted));
    let allowed = peer_budget::Bounds::new(MACHINE).calls_by_peer;
    let mut open = Vec::new();
    for _ in 0..=allowed {
        open.push(connect(mesh.address()).await);
    }
    wait_until("the oldest to end", || open[0].is_closed()).await;
    for connection in &open[1..] {
        let answered = connection.send_request(head("/"), Bytes::from("spoons"));
        assert!(answered.await.is_ok());
    }
}
