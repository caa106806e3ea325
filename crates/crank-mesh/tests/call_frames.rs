//! Tests of the reaction to call frames that a well-behaved node does not send.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use ciborium::into_writer;
use common::{WAIT_TIMEOUT, accept, connect, head, hello, response, start_server};
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

async fn send_response(socket: &mut Socket, attempt: u64, text: &str) {
    let head = ResponseHead {
        status: 200,
        headers: Vec::new(),
        length: None,
        load: Load::default(),
    };
    let head = Box::new(head);
    let length = text.len() as u64;
    let data = ByteBuf::from(text.as_bytes());
    send(socket, &Call::Answer { attempt, head }).await;
    send(socket, &Call::Body { attempt, data }).await;
    send(socket, &Call::End { attempt, length }).await;
}

/// Returns the server side of a connection, over which the test sends frames itself, and its
/// client.
async fn connect_to_scripted_server() -> (Socket, crank_mesh::call::Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connecting = tokio::spawn(connect(address));
    let mut socket = accept(&listener).await;
    let ours = Call::Hello(Box::new(hello("target", "sutkent")));
    send(&mut socket, &ours).await;
    assert!(matches!(receive(&mut socket).await, Call::Hello(_)));
    (socket, connecting.await.unwrap())
}

async fn request_text(connection: crank_mesh::call::Connection) -> Result<String, RefusedRequest> {
    let response = connection.send_request(head("/"), Bytes::new()).await?;
    let chunks: Result<Vec<Bytes>, Refusal> = response.body.try_collect().await;
    let chunks = chunks.map_err(|refusal| RefusedRequest {
        refusal,
        outcome: Outcome::Ran,
        load: None,
        reached: false,
    })?;
    Ok(String::from_utf8(chunks.concat()).unwrap())
}

#[tokio::test]
async fn late_doubled_and_unknown_answers_are_dropped_and_counted() {
    let (mut socket, connection) = connect_to_scripted_server().await;
    let first = tokio::spawn(request_text(connection.clone()));
    let attempt = receive_attempt(&mut socket).await;
    send_response(&mut socket, attempt.wrapping_add(1), "unknown").await;
    send_response(&mut socket, attempt, "mine").await;
    send_response(&mut socket, attempt, "doubled").await;
    assert_eq!(first.await.unwrap(), Ok("mine".to_owned()));
    let second = tokio::spawn(request_text(connection.clone()));
    let other = receive_attempt(&mut socket).await;
    send_response(&mut socket, attempt, "late").await;
    send_response(&mut socket, other, "also mine").await;
    assert_eq!(second.await.unwrap(), Ok("also mine".to_owned()));
    assert_eq!(connection.dropped_frames(), 9);
}

#[tokio::test]
async fn sent_requests_have_an_unknown_outcome_after_a_lost_connection() {
    let (mut socket, connection) = connect_to_scripted_server().await;
    let sent = tokio::spawn(request_text(connection.clone()));
    receive_attempt(&mut socket).await;
    drop(socket);
    let refused = sent.await.unwrap().unwrap_err();
    assert_eq!(
        (refused.refusal, refused.outcome),
        (Refusal::Lost, Outcome::Unknown)
    );
    assert!(connection.is_closed());
    let refused = request_text(connection).await.unwrap_err();
    assert_eq!(
        (refused.refusal, refused.outcome),
        (Refusal::NotSent, Outcome::NotRun)
    );
}

#[tokio::test]
async fn unanswered_requests_did_not_run_if_the_node_was_drained() {
    for (code, refusal, outcome) in [
        (CloseCode::Away, Refusal::Leaving, Outcome::NotRun),
        (CloseCode::Normal, Refusal::Lost, Outcome::Unknown),
    ] {
        let (mut socket, connection) = connect_to_scripted_server().await;
        let sent = tokio::spawn(request_text(connection));
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
    let (mut socket, connection) = connect_to_scripted_server().await;
    let receiving =
        tokio::spawn(async move { connection.send_request(head("/"), Bytes::new()).await });
    let attempt = receive_attempt(&mut socket).await;
    let answer_head = Box::new(response(None, Box::pin(stream::empty())).head);
    let start = Call::Answer {
        attempt,
        head: answer_head,
    };
    send(&mut socket, &start).await;
    let unread = receiving.await.unwrap().unwrap();
    let data = ByteBuf::from(vec![0; 100 * 1_024]);
    for _ in 0..3 {
        let data = data.clone();
        send(&mut socket, &Call::Body { attempt, data }).await;
    }
    let closed = async { while let Some(Ok(_)) = socket.next().await {} };
    timeout(WAIT_TIMEOUT, closed).await.unwrap();
    let ended: Result<Vec<Bytes>, Refusal> = unread.body.try_collect().await;
    assert_eq!(ended, Err(Refusal::Cut));
}

#[tokio::test]
async fn a_request_cancelled_before_it_was_sent_is_never_sent() {
    let (mut socket, connection) = connect_to_scripted_server().await;
    let mut cancelled = Box::pin(connection.send_request(head("/given-up"), Bytes::new()));
    assert!(futures::poll!(&mut cancelled).is_pending());
    drop(cancelled);
    let sent = tokio::spawn(request_text(connection));
    let attempt = match receive(&mut socket).await {
        Call::Request { attempt, head, .. } if &*head.path == "/" => attempt,
        other => panic!("{other:?}"),
    };
    send_response(&mut socket, attempt, "mine").await;
    assert_eq!(sent.await.unwrap(), Ok("mine".to_owned()));
}

#[derive(Clone)]
struct Echo;

impl RequestHandler for Echo {
    async fn handle(&self, _: RequestHead, body: Bytes) -> Result<Response, RefusedRequest> {
        Ok(response(None, Box::pin(stream::iter([Ok(body)]))))
    }
}

/// Returns a client connection to a server over which the test sends frames itself.
async fn connect_raw(address: SocketAddr) -> Socket {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut socket, _) = client_async("ws://node/call", stream).await.unwrap();
    let ours = Call::Hello(Box::new(hello("entry", "sutkent")));
    send(&mut socket, &ours).await;
    assert!(matches!(receive(&mut socket).await, Call::Hello(_)));
    socket
}

#[tokio::test]
async fn a_drained_node_closes_with_code_away_after_its_last_response() {
    let draining = CancellationToken::new();
    let mut socket = connect_raw(start_server(Echo, draining.clone()).await).await;
    draining.cancel();
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
    let last = timeout(WAIT_TIMEOUT, socket.next())
        .await
        .unwrap()
        .unwrap()
        .unwrap();
    assert!(matches!(last, Message::Close(Some(frame)) if frame.code == CloseCode::Away));
}

#[tokio::test]
async fn malformed_and_oversized_frames_close_only_their_connection() {
    let address = start_server(Echo, CancellationToken::new()).await;
    let unaffected = connect(address).await;
    let oversized = vec![0; MAX_CALL_FRAME_BYTES + 1];
    for malformed in [b"not a frame".to_vec(), oversized] {
        let mut socket = connect_raw(address).await;
        let _ = socket.send(Message::Binary(malformed.into())).await;
        let closed = async { while let Some(Ok(_)) = socket.next().await {} };
        timeout(WAIT_TIMEOUT, closed).await.unwrap();
    }
    assert_eq!(request_text(unaffected).await, Ok(String::new()));
}
