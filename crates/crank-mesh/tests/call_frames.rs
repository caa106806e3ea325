//! Frames that a well-behaved node does not send.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use ciborium::into_writer;
use common::{LIMIT, accept, answer, head, hello, link, node};
use crank_mesh::call::RequestHandler;
use crank_protocol::call::{
    Load, Outcome, Refusal, RefusedRequest, RequestHead, Response, ResponseHead,
};
use crank_protocol::wire::{Call, MAX_CALL_FRAME_BYTES};
use futures::{SinkExt, StreamExt, TryStreamExt, stream};
use serde_bytes::ByteBuf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::{WebSocketStream, client_async};
use tokio_util::sync::CancellationToken;

type Socket = WebSocketStream<TcpStream>;

async fn send(socket: &mut Socket, call: &Call) {
    let mut bytes = Vec::new();
    into_writer(call, &mut bytes).unwrap();
    socket.send(Message::Binary(bytes.into())).await.unwrap();
}

async fn receive(socket: &mut Socket) -> Call {
    let message = socket.next().await.unwrap().unwrap();
    ciborium::from_reader(&*message.into_data()).unwrap()
}

async fn receive_attempt(socket: &mut Socket) -> u64 {
    match receive(socket).await {
        Call::Request { attempt, .. } => attempt,
        other => panic!("{other:?}"),
    }
}

async fn send_answer(socket: &mut Socket, attempt: u64, text: &str) {
    let answer_head = ResponseHead {
        status: 200,
        headers: Vec::new(),
        length: None,
        load: Load::default(),
    };
    let answer_head = Box::new(answer_head);
    let length = text.len() as u64;
    let data = ByteBuf::from(text.as_bytes());
    send(
        socket,
        &Call::Answer {
            attempt,
            head: answer_head,
        },
    )
    .await;
    send(socket, &Call::Body { attempt, data }).await;
    send(socket, &Call::End { attempt, length }).await;
}

/// A target's node whose frames the test writes itself, and a link to it.
async fn scripted() -> (Socket, crank_mesh::call::Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let linking = tokio::spawn(link(address));
    let mut socket = accept(&listener).await;
    let ours = Call::Hello(Box::new(hello("target", "sutkent")));
    send(&mut socket, &ours).await;
    assert!(matches!(receive(&mut socket).await, Call::Hello(_)));
    (socket, linking.await.unwrap())
}

async fn run(link: crank_mesh::call::Connection) -> Result<String, RefusedRequest> {
    let answer = link.send_request(head("/"), Bytes::new()).await?;
    let pieces: Result<Vec<Bytes>, Refusal> = answer.body.try_collect().await;
    let pieces = pieces.map_err(|refusal| RefusedRequest {
        refusal,
        outcome: Outcome::Ran,
        load: None,
        reached: false,
    })?;
    Ok(String::from_utf8(pieces.concat()).unwrap())
}

#[tokio::test]
async fn late_doubled_and_unknown_answers_are_dropped_and_counted() {
    let (mut socket, link) = scripted().await;
    let first = tokio::spawn(run(link.clone()));
    let attempt = receive_attempt(&mut socket).await;
    send_answer(&mut socket, attempt.wrapping_add(1), "unknown").await;
    send_answer(&mut socket, attempt, "mine").await;
    send_answer(&mut socket, attempt, "doubled").await;
    assert_eq!(first.await.unwrap(), Ok("mine".to_owned()));
    let second = tokio::spawn(run(link.clone()));
    let other = receive_attempt(&mut socket).await;
    send_answer(&mut socket, attempt, "late").await;
    send_answer(&mut socket, other, "also mine").await;
    assert_eq!(second.await.unwrap(), Ok("also mine".to_owned()));
    assert_eq!(link.dropped_frames(), 9);
}

#[tokio::test]
async fn a_lost_connection_tells_sent_requests_that_their_fate_is_unknown() {
    let (mut socket, link) = scripted().await;
    let sent = tokio::spawn(run(link.clone()));
    receive_attempt(&mut socket).await;
    drop(socket);
    let refused = sent.await.unwrap().unwrap_err();
    assert_eq!(
        (refused.refusal, refused.outcome),
        (Refusal::Lost, Outcome::Unknown)
    );
    assert!(link.is_closed());
    let refused = run(link).await.unwrap_err();
    assert_eq!(
        (refused.refusal, refused.outcome),
        (Refusal::NotSent, Outcome::NotRun)
    );
}

#[tokio::test]
async fn a_node_that_left_in_good_order_has_not_run_what_it_did_not_answer() {
    for (code, refusal, outcome) in [
        (CloseCode::Away, Refusal::Leaving, Outcome::NotRun),
        (CloseCode::Normal, Refusal::Lost, Outcome::Unknown),
    ] {
        let (mut socket, link) = scripted().await;
        let sent = tokio::spawn(run(link));
        receive_attempt(&mut socket).await;
        let reason = "".into();
        socket
            .close(Some(CloseFrame { code, reason }))
            .await
            .unwrap();
        let refused = sent.await.unwrap().unwrap_err();
        assert_eq!((refused.refusal, refused.outcome), (refusal, outcome));
    }
}

#[tokio::test]
async fn a_body_beyond_its_credit_closes_the_connection() {
    let (mut socket, link) = scripted().await;
    let flooded = tokio::spawn(async move { link.send_request(head("/"), Bytes::new()).await });
    let attempt = receive_attempt(&mut socket).await;
    let answer_head = Box::new(answer(None, Box::pin(stream::empty())).head);
    let start = Call::Answer {
        attempt,
        head: answer_head,
    };
    send(&mut socket, &start).await;
    let unread = flooded.await.unwrap().unwrap();
    let data = ByteBuf::from(vec![0; 100 * 1_024]);
    for _ in 0..3 {
        let data = data.clone();
        send(&mut socket, &Call::Body { attempt, data }).await;
    }
    let closed = async { while let Some(Ok(_)) = socket.next().await {} };
    timeout(LIMIT, closed).await.unwrap();
    let ended: Result<Vec<Bytes>, Refusal> = unread.body.try_collect().await;
    assert_eq!(ended, Err(Refusal::Cut));
}

#[tokio::test]
async fn a_request_given_up_before_it_was_sent_is_never_sent() {
    let (mut socket, link) = scripted().await;
    let mut given_up = Box::pin(link.send_request(head("/given-up"), Bytes::new()));
    assert!(futures::poll!(&mut given_up).is_pending());
    drop(given_up);
    let sent = tokio::spawn(run(link));
    let attempt = match receive(&mut socket).await {
        Call::Request { attempt, head, .. } if &*head.path == "/" => attempt,
        other => panic!("{other:?}"),
    };
    send_answer(&mut socket, attempt, "mine").await;
    assert_eq!(sent.await.unwrap(), Ok("mine".to_owned()));
}

#[derive(Clone)]
struct Echo;

impl RequestHandler for Echo {
    async fn handle(&self, _: RequestHead, body: Bytes) -> Result<Response, RefusedRequest> {
        Ok(answer(None, Box::pin(stream::iter([Ok(body)]))))
    }
}

/// A connection to a target's node over which the test sends frames itself.
async fn greeted(address: SocketAddr) -> Socket {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut socket, _) = client_async("ws://node/call", stream).await.unwrap();
    let ours = Call::Hello(Box::new(hello("entry", "sutkent")));
    send(&mut socket, &ours).await;
    assert!(matches!(receive(&mut socket).await, Call::Hello(_)));
    socket
}

#[tokio::test]
async fn a_drained_node_says_that_it_is_away_once_all_is_answered() {
    let leaving = CancellationToken::new();
    let mut socket = greeted(node(Echo, leaving.clone()).await).await;
    leaving.cancel();
    let request = Call::Request {
        attempt: 1,
        head: Box::new(head("/")),
        body: ByteBuf::new(),
    };
    send(&mut socket, &request).await;
    let refused = receive(&mut socket).await;
    assert!(matches!(
        refused,
        Call::Refused {
            attempt: 1,
            refusal: Refusal::Leaving,
            ..
        }
    ));
    let last = timeout(LIMIT, socket.next())
        .await
        .unwrap()
        .unwrap()
        .unwrap();
    assert!(matches!(last, Message::Close(Some(frame)) if frame.code == CloseCode::Away));
}

#[tokio::test]
async fn unreadable_and_oversized_frames_close_their_connection_only() {
    let address = node(Echo, CancellationToken::new()).await;
    let good = link(address).await;
    let oversized = vec![0; MAX_CALL_FRAME_BYTES + 1];
    for bad in [b"not a frame".to_vec(), oversized] {
        let mut socket = greeted(address).await;
        let _ = socket.send(Message::Binary(bad.into())).await;
        let closed = async { while let Some(Ok(_)) = socket.next().await {} };
        timeout(LIMIT, closed).await.unwrap();
    }
    assert_eq!(run(good).await, Ok(String::new()));
}
