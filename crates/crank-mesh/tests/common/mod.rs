//! Helpers for tests of call connections on the loopback interface.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use crank_mesh::call::{self, Connection, RequestHandler, SharedUplink};
use crank_protocol::call::{Body, Load, RequestHead, Response, ResponseHead};
use crank_protocol::config::{Importance, Method, Version};
use crank_protocol::member::{Member, Place, State};
use crank_protocol::wire::{Hello, PROTOCOL_VERSION};
use crank_protocol::{Millis, Name};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::{WebSocketStream, accept_async};
use tokio_util::sync::CancellationToken;

pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub(crate) fn hello(id: &str, account: &str) -> Hello {
    let member = Member {
        id: name(id),
        place: Place {
            region: name("bahia"),
            data_centre: name("bahia-1"),
        },
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        link: 0,
        state: State::Alive,
        endpoint: None,
    };
    Hello {
        protocol: PROTOCOL_VERSION,
        account: name(account),
        member,
    }
}

pub(crate) fn head(path: &str) -> RequestHead {
    RequestHead {
        request_id: 7,
        service: name("recipes"),
        method: Method::Post,
        path: path.into(),
        headers: Vec::new(),
        time_left: Millis(15_000),
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

pub(crate) fn response(length: Option<u64>, body: Body) -> Response {
    let head = ResponseHead {
        status: 200,
        headers: Vec::new(),
        length,
        load: Load::default(),
    };
    Response { head, body }
}

/// Accepts the next connection of a listener.
pub(crate) async fn accept(listener: &TcpListener) -> WebSocketStream<TcpStream> {
    let (stream, _) = listener.accept().await.unwrap();
    accept_async(stream).await.unwrap()
}

/// Starts a server that serves all its connections, and returns its address.
pub(crate) async fn start_server(
    handler: impl RequestHandler,
    draining: CancellationToken,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let socket = accept(&listener).await;
            let (handler, draining) = (handler.clone(), draining.clone());
            tokio::spawn(async move {
                let (hello, uplink) = (hello("target", "sutkent"), SharedUplink::new(0));
                call::serve(socket, &hello, handler, uplink, draining).await
            });
        }
    });
    address
}

pub(crate) async fn connect(address: SocketAddr) -> Connection {
    let ours = hello("entry", "sutkent");
    let connection = Connection::connect(&ours, &name("target"), address, WAIT_TIMEOUT).await;
    connection.unwrap()
}
