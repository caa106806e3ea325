//! The client side of a call connection.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::Name;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, RequestHead, Response};
use crank_protocol::config::Method;
use crank_protocol::wire::{Call, Hello};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use serde_bytes::ByteBuf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use super::attempt::{Attempts, not_sent_refusal, refused_request};
use super::frame::{self, CloseReason, Incoming};
use super::reader::ResponseReader;
use super::{CLIENT_IDLE_TIMEOUT, CLOSE_TIMEOUT, PEER_TIMEOUT, PING_INTERVAL};
use crate::Error;

type Socket = WebSocketStream<TcpStream>;

/// A client connection to the node of a target; clones share it.
///
/// It closes when the last clone is dropped, after an idle timeout, or on an error.
#[derive(Clone)]
pub struct Connection {
    shared: Arc<Shared>,
}

/// The state shared by the clones of a connection and the readers of its responses.
pub(super) struct Shared {
    pub(super) attempts: Arc<Mutex<Attempts>>,
    pub(super) outgoing: mpsc::UnboundedSender<Outgoing>,
}

/// A message in the send queue.
pub(super) enum Outgoing {
    Request(Box<QueuedRequest>),
    Frame(Call),
    Ping,
}

/// A request in the send queue.
pub(super) struct QueuedRequest {
    attempt: u64,
    head: Box<RequestHead>,
    body: Bytes,
    deadline: Instant,
}

impl Connection {
    /// Connects to a node and checks that it is the expected node and belongs to the same client
    /// account.
    ///
    /// # Errors
    /// Returns [`Error::Connect`], [`Error::AccountMismatch`], [`Error::NodeMismatch`], or another
    /// error of the handshake.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use crank_protocol::{Name, wire::Hello};
    /// # async fn example(hello: Hello) -> Result<(), crank_mesh::Error> {
    /// use crank_mesh::call::Connection;
    /// let (node, address) = (Name::new("node-2").unwrap(), ([127, 0, 0, 1], 7_000).into());
    /// let connection = Connection::connect(&hello, &node, address, Duration::from_secs(1)).await?;
    /// assert!(!connection.is_closed());
    /// # Ok(()) }
    /// ```
    pub async fn connect(
        hello: &Hello,
        node: &Name,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Self, Error> {
        let opened = timeout(time_limit, open(hello, node, address)).await;
        let socket = opened.map_err(|_| Error::HandshakeTimeout { address })??;
        Ok(Self::start(socket))
    }

    /// Starts the task that moves frames between the socket and the attempts.
    fn start(socket: Socket) -> Self {
        let (sink, stream) = socket.split();
        let (outgoing, queue) = mpsc::unbounded_channel();
        let attempts = Arc::new(Mutex::new(Attempts::default()));
        let weak_outgoing = outgoing.downgrade();
        let shared = Arc::new(Shared {
            attempts: attempts.clone(),
            outgoing,
        });
        tokio::spawn(async move {
            let result = run_connection(sink, stream, queue, weak_outgoing, &attempts).await;
            match result {
                Ok(reason) => attempts.lock().close(reason),
                Err(error) => {
                    attempts.lock().close(CloseReason::Unspecified);
                    log::debug!(error:% = error; "call connection closed");
                }
            }
        });
        Self { shared }
    }

    /// Returns whether the connection accepts no more requests.
    ///
    /// ```
    /// # fn example(connection: &crank_mesh::call::Connection) {
    /// assert!(!connection.is_closed());
    /// # }
    /// ```
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.attempts.lock().is_closed()
    }

    /// Returns the number of attempts whose response is not complete.
    ///
    /// ```
    /// # fn example(connection: &crank_mesh::call::Connection) {
    /// assert_eq!(connection.in_flight(), 0);
    /// # }
    /// ```
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.attempts.lock().len()
    }

    /// Returns the number of frames dropped because no attempt was waiting for them.
    ///
    /// ```
    /// # fn example(connection: &crank_mesh::call::Connection) {
    /// assert_eq!(connection.dropped_frames(), 0);
    /// # }
    /// ```
    #[must_use]
    pub fn dropped_frames(&self) -> u64 {
        self.shared.attempts.lock().dropped_frames()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Dropping the future, or the response before its end, cancels the request at the target.
    ///
    /// # Errors
    /// Returns the refusal of the target; [`Refusal::NotSent`] or [`Refusal::TooLate`] if the
    /// request certainly did not run; [`Refusal::Lost`] or [`Refusal::TimedOut`] if that is
    /// unknown.
    ///
    /// ```
    /// # use crank_protocol::call::{Response, RequestHead, RefusedRequest};
    /// # use crank_mesh::call::Connection;
    /// # async fn example(
    /// #     connection: &Connection,
    /// #     head: RequestHead,
    /// # ) -> Result<Response, RefusedRequest> {
    /// connection.send_request(head, bytes::Bytes::new()).await
    /// # }
    /// ```
    pub async fn send_request(
        &self,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Response, RefusedRequest> {
        let attempt = rand::random();
        let deadline = Instant::now() + Duration::from(head.time_left);
        let is_head = head.method == Method::Head;
        let added = self.shared.attempts.lock().add(attempt, is_head);
        let events = added.ok_or_else(not_sent_refusal)?;
        let mut reader = ResponseReader::new(attempt, self.shared.clone(), events, deadline);
        let queued = QueuedRequest {
            attempt,
            head: Box::new(head),
            body,
            deadline,
        };
        let request = Outgoing::Request(Box::new(queued));
        self.shared
            .outgoing
            .send(request)
            .map_err(|_| not_sent_refusal())?;
        let head = reader.read_head().await?;
        Ok(Response {
            head,
            body: reader.into_body(),
        })
    }
}

/// Opens the WebSocket and exchanges hellos.
async fn open(hello: &Hello, node: &Name, address: SocketAddr) -> Result<Socket, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|source| Error::Connect { address, source })?;
    stream
        .set_nodelay(true)
        .map_err(|source| Error::Connect { address, source })?;
    let url = format!("ws://{address}/call");
    let config = Some(frame::socket_config());
    let (mut socket, _) = client_async_with_config(url, stream, config).await?;
    let theirs = frame::exchange_hellos(&mut socket, hello).await?;
    if theirs.member.id != *node {
        return Err(Error::NodeMismatch {
            expected: node.clone(),
            actual: theirs.member.id,
        });
    }
    Ok(socket)
}

/// Moves frames in both directions until the connection ends.
async fn run_connection(
    sink: SplitSink<Socket, Message>,
    stream: SplitStream<Socket>,
    queue: mpsc::UnboundedReceiver<Outgoing>,
    outgoing: mpsc::WeakUnboundedSender<Outgoing>,
    attempts: &Mutex<Attempts>,
) -> Result<CloseReason, Error> {
    let mut reading = pin!(read_all(stream, outgoing, attempts));
    let write_result = tokio::select! {
        result = write_all(sink, queue, attempts) => result,
        result = &mut reading => return result,
    };
    let Err(error) = write_result else {
        return Ok(CloseReason::Unspecified);
    };
    // The last frames of the other side, such as its close message, may still be unread.
    attempts.lock().stop_accepting();
    match timeout(CLOSE_TIMEOUT, reading).await {
        Ok(Ok(CloseReason::Drained)) => Ok(CloseReason::Drained),
        _ => Err(error),
    }
}

/// Writes queued messages until the queue is closed; flushes when it is empty.
async fn write_all(
    mut sink: SplitSink<Socket, Message>,
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
    attempts: &Mutex<Attempts>,
) -> Result<(), Error> {
    while let Some(first) = queue.recv().await {
        let mut next = Some(first);
        while let Some(outgoing) = next {
            if let Some(message) = encode_outgoing(outgoing, attempts)? {
                let fed = sink.feed(message).await;
                fed?;
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

/// Reads frames until the connection ends, is idle for too long or does not answer pings.
async fn read_all(
    mut stream: SplitStream<Socket>,
    outgoing: mpsc::WeakUnboundedSender<Outgoing>,
    attempts: &Mutex<Attempts>,
) -> Result<CloseReason, Error> {
    let mut liveness = LivenessTimer::new(Instant::now());
    loop {
        match timeout(PING_INTERVAL, frame::read_message(&mut stream)).await {
            Ok(Ok(Incoming::Frame(call))) => {
                liveness = LivenessTimer::new(Instant::now());
                handle_frame(call, attempts)?;
            }
            Ok(Ok(Incoming::Heartbeat)) => liveness = LivenessTimer::new(Instant::now()),
            Ok(Ok(Incoming::Close(reason))) => return Ok(reason),
            Ok(Err(error)) => return Err(error),
            Err(_) => {
                if should_close(&mut liveness, attempts)? {
                    return Ok(CloseReason::Unspecified);
                }
                send_ping(&outgoing, attempts);
            }
        }
    }
}

/// Measures how long the other side has sent nothing.
struct LivenessTimer {
    last_received: Instant,
    /// When the first ping since then was sent; a connection without attempts sends none.
    first_ping: Option<Instant>,
}

impl LivenessTimer {
    fn new(last_received: Instant) -> Self {
        Self {
            last_received,
            first_ping: None,
        }
    }

    /// Returns whether pings have been unanswered for too long; starts the timer if it is not
    /// running.
    fn has_expired(&mut self, now: Instant) -> bool {
        let first_ping = *self.first_ping.get_or_insert(now);
        now - first_ping >= PEER_TIMEOUT - PING_INTERVAL
    }
}

/// Returns whether the connection is closed, and closes it after the idle timeout.
///
/// # Errors
/// Returns [`Error::PeerTimeout`] if attempts are waiting and the other side does not answer pings.
fn should_close(liveness: &mut LivenessTimer, attempts: &Mutex<Attempts>) -> Result<bool, Error> {
    let mut attempts = attempts.lock();
    let now = Instant::now();
    if attempts.len() > 0 {
        return if liveness.has_expired(now) {
            Err(Error::PeerTimeout)
        } else {
            Ok(false)
        };
    }
    liveness.first_ping = None;
    if now - liveness.last_received >= CLIENT_IDLE_TIMEOUT {
        attempts.close(CloseReason::Unspecified);
    }
    Ok(attempts.is_closed())
}

/// Queues a ping if attempts are waiting.
fn send_ping(outgoing: &mpsc::WeakUnboundedSender<Outgoing>, attempts: &Mutex<Attempts>) {
    if attempts.lock().len() == 0 {
        return;
    }
    if let Some(outgoing) = outgoing.upgrade() {
        let _ = outgoing.send(Outgoing::Ping);
    }
}

/// Passes a frame to its attempt.
fn handle_frame(call: Call, attempts: &Mutex<Attempts>) -> Result<(), Error> {
    let mut attempts = attempts.lock();
    match call {
        Call::Answer { attempt, head } => attempts.handle_head(attempt, *head),
        Call::Body { attempt, data } => attempts.handle_data(attempt, data.into_vec())?,
        Call::End { attempt, length } => attempts.handle_end(attempt, length),
        Call::Refused {
            attempt,
            refusal,
            outcome,
            load,
            reached,
        } => {
            let refused = RefusedRequest {
                refusal,
                outcome,
                load,
                reached,
            };
            attempts.refuse(attempt, refused);
        }
        other => {
            return Err(Error::UnexpectedFrame {
                frame: frame::frame_kind(&other),
            });
        }
    }
    Ok(())
}
