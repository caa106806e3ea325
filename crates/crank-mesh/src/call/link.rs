//! The client's side of a call connection.

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

use super::attempt::{Attempts, not_sent, refused};
use super::frame::{self, Ended, Heard};
use super::reader::Reader;
use super::{CLIENT_IDLE_LIMIT, LAST_WORDS_LIMIT, PING_AFTER, SILENCE_LIMIT};
use crate::Error;

type Socket = WebSocketStream<TcpStream>;

/// An open connection to a target's node; clones share it.
///
/// It closes when the last clone is dropped, when it was idle for a while, and when it breaks.
#[derive(Clone)]
pub struct Connection {
    shared: Arc<Shared>,
}

/// What the holders of a connection share with the tasks that carry it.
pub(super) struct Shared {
    pub(super) attempts: Arc<Mutex<Attempts>>,
    pub(super) outgoing: mpsc::UnboundedSender<Outgoing>,
}

/// What is to be written.
pub(super) enum Outgoing {
    Request(Box<Waiting>),
    Frame(Call),
    Ping,
}

/// A request that is to be written.
pub(super) struct Waiting {
    attempt: u64,
    head: Box<RequestHead>,
    body: Bytes,
    deadline: Instant,
}

impl Connection {
    /// Connects to a node and checks that it is the expected one of our client account.
    ///
    /// # Errors
    /// [`Error::Connect`], [`Error::AccountMismatch`], [`Error::NodeMismatch`], or what else the
    /// handshake met.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use crank_protocol::{Name, wire::Hello};
    /// # async fn example(hello: Hello) -> Result<(), crank_mesh::Error> {
    /// use crank_mesh::call::Connection;
    /// let (node, address) = (Name::new("node-2").unwrap(), ([127, 0, 0, 1], 7_000).into());
    /// let link = Connection::connect(&hello, &node, address, Duration::from_secs(1)).await?;
    /// assert!(!link.is_closed());
    /// # Ok(()) }
    /// ```
    pub async fn connect(
        hello: &Hello,
        node: &Name,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Self, Error> {
        let opened = timeout(limit, open(hello, node, address)).await;
        let socket = opened.map_err(|_| Error::HandshakeTimeout { address })??;
        Ok(Self::start(socket))
    }

    fn start(socket: Socket) -> Self {
        let (sink, stream) = socket.split();
        let (outgoing, queue) = mpsc::unbounded_channel();
        let attempts = Arc::new(Mutex::new(Attempts::default()));
        let pings = outgoing.downgrade();
        let shared = Arc::new(Shared {
            attempts: attempts.clone(),
            outgoing,
        });
        tokio::spawn(async move {
            let ended = drive(sink, stream, queue, pings, &attempts).await;
            match ended {
                Ok(ended) => attempts.lock().close(ended),
                Err(error) => {
                    attempts.lock().close(Ended::Closed);
                    log::debug!(error:% = error; "call connection closed");
                }
            }
        });
        Self { shared }
    }

    /// Whether no more requests can be sent on it.
    ///
    /// ```
    /// # fn example(link: &crank_mesh::call::Connection) {
    /// assert!(!link.is_closed());
    /// # }
    /// ```
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.attempts.lock().is_closed()
    }

    /// The number of attempts that wait for their answers or read them.
    ///
    /// ```
    /// # fn example(link: &crank_mesh::call::Connection) {
    /// assert_eq!(link.in_flight(), 0);
    /// # }
    /// ```
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.attempts.lock().len()
    }

    /// The number of frames dropped because nobody waited for them.
    ///
    /// ```
    /// # fn example(link: &crank_mesh::call::Connection) {
    /// assert_eq!(link.dropped_frames(), 0);
    /// # }
    /// ```
    #[must_use]
    pub fn dropped_frames(&self) -> u64 {
        self.shared.attempts.lock().dropped_frames()
    }

    /// Sends a request and waits for the start of its answer.
    ///
    /// Dropping the future, or the answer before its end, cancels the request at the target.
    ///
    /// # Errors
    /// What the target refused, or [`Refusal::NotSent`], [`Refusal::TooLate`] (certainly not run),
    /// [`Refusal::Lost`] or [`Refusal::TimedOut`] (unknown).
    ///
    /// ```
    /// # use crank_protocol::call::{Response, RequestHead, RefusedRequest};
    /// # async fn example(link: &crank_mesh::call::Connection, head: RequestHead) -> Result<Response, RefusedRequest> {
    /// link.send_request(head, bytes::Bytes::new()).await
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
        let events = added.ok_or_else(not_sent)?;
        let mut reader = Reader::new(attempt, self.shared.clone(), events, deadline);
        let waiting = Waiting {
            attempt,
            head: Box::new(head),
            body,
            deadline,
        };
        let request = Outgoing::Request(Box::new(waiting));
        self.shared.outgoing.send(request).map_err(|_| not_sent())?;
        let head = reader.head().await?;
        Ok(Response {
            head,
            body: reader.into_body(),
        })
    }
}

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
    let theirs = frame::greet(&mut socket, hello).await?;
    if theirs.member.id != *node {
        return Err(Error::NodeMismatch {
            expected: node.clone(),
            actual: theirs.member.id,
        });
    }
    Ok(socket)
}

/// Carries frames both ways until the connection ends.
async fn drive(
    sink: SplitSink<Socket, Message>,
    stream: SplitStream<Socket>,
    queue: mpsc::UnboundedReceiver<Outgoing>,
    pings: mpsc::WeakUnboundedSender<Outgoing>,
    attempts: &Mutex<Attempts>,
) -> Result<Ended, Error> {
    let mut reading = pin!(read_all(stream, pings, attempts));
    let written = tokio::select! {
        written = write_all(sink, queue, attempts) => written,
        ended = &mut reading => return ended,
    };
    let Err(error) = written else {
        return Ok(Ended::Closed);
    };
    // What the other side said last may still be unread.
    attempts.lock().stop();
    match timeout(LAST_WORDS_LIMIT, reading).await {
        Ok(Ok(Ended::Away)) => Ok(Ended::Away),
        _ => Err(error),
    }
}

async fn write_all(
    mut sink: SplitSink<Socket, Message>,
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
    attempts: &Mutex<Attempts>,
) -> Result<(), Error> {
    while let Some(first) = queue.recv().await {
        let mut next = Some(first);
        while let Some(outgoing) = next {
            if let Some(message) = message(outgoing, attempts)? {
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

fn message(outgoing: Outgoing, attempts: &Mutex<Attempts>) -> Result<Option<Message>, Error> {
    match outgoing {
        Outgoing::Request(waiting) => Ok(request(*waiting, attempts)),
        Outgoing::Frame(call) => frame::encode(&call).map(Some),
        Outgoing::Ping => Ok(Some(Message::Ping(Bytes::new()))),
    }
}

/// The frame of a request, unless it is too late or too large for one.
fn request(waiting: Waiting, attempts: &Mutex<Attempts>) -> Option<Message> {
    let Waiting {
        attempt,
        mut head,
        body,
        deadline,
    } = waiting;
    head.time_left = deadline.saturating_duration_since(Instant::now()).into();
    if head.time_left.0 == 0 {
        let too_late = refused(Refusal::TooLate, Outcome::NotRun);
        attempts.lock().refuse(attempt, too_late);
        return None;
    }
    let call = Call::Request {
        attempt,
        head,
        body: ByteBuf::from(Vec::from(body)),
    };
    match frame::encode(&call) {
        Ok(message) => attempts.lock().write(attempt).then_some(message),
        Err(error) => {
            let detail = Arc::from(error.to_string());
            let bad = refused(Refusal::BadRequest { detail }, Outcome::NotRun);
            attempts.lock().refuse(attempt, bad);
            None
        }
    }
}

async fn read_all(
    mut stream: SplitStream<Socket>,
    pings: mpsc::WeakUnboundedSender<Outgoing>,
    attempts: &Mutex<Attempts>,
) -> Result<Ended, Error> {
    let mut silence = Silence::new(Instant::now());
    loop {
        match timeout(PING_AFTER, frame::read(&mut stream)).await {
            Ok(Ok(Heard::Frame(call))) => {
                silence = Silence::new(Instant::now());
                take(call, attempts)?;
            }
            Ok(Ok(Heard::Sign)) => silence = Silence::new(Instant::now()),
            Ok(Ok(Heard::Close(ended))) => return Ok(ended),
            Ok(Err(error)) => return Err(error),
            Err(_) => {
                if is_finished(&mut silence, attempts)? {
                    return Ok(Ended::Closed);
                }
                ping(&pings, attempts);
            }
        }
    }
}

/// How long the other side has said nothing.
struct Silence {
    heard: Instant,
    /// When it was first asked for a sign since; a connection without work asks for none.
    asked: Option<Instant>,
}

impl Silence {
    fn new(heard: Instant) -> Self {
        Self { heard, asked: None }
    }

    /// Whether questions have stayed without an answer for too long.
    fn is_too_long(&mut self, now: Instant) -> bool {
        let asked = *self.asked.get_or_insert(now);
        now - asked >= SILENCE_LIMIT - PING_AFTER
    }
}

fn is_finished(silence: &mut Silence, attempts: &Mutex<Attempts>) -> Result<bool, Error> {
    let mut attempts = attempts.lock();
    let now = Instant::now();
    if attempts.len() > 0 {
        return if silence.is_too_long(now) {
            Err(Error::PeerTimeout)
        } else {
            Ok(false)
        };
    }
    silence.asked = None;
    if now - silence.heard >= CLIENT_IDLE_LIMIT {
        attempts.close(Ended::Closed);
    }
    Ok(attempts.is_closed())
}

fn ping(pings: &mpsc::WeakUnboundedSender<Outgoing>, attempts: &Mutex<Attempts>) {
    if attempts.lock().len() == 0 {
        return;
    }
    if let Some(outgoing) = pings.upgrade() {
        let _ = outgoing.send(Outgoing::Ping);
    }
}

fn take(call: Call, attempts: &Mutex<Attempts>) -> Result<(), Error> {
    let mut attempts = attempts.lock();
    match call {
        Call::Answer { attempt, head } => attempts.answer(attempt, *head),
        Call::Body { attempt, data } => attempts.data(attempt, data.into_vec())?,
        Call::End { attempt, length } => attempts.end(attempt, length),
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
                frame: frame::kind(&other),
            });
        }
    }
    Ok(())
}
