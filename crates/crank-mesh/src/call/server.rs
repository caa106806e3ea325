//! The target's side of a call connection.

use std::collections::{HashMap, HashSet, VecDeque};
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, RequestHead, Response};
use crank_protocol::wire::{Call, Hello};
use futures::stream::{SplitSink, SplitStream};
use futures::{FutureExt, SinkExt, StreamExt};
use parking_lot::Mutex;
use serde_bytes::ByteBuf;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::sync::CancellationToken;

use super::attempt::{lost, refused};
use super::frame::{self, Heard};
use super::{
    CREDIT_BYTES, DRAIN_QUIET, LAST_WORDS_LIMIT, MAX_CHUNK_BYTES, MAX_IN_FLIGHT, SERVER_IDLE_LIMIT,
    STALL_LIMIT,
};
use crate::Error;

type Socket = WebSocketStream<TcpStream>;

const QUEUED_FRAMES: usize = 64;
const REMEMBERED_ATTEMPTS: usize = 1_024;

/// What runs the requests that come over call connections.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Runs a request.
    ///
    /// The future, or the answer's body, is dropped when the caller has left or its connection
    /// broke.
    ///
    /// # Errors
    /// Why there is no answer, and what is certain about the request.
    fn handle(
        &self,
        head: RequestHead,
        body: Bytes,
    ) -> impl Future<Output = Result<Response, RefusedRequest>> + Send;
}

/// Serves the requests of one connection until it closes, breaks, or has drained.
///
/// Once `leaving` is cancelled, new requests are refused as not run; what is in flight finishes.
///
/// # Errors
/// Why the connection was closed, unless the other side closed it or it was drained.
///
/// ```
/// # use crank_protocol::wire::Hello;
/// # use tokio::net::TcpStream;
/// # use tokio_tungstenite::WebSocketStream;
/// # use tokio_util::sync::CancellationToken;
/// # use crank_mesh::{Error, call::{self, RequestHandler}};
/// async fn accept(
///     socket: WebSocketStream<TcpStream>,
///     hello: &Hello,
///     target: impl RequestHandler,
///     leaving: CancellationToken,
/// ) -> Result<(), Error> {
///     call::serve(socket, hello, target, leaving).await
/// }
/// ```
pub async fn serve(
    mut socket: Socket,
    hello: &Hello,
    target: impl RequestHandler,
    leaving: CancellationToken,
) -> Result<(), Error> {
    let _ = socket.get_ref().set_nodelay(true);
    frame::greet(&mut socket, hello).await?;
    let (sink, mut stream) = socket.split();
    let (outgoing, queue) = mpsc::channel(QUEUED_FRAMES);
    let running = Arc::new(Mutex::new(Running::default()));
    let connection = ServerConnection {
        target,
        running: running.clone(),
        outgoing,
        leaving,
        last: Instant::now(),
    };
    let mut writing = pin!(write_all(sink, queue));
    let ended = tokio::select! {
        ended = &mut writing => ended.map(|()| End::Closed),
        ended = connection.read_all(&mut stream) => ended,
    };
    running.lock().abort_all();
    if ended? == End::Drained {
        let _ = timeout(STALL_LIMIT, writing).await;
        let _ = timeout(LAST_WORDS_LIMIT, read_out(&mut stream)).await;
    }
    Ok(())
}

/// How the reading of a connection ended without an error.
#[derive(PartialEq, Eq)]
enum End {
    Closed,
    Drained,
}

#[derive(Default)]
struct Running {
    tasks: HashMap<u64, Task>,
    remembered: HashSet<u64>,
    order: VecDeque<u64>,
}

struct Task {
    abort: AbortHandle,
    credit: Arc<Semaphore>,
}

impl Running {
    /// Whether an attempt is new; remembers it for a while.
    fn remember(&mut self, attempt: u64) -> bool {
        if !self.remembered.insert(attempt) {
            return false;
        }
        self.order.push_back(attempt);
        if self.order.len() > REMEMBERED_ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.remembered.remove(&oldest);
        }
        true
    }

    fn abort_all(&mut self) {
        for (_, task) in self.tasks.drain() {
            task.abort.abort();
        }
    }
}

struct ServerConnection<T> {
    target: T,
    running: Arc<Mutex<Running>>,
    outgoing: mpsc::Sender<Call>,
    leaving: CancellationToken,
    last: Instant,
}

impl<T: RequestHandler> ServerConnection<T> {
    async fn read_all(mut self, stream: &mut SplitStream<Socket>) -> Result<End, Error> {
        loop {
            let heard = match timeout(DRAIN_QUIET, frame::read(stream)).await {
                Ok(heard) => heard?,
                Err(_) if self.is_finished() => return Ok(End::Drained),
                Err(_) => continue,
            };
            match heard {
                Heard::Frame(call) => {
                    self.last = Instant::now();
                    self.take(call)?;
                }
                Heard::Sign => {}
                Heard::Close(_) => return Ok(End::Closed),
            }
        }
    }

    fn is_finished(&self) -> bool {
        let is_idle = self.running.lock().tasks.is_empty();
        let is_old = self.last.elapsed() >= SERVER_IDLE_LIMIT;
        is_idle && (is_old || self.leaving.is_cancelled())
    }

    fn take(&self, call: Call) -> Result<(), Error> {
        match call {
            Call::Request {
                attempt,
                head,
                body,
            } => self.start(attempt, *head, Bytes::from(body.into_vec())),
            Call::Cancel { attempt } => self.cancel(attempt),
            Call::Credit { attempt, bytes } => return self.credit(attempt, bytes),
            other => {
                return Err(Error::UnexpectedFrame {
                    frame: frame::kind(&other),
                });
            }
        }
        Ok(())
    }

    fn start(&self, attempt: u64, head: RequestHead, body: Bytes) {
        let mut running = self.running.lock();
        if !running.remember(attempt) {
            return;
        }
        let is_full = running.tasks.len() >= MAX_IN_FLIGHT;
        let credit = Arc::new(Semaphore::new(CREDIT_BYTES as usize));
        let sender = Sender {
            attempt,
            outgoing: self.outgoing.clone(),
            credit: credit.clone(),
            running: self.running.clone(),
        };
        let task = if is_full || self.leaving.is_cancelled() {
            tokio::spawn(sender.refuse(refused(Refusal::Leaving, Outcome::NotRun)))
        } else {
            tokio::spawn(sender.run(self.target.clone(), head, body))
        };
        let abort = task.abort_handle();
        running.tasks.insert(attempt, Task { abort, credit });
    }

    fn cancel(&self, attempt: u64) {
        if let Some(task) = self.running.lock().tasks.remove(&attempt) {
            task.abort.abort();
        }
    }

    fn credit(&self, attempt: u64, bytes: u64) -> Result<(), Error> {
        let running = self.running.lock();
        let Some(task) = running.tasks.get(&attempt) else {
            return Ok(());
        };
        let room = CREDIT_BYTES - task.credit.available_permits() as u64;
        if bytes > room {
            return Err(Error::CreditExceeded);
        }
        task.credit.add_permits(bytes as usize);
        Ok(())
    }
}

async fn write_all(
    mut sink: SplitSink<Socket, Message>,
    mut queue: mpsc::Receiver<Call>,
) -> Result<(), Error> {
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
    let _ = sink.send(frame::away()).await;
    Ok(())
}

/// Reads until the other side has closed, because closing on unread frames would take from it the
/// message that we are away.
async fn read_out(stream: &mut SplitStream<Socket>) {
    while let Some(Ok(_)) = stream.next().await {}
}

/// Sends the answer of one attempt.
struct Sender {
    attempt: u64,
    outgoing: mpsc::Sender<Call>,
    credit: Arc<Semaphore>,
    running: Arc<Mutex<Running>>,
}

impl Sender {
    async fn run(self, target: impl RequestHandler, head: RequestHead, body: Bytes) {
        let running = AssertUnwindSafe(target.handle(head, body)).catch_unwind();
        match running.await {
            Ok(Ok(answer)) => self.answer(answer).await,
            Ok(Err(refused)) => self.refuse(refused).await,
            Err(_) => self.refuse(lost()).await,
        }
    }

    async fn refuse(self, refused: RefusedRequest) {
        let frame = Call::Refused {
            attempt: self.attempt,
            refusal: refused.refusal,
            outcome: refused.outcome,
            load: refused.load,
            reached: refused.reached,
        };
        let _ = self.outgoing.send(frame).await;
    }

    async fn answer(self, answer: Response) {
        let Response { head, mut body } = answer;
        let attempt = self.attempt;
        let head = Box::new(head);
        if !self.send(Call::Answer { attempt, head }).await {
            return;
        }
        let mut length = 0;
        while let Some(piece) = body.next().await {
            match piece {
                Ok(data) => {
                    length += data.len() as u64;
                    if !self.body(data).await {
                        return self.refuse(refused(Refusal::Cut, Outcome::Ran)).await;
                    }
                }
                Err(refusal) => return self.refuse(refused(refusal, Outcome::Ran)).await,
            }
        }
        self.send(Call::End { attempt, length }).await;
    }

    /// Sends a part of the body as the reader makes room; false if it does not in time.
    async fn body(&self, mut data: Bytes) -> bool {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(MAX_CHUNK_BYTES));
            let room = self.credit.acquire_many(piece.len() as u32);
            let Ok(Ok(permit)) = timeout(STALL_LIMIT, room).await else {
                return false;
            };
            permit.forget();
            let frame = Call::Body {
                attempt: self.attempt,
                data: ByteBuf::from(Vec::from(piece)),
            };
            if !self.send(frame).await {
                return false;
            }
        }
        true
    }

    async fn send(&self, frame: Call) -> bool {
        self.outgoing.send(frame).await.is_ok()
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.running.lock().tasks.remove(&self.attempt);
    }
}
