//! Malformed, oversized and foreign frames end their own connection and harm nothing else.
#![allow(clippy::unwrap_used)]

mod support;

use crank_protocol::member::{Member, State};
use crank_protocol::wire::{Control, Hello, LARGEST_CONTROL_BYTES, PROTOCOL};
use futures::{SinkExt, StreamExt};
use support::{Node, fleet, knows, name, snapshot, until, version};
use tokio::net::{TcpStream, UdpSocket};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, connect_async};

async fn connect(node: &Node) -> WebSocketStream<MaybeTlsStream<TcpStream>> {
    let url = format!("ws://{}/control", node.mesh.address());
    connect_async(url).await.unwrap().0
}

/// What the node closes the connection with after a frame.
async fn closed_with(node: &Node, frame: Message) -> CloseCode {
    let mut socket = connect(node).await;
    let _ = socket.send(frame).await;
    while let Some(message) = socket.next().await {
        if let Message::Close(Some(close)) = message.unwrap() {
            return close.code;
        }
    }
    unreachable!("the connection ended without a reason");
}

fn binary(frame: &Control) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).unwrap();
    Message::binary(bytes)
}

fn hello(account: &str, protocol: u16) -> Control {
    let place = support::settings(9, 1, Vec::new()).place;
    let member = Member {
        id: name("stranger"),
        place,
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        state: State::Alive,
        endpoint: None,
    };
    let account = name(account);
    Control::Hello(Box::new(Hello {
        protocol,
        account,
        member,
    }))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_frames_end_their_connection_and_nothing_else() {
    let nodes = fleet(4, 1).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 4))).await;
    let refused = [
        (Message::binary(vec![0xff; 64]), CloseCode::Protocol),
        (Message::binary(Vec::new()), CloseCode::Protocol),
        (Message::text("hello"), CloseCode::Protocol),
        (binary(&Control::WantMembers), CloseCode::Protocol),
        (binary(&hello("lenha-viva", PROTOCOL)), CloseCode::Policy),
        (binary(&hello("sutkent", PROTOCOL + 1)), CloseCode::Policy),
    ];
    for (frame, code) in refused {
        assert_eq!(closed_with(&nodes[0], frame).await, code);
    }
    let counted = nodes[0].mesh.alarms().malformed();
    assert_eq!(counted, 3, "only what cannot be decoded counts");

    let mut socket = connect(&nodes[0]).await;
    let oversized = Message::binary(vec![0; LARGEST_CONTROL_BYTES + 1]);
    let _ = socket.send(oversized).await;
    while let Some(Ok(_)) = socket.next().await {}

    let datagram = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = nodes[0].mesh.address();
    for bytes in [&[0xff; 40][..], &[0; 1_400][..], &[][..]] {
        datagram.send_to(bytes, address).await.unwrap();
    }
    let alarms = nodes[0].mesh.alarms().clone();
    until("all counted", || alarms.malformed() >= 6).await;

    nodes[1].mesh.offer(snapshot(1)).await.unwrap();
    until("version 1", || {
        nodes.iter().all(|node| version(node) == Some(1))
    })
    .await;
    assert!(nodes.iter().all(|node| knows(node, 4)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_content_under_a_held_number_is_an_alarm_and_never_applied() {
    let nodes = fleet(3, 1).await;
    until("full tables", || nodes.iter().all(|node| knows(node, 3))).await;
    nodes[0].mesh.offer(snapshot(1)).await.unwrap();
    until("version 1", || {
        nodes.iter().all(|node| version(node) == Some(1))
    })
    .await;
    let mut forged = snapshot(2);
    forged.stamp.version.0 = 1;
    let held = nodes[0].mesh.config().borrow().clone();
    nodes[0].mesh.offer(forged).await.unwrap();
    assert_eq!(*nodes[0].mesh.config().borrow(), held);
    assert_eq!(nodes[0].mesh.alarms().conflicts(), 1);
}
