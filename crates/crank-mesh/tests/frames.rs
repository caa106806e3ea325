//! Tests that malformed, oversized and foreign frames close only their own connection.
#![allow(clippy::unwrap_used)]

mod support;

use crank_protocol::member::{Member, Place, State};
use crank_protocol::wire::{
    Control, Datagram, Hello, MAX_CONTROL_FRAME_BYTES, MAX_DATAGRAM_BYTES, MAX_PEER_MESSAGE_BYTES,
    Members, PROTOCOL_VERSION, PeerMessage, Probe, Topic,
};
use futures::{SinkExt, StreamExt};
use support::{
    Node, WAIT_TIMEOUT, config_version, name, sees_reachable_members, snapshot, start_fleet,
    wait_until,
};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, connect_async};

async fn connect(node: &Node) -> WebSocketStream<MaybeTlsStream<TcpStream>> {
    let url = format!("ws://{}/control", node.mesh.address());
    connect_async(url).await.unwrap().0
}

/// Sends a frame and returns the code with which the node closes the connection.
async fn close_code_after(node: &Node, frame: Message) -> CloseCode {
    let mut socket = connect(node).await;
    let _ = socket.send(frame).await;
    while let Some(message) = socket.next().await {
        if let Message::Close(Some(close)) = message.unwrap() {
            return close.code;
        }
    }
    unreachable!("the connection ended without a close code");
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
        link: 0,
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
async fn bad_frames_close_only_their_connection() {
    let nodes = start_fleet(4, 1).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 4))
    })
    .await;
    let refused = [
        (Message::binary(vec![0xff; 64]), CloseCode::Protocol),
        (Message::binary(Vec::new()), CloseCode::Protocol),
        (Message::text("hello"), CloseCode::Protocol),
        (binary(&Control::WantMembers), CloseCode::Protocol),
        (
            binary(&hello("lenha-viva", PROTOCOL_VERSION)),
            CloseCode::Policy,
        ),
        (
            binary(&hello("sutkent", PROTOCOL_VERSION + 1)),
            CloseCode::Policy,
        ),
    ];
    for (frame, code) in refused {
        assert_eq!(close_code_after(&nodes[0], frame).await, code);
    }
    let counted = nodes[0].mesh.error_counters().malformed_messages();
    assert_eq!(counted, 3, "only frames that cannot be decoded are counted");

    let mut socket = connect(&nodes[0]).await;
    let oversized = Message::binary(vec![0; MAX_CONTROL_FRAME_BYTES + 1]);
    let _ = socket.send(oversized).await;
    while let Some(Ok(_)) = socket.next().await {}

    let datagram = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = nodes[0].mesh.address();
    for bytes in [&[0xff; 40][..], &[0; 1_400][..], &[][..]] {
        datagram.send_to(bytes, address).await.unwrap();
    }
    let error_counters = nodes[0].mesh.error_counters().clone();
    wait_until("all malformed messages counted", || {
        error_counters.malformed_messages() >= 6
    })
    .await;

    nodes[1].mesh.apply_snapshot(snapshot(1)).await.unwrap();
    wait_until("version 1", || {
        nodes.iter().all(|node| config_version(node) == Some(1))
    })
    .await;
    assert!(nodes.iter().all(|node| sees_reachable_members(node, 4)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_message_reaches_the_same_part_of_the_named_node_alone() {
    let nodes = start_fleet(3, 1).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 3))
    })
    .await;
    let mut received = nodes[1].mesh.messages();
    let mut elsewhere = nodes[2].mesh.messages();
    let message = PeerMessage {
        topic: Topic::Rollout,
        payload: vec![7; MAX_PEER_MESSAGE_BYTES].into(),
    };
    let to = nodes[1].settings.id.clone();
    let sent = nodes[0]
        .mesh
        .send_message(to.clone(), message.clone())
        .await;
    sent.unwrap();
    let arrived = timeout(WAIT_TIMEOUT, received.recv()).await.unwrap();
    let arrived = arrived.unwrap();
    assert_eq!(arrived.from, nodes[0].settings.id);
    assert_eq!(arrived.message, message);
    assert!(elsewhere.try_recv().is_err());

    let payload = vec![7; MAX_PEER_MESSAGE_BYTES + 1].into();
    let oversized = PeerMessage { payload, ..message };
    let refused = nodes[0].mesh.send_message(to, oversized).await;
    assert!(refused.is_err(), "an oversized payload is refused by name");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_content_under_a_held_number_is_an_alarm_and_never_applied() {
    let nodes = start_fleet(3, 1).await;
    wait_until("complete member tables", || {
        nodes.iter().all(|node| sees_reachable_members(node, 3))
    })
    .await;
    nodes[0].mesh.apply_snapshot(snapshot(1)).await.unwrap();
    wait_until("version 1", || {
        nodes.iter().all(|node| config_version(node) == Some(1))
    })
    .await;
    let mut forged = snapshot(2);
    forged.stamp.version.0 = 1;
    let held = nodes[0].mesh.config().borrow().clone();
    nodes[0].mesh.apply_snapshot(forged).await.unwrap();
    assert_eq!(*nodes[0].mesh.config().borrow(), held);
    assert_eq!(nodes[0].mesh.error_counters().version_conflicts(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_probe_is_answered_even_if_the_names_in_the_gossip_are_long() {
    let long_name = |index: usize| name(&format!("{index}{}", "n".repeat(63)));
    let place = Place {
        region: long_name(0),
        data_centre: long_name(1),
    };
    let mut settings = support::settings(0, 1, Vec::new());
    settings.place = place.clone();
    let node = support::start_node(settings).await;
    let members = (0..9).map(|index| Member {
        id: long_name(index),
        place: place.clone(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        link: 0,
        state: State::Left,
        endpoint: None,
    });
    let mut socket = connect(&node).await;
    let alive = |member| Member {
        state: State::Alive,
        ..member
    };
    let news = Control::News(Members(members.map(alive).collect()));
    for frame in [hello("sutkent", PROTOCOL_VERSION), news] {
        socket.send(binary(&frame)).await.unwrap();
    }
    wait_until("the announced members", || {
        sees_reachable_members(&node, 11)
    })
    .await;

    let prober = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let ping = Datagram {
        account: crank_engine::overlay::account_tag(&name("sutkent")),
        from: name("prober"),
        stamp: None,
        table: 0,
        regions: Vec::new(),
        probe: Probe::Ping { number: 7 },
        gossip: Vec::new(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&ping, &mut bytes).unwrap();
    prober.send_to(&bytes, node.mesh.address()).await.unwrap();
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    let answered = timeout(support::WAIT_TIMEOUT, prober.recv(&mut buffer)).await;
    let length = answered.expect("the probe was not answered").unwrap();
    let answer: Datagram = ciborium::from_reader(&buffer[..length]).unwrap();
    assert_eq!(answer.probe, Probe::Ack { number: 7 });
    assert!(!answer.gossip.is_empty() && length <= MAX_DATAGRAM_BYTES);
}
