//! Writing of queued messages on the client side of a call connection.

use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Outcome, Refusal, RequestHead};
use crank_protocol::wire::Call;
use futures::SinkExt;
use futures::stream::SplitSink;
use parking_lot::Mutex;
use serde_bytes::ByteBuf;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;

use super::attempt::{Attempts, refused_request};
use super::frame;
use super::link::Socket;
use super::monitor::Monitor;
use crate::Error;

/// A message in the send queue.
pub(super) enum Outgoing {
    Request(Box<QueuedRequest>),
    Frame(Call),
    Ping,
}

/// A request in the send queue.
pub(super) struct QueuedRequest {
    pub(super) attempt: u64,
    pub(super) head: Box<RequestHead>,
    pub(super) body: Bytes,
    pub(super) deadline: Instant,
}

/// Writes queued messages until the queue is closed; flushes when it is empty.
///
/// A request on a connection that was quiet is followed by a ping, so that silence shows at once.
pub(super) async fn write_all(
    mut sink: SplitSink<Socket, Message>,
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
    attempts: &Mutex<Attempts>,
    monitor: &Monitor,
) -> Result<(), Error> {
    while let Some(first) = queue.recv().await {
        let mut next = Some(first);
        while let Some(outgoing) = next {
            let is_request = matches!(outgoing, Outgoing::Request(_));
            if let Some(message) = encode_outgoing(outgoing, attempts)? {
                let fed = sink.feed(message).await;
                fed?;
                if is_request && monitor.take_ping() {
                    let fed = sink.feed(Message::Ping(Bytes::new())).await;
                    fed?;
                }
            }
            next = queue.try_recv().ok();
        }
        let flushed = sink.flush().await;
        flushed?;
    }
    let _ = sink.close().await;
    Ok(())
}

/// Encodes a queued message; returns `None` for a request that is no longer sent.
fn encode_outgoing(
    outgoing: Outgoing,
    attempts: &Mutex<Attempts>,
) -> Result<Option<Message>, Error> {
    match outgoing {
        Outgoing::Request(queued) => Ok(encode_request(*queued, attempts)),
        Outgoing::Frame(call) => frame::encode(&call).map(Some),
        Outgoing::Ping => Ok(Some(Message::Ping(Bytes::new()))),
    }
}

/// Encodes a request and marks it as sent.
///
/// Refuses the attempt and returns `None` if the deadline has passed or the frame is too large.
fn encode_request(queued: QueuedRequest, attempts: &Mutex<Attempts>) -> Option<Message> {
    let QueuedRequest {
        attempt,
        mut head,
        body,
        deadline,
    } = queued;
    head.time_left = deadline.saturating_duration_since(Instant::now()).into();
    if head.time_left.0 == 0 {
        let too_late = refused_request(Refusal::TooLate, Outcome::NotRun);
        attempts.lock().refuse(attempt, too_late);
        return None;
    }
    let call = Call::Request {
        attempt,
        head,
        body: ByteBuf::from(Vec::from(body)),
    };
    match frame::encode(&call) {
        Ok(message) => attempts.lock().mark_sent(attempt).then_some(message),
        Err(error) => {
            let detail = Arc::from(error.to_string());
            let bad_request = refused_request(Refusal::BadRequest { detail }, Outcome::NotRun);
            attempts.lock().refuse(attempt, bad_request);
            None
        }
    }
}
