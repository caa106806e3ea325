//! The client side of a call connection.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_engine::liveness::Step;
use crank_protocol::Name;
use crank_protocol::call::{RefusedRequest, RequestHead, Response};
use crank_protocol::config::Method;
use crank_protocol::wire::{Call, Hello};
use futures::StreamExt;
use futures::stream::{SplitSink, SplitStream};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use super::attempt::{Attempts, not_sent_refusal};
use super::frame::{self, CloseReason, Incoming};
use super::monitor::Monitor;
use super::reader::ResponseReader;
use super::writer::{Outgoing, QueuedRequest, write_all};
use super::{CLIENT_IDLE_TIMEOUT, CLOSE_TIMEOUT, IDLE_CHECK_INTERVAL};
use crate::Error;

pub(super) type Socket = WebSocketStream<TcpStream>;

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
    monitor: Arc<Monitor>,
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
        let (socket, handshake) = opened.map_err(|_| Error::HandshakeTimeout { address })??;
        Ok(Self::start(socket, handshake))
    }

    /// Starts the task that moves frames between the socket and the attempts.
    fn start(socket: Socket, handshake: Duration) -> Self {
        let (sink, stream) = socket.split();
        let (outgoing, queue) = mpsc::unbounded_channel();
        let attempts = Arc::new(Mutex::new(Attempts::default()));
        let weak_outgoing = outgoing.downgrade();
        let monitor = Arc::new(Monitor::new(handshake));
        let shared = Arc::new(Shared {
            attempts: attempts.clone(),
            outgoing,
            monitor: monitor.clone(),
        });
        tokio::spawn(async move {
            let tasks = ConnectionTasks {
                sink,
                stream,
                queue,
                outgoing: weak_outgoing,
            };
            let result = tasks.run(&attempts, &monitor).await;
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

    /// Returns whether the connection seems to have gone silent, so that new requests should go
    /// over another one.
    ///
    /// ```
    /// # fn example(connection: &crank_mesh::call::Connection) {
    /// assert!(!connection.is_suspect());
    /// # }
    /// ```
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.shared.monitor.is_suspect()
    }

    /// Waits until the connection seems to have gone silent while requests wait.
    pub(super) async fn suspected(&self) {
        self.shared.monitor.suspected().await;
    }

    /// Records that the node answers over a newer connection: this one ends once it is certain that
    /// it has gone silent, or when nothing is in flight.
    pub(super) fn record_replacement(&self) -> Duration {
        self.shared.monitor.record_replacement()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Dropping the future, or the response before its end, cancels the request at the target.
    ///
    /// # Errors
    /// Returns the refusal of the target, or one whose outcome says whether the request certainly
    /// did not run, or whether that is unknown.
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
        self.shared.monitor.wake();
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

/// Opens the WebSocket and exchanges hellos; returns how long the hellos took.
async fn open(
    hello: &Hello,
    node: &Name,
    address: SocketAddr,
) -> Result<(Socket, Duration), Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|source| Error::Connect { address, source })?;
    stream
        .set_nodelay(true)
        .map_err(|source| Error::Connect { address, source })?;
    let url = format!("ws://{address}/call");
    let config = Some(frame::socket_config());
    let (mut socket, _) = client_async_with_config(url, stream, config).await?;
    let started_at = Instant::now();
    let theirs = frame::exchange_hellos(&mut socket, hello).await?;
    let handshake = started_at.elapsed();
    if theirs.member.id != *node {
        return Err(Error::NodeMismatch {
            expected: node.clone(),
            actual: theirs.member.id,
        });
    }
    Ok((socket, handshake))
}

/// Both halves of a connection.
struct ConnectionTasks {
    sink: SplitSink<Socket, Message>,
    stream: SplitStream<Socket>,
    queue: mpsc::UnboundedReceiver<Outgoing>,
    outgoing: mpsc::WeakUnboundedSender<Outgoing>,
}

impl ConnectionTasks {
    /// Moves frames in both directions until the connection ends.
    async fn run(
        self,
        attempts: &Mutex<Attempts>,
        monitor: &Monitor,
    ) -> Result<CloseReason, Error> {
        let mut reading = pin!(read_all(self.stream, self.outgoing, attempts, monitor));
        let write_result = tokio::select! {
            result = write_all(self.sink, self.queue, attempts, monitor) => result,
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
}

/// Reads frames until the connection ends, is idle for too long or has gone silent.
async fn read_all(
    mut stream: SplitStream<Socket>,
    outgoing: mpsc::WeakUnboundedSender<Outgoing>,
    attempts: &Mutex<Attempts>,
    monitor: &Monitor,
) -> Result<CloseReason, Error> {
    let mut last_received = Instant::now();
    loop {
        let waiting = attempts.lock().len();
        let latest = Instant::now() + IDLE_CHECK_INTERVAL;
        let until = match monitor.next_step(waiting > 0) {
            Step::Wait { until } | Step::Suspect { until } => monitor.instant(until, latest),
            Step::Ping => {
                send_ping(&outgoing, monitor);
                continue;
            }
            Step::Close => return Ok(CloseReason::Silent),
        };
        tokio::select! {
            incoming = frame::read_message(&mut stream) => {
                last_received = Instant::now();
                match incoming? {
                    Incoming::Frame(call) => {
                        monitor.record_message();
                        handle_frame(call, attempts)?;
                    }
                    Incoming::Heartbeat => monitor.record_pong(),
                    Incoming::Close(reason) => return Ok(reason),
                }
            }
            () = monitor.changed() => {}
            () = tokio::time::sleep_until(until) => {
                if should_close(last_received, attempts) {
                    return Ok(CloseReason::Unspecified);
                }
            }
        }
    }
}

/// Returns whether the connection is closed, and closes it after the idle timeout.
fn should_close(last_received: Instant, attempts: &Mutex<Attempts>) -> bool {
    let mut attempts = attempts.lock();
    if attempts.len() > 0 {
        return false;
    }
    if last_received.elapsed() >= CLIENT_IDLE_TIMEOUT {
        attempts.close(CloseReason::Unspecified);
    }
    attempts.is_closed()
}

/// Queues a ping and counts it as sent: a queue that cannot be written is no better than silence.
fn send_ping(outgoing: &mpsc::WeakUnboundedSender<Outgoing>, monitor: &Monitor) {
    monitor.record_ping();
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
