//! The server side of a call connection, at the node of the target.

use std::collections::{HashMap, HashSet, VecDeque};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, RequestHead, Response};
use crank_protocol::wire::{Call, Hello};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::sync::CancellationToken;

use super::attempt::refused_request;
use super::frame::{self, Incoming};
use super::response::ResponseSender;
use super::uplink::SharedUplink;
use super::{
    CLOSE_TIMEOUT, DRAIN_QUIET_TIME, FLOW_CONTROL_WINDOW_BYTES, MAX_IN_FLIGHT, SERVER_IDLE_TIMEOUT,
    STALL_TIMEOUT,
};
use crate::Error;

/// The capacity of the send queue of a connection.
const MAX_QUEUED_FRAMES: usize = 64;
/// The number of recent attempt ids that are remembered to detect duplicates.
const MAX_REMEMBERED_ATTEMPTS: usize = 1_024;

/// A handler of the requests that arrive over call connections.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Handles a request.
    ///
    /// The future, or the body of the response, is dropped if the caller cancels the request or its
    /// connection ends.
    ///
    /// # Errors
    /// Returns the reason why there is no response, and whether the request ran.
    fn handle(
        &self,
        head: RequestHead,
        body: Bytes,
    ) -> impl Future<Output = Result<Response, RefusedRequest>> + Send;
}

/// Serves the requests of one connection until it is closed, fails or is drained.
///
/// Once `draining` is cancelled, new requests are refused as not run; requests in flight finish.
///
/// # Errors
/// Returns the error that ended the connection, unless the other side closed it or it was drained.
///
/// ```
/// # use crank_protocol::wire::Hello;
/// # use tokio::net::TcpStream;
/// # use tokio_tungstenite::WebSocketStream;
/// # use tokio_util::sync::CancellationToken;
/// # use crank_mesh::{Error, call::{self, RequestHandler, SharedUplink}};
/// async fn accept(
///     socket: WebSocketStream<TcpStream>,
///     hello: &Hello,
///     handler: impl RequestHandler,
///     uplink: SharedUplink,
///     draining: CancellationToken,
/// ) -> Result<(), Error> {
///     call::serve(socket, hello, handler, uplink, draining).await
/// }
/// ```
pub async fn serve<S>(
    mut socket: WebSocketStream<S>,
    hello: &Hello,
    handler: impl RequestHandler,
    uplink: SharedUplink,
    draining: CancellationToken,
) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    frame::exchange_hellos(&mut socket, hello).await?;
    exchange_calls(socket, handler, uplink, draining, std::future::pending()).await
}

/// Serves the requests of a connection on which both sides have said hello, until `replaced` is
/// ready at the latest.
pub(super) async fn exchange_calls<S>(
    socket: WebSocketStream<S>,
    handler: impl RequestHandler,
    uplink: SharedUplink,
    draining: CancellationToken,
    replaced: impl Future<Output = ()>,
) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let (sink, mut stream) = socket.split();
    let (outgoing, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let running = Arc::new(Mutex::new(RunningAttempts::default()));
    let connection = ServerConnection {
        handler,
        running: running.clone(),
        outgoing,
        uplink,
        draining,
        last_frame: Instant::now(),
    };
    let mut writing = pin!(write_all(sink, queue));
    let result = tokio::select! {
        result = &mut writing => result.map(|()| ReadEnd::Closed),
        result = connection.read_all(&mut stream) => result,
        () = replaced => Ok(ReadEnd::Closed),
    };
    running.lock().abort_all();
    if result? == ReadEnd::Drained {
        let _ = timeout(STALL_TIMEOUT, writing).await;
        let _ = timeout(CLOSE_TIMEOUT, read_until_closed(&mut stream)).await;
    }
    Ok(())
}

/// How the reading of a connection ended without an error.
#[derive(PartialEq, Eq)]
enum ReadEnd {
    Closed,
    Drained,
}

/// The attempts that are being handled, and the ids of recent ones.
#[derive(Default)]
pub(super) struct RunningAttempts {
    tasks: HashMap<u64, Task>,
    recent_ids: HashSet<u64>,
    /// The recent ids from the oldest to the newest.
    recent_order: VecDeque<u64>,
}

/// The task that handles an attempt.
struct Task {
    abort: AbortHandle,
    /// The number of body bytes that may be sent.
    credit: Arc<Semaphore>,
}

impl RunningAttempts {
    /// Remembers the id of an attempt; returns false if it is a duplicate of a recent one.
    fn remember(&mut self, attempt: u64) -> bool {
        if !self.recent_ids.insert(attempt) {
            return false;
        }
        self.recent_order.push_back(attempt);
        if self.recent_order.len() > MAX_REMEMBERED_ATTEMPTS
            && let Some(oldest) = self.recent_order.pop_front()
        {
            self.recent_ids.remove(&oldest);
        }
        true
    }

    pub(super) fn remove(&mut self, attempt: u64) {
        self.tasks.remove(&attempt);
    }

    fn abort_all(&mut self) {
        for (_, task) in self.tasks.drain() {
            task.abort.abort();
        }
    }
}

/// The reading half of a connection.
struct ServerConnection<T> {
    handler: T,
    running: Arc<Mutex<RunningAttempts>>,
    outgoing: mpsc::Sender<Call>,
    uplink: SharedUplink,
    draining: CancellationToken,
    last_frame: Instant,
}

impl<T: RequestHandler> ServerConnection<T> {
    /// Handles frames until the connection is closed or drained.
    async fn read_all<S>(
        mut self,
        stream: &mut SplitStream<WebSocketStream<S>>,
    ) -> Result<ReadEnd, Error>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        loop {
            let incoming = match timeout(DRAIN_QUIET_TIME, frame::read_message(stream)).await {
                Ok(incoming) => incoming?,
                Err(_) if self.should_close() => return Ok(ReadEnd::Drained),
                Err(_) => continue,
            };
            match incoming {
                Incoming::Frame(call) => {
                    self.last_frame = Instant::now();
                    self.handle_frame(call)?;
                }
                Incoming::Heartbeat => {}
                Incoming::Close(_) => return Ok(ReadEnd::Closed),
            }
        }
    }

    /// Returns whether no attempt runs and the connection is draining or was idle for too long.
    fn should_close(&self) -> bool {
        let is_idle = self.running.lock().tasks.is_empty();
        let is_expired = self.last_frame.elapsed() >= SERVER_IDLE_TIMEOUT;
        is_idle && (is_expired || self.draining.is_cancelled())
    }

    fn handle_frame(&self, call: Call) -> Result<(), Error> {
        match call {
            Call::Request {
                attempt,
                head,
                body,
            } => self.start(attempt, *head, Bytes::from(body.into_vec())),
            Call::Cancel { attempt } => self.cancel(attempt),
            Call::Credit { attempt, bytes } => return self.add_credit(attempt, bytes),
            other => {
                return Err(Error::UnexpectedFrame {
                    frame: frame::frame_kind(&other),
                });
            }
        }
        Ok(())
    }

    /// Starts the task of a request; refuses it if this node is draining or runs too many, or if
    /// its link could not send the response in time.
    fn start(&self, attempt: u64, head: RequestHead, body: Bytes) {
        let mut running = self.running.lock();
        if !running.remember(attempt) {
            return;
        }
        let is_full = running.tasks.len() >= MAX_IN_FLIGHT;
        let credit = Arc::new(Semaphore::new(FLOW_CONTROL_WINDOW_BYTES as usize));
        let sender = ResponseSender {
            attempt,
            outgoing: self.outgoing.clone(),
            credit: credit.clone(),
            running: self.running.clone(),
        };
        let booked = if is_full || self.draining.is_cancelled() {
            Err(Refusal::Leaving)
        } else {
            let overloaded = |retry_after| Refusal::Overloaded { retry_after };
            self.uplink.book(&head).map_err(overloaded)
        };
        let task = match booked {
            Ok(booking) => tokio::spawn(sender.run(self.handler.clone(), head, body, booking)),
            Err(refusal) => tokio::spawn(sender.refuse(refused_request(refusal, Outcome::NotRun))),
        };
        let abort = task.abort_handle();
        running.tasks.insert(attempt, Task { abort, credit });
    }

    fn cancel(&self, attempt: u64) {
        if let Some(task) = self.running.lock().tasks.remove(&attempt) {
            task.abort.abort();
        }
    }

    /// Adds credit that the caller granted.
    ///
    /// # Errors
    /// Returns [`Error::CreditExceeded`] if the credit would exceed the window.
    fn add_credit(&self, attempt: u64, bytes: u64) -> Result<(), Error> {
        let running = self.running.lock();
        let Some(task) = running.tasks.get(&attempt) else {
            return Ok(());
        };
        let max_bytes = FLOW_CONTROL_WINDOW_BYTES - task.credit.available_permits() as u64;
        if bytes > max_bytes {
            return Err(Error::CreditExceeded);
        }
        task.credit.add_permits(bytes as usize);
        Ok(())
    }
}

/// Writes queued frames until the queue is closed, then sends the close message of a drained
/// server.
async fn write_all<S>(
    mut sink: SplitSink<WebSocketStream<S>, Message>,
    mut queue: mpsc::Receiver<Call>,
) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    while let Some(first) = queue.recv().await {
        let mut next = Some(first);
        while let Some(call) = next {
            let fed = sink.feed(frame::encode(&call)?).await;
            fed?;
            next = queue.try_recv().ok();
        }
        let flushed = sink.flush().await;
        flushed?;
    }
    let _ = sink.send(frame::drained_close()).await;
    Ok(())
}

/// Reads until the other side has closed the connection.
///
/// Closing a socket with unread data resets the connection, and the other side could lose the close
/// message.
async fn read_until_closed<S>(stream: &mut SplitStream<WebSocketStream<S>>)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    while let Some(Ok(_)) = stream.next().await {}
}
