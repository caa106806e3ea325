//! One connection of a [`crate::Door`]: what it does, and what its requests hold.

use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::caller_budget::{Activity, ConnectionUse, Wish};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::door::Table;
use crate::{GuardedStream, RequestHold};

/// What a connection is charged while its peer does not take an answer: the bytes that wait for it
/// between the backend server and the peer.
const BLOCKED_BYTES: u64 = 256 * 1_024;

/// The state of a connection, shared by its table, its stream and its requests.
pub(crate) struct Shared {
    id: u64,
    closed: Notify,
    state: Mutex<State>,
}

struct State {
    /// Whether the connection gives way; its task is about to end.
    is_closed: bool,
    /// Whether the connection is to close after its next answer.
    is_leaving: bool,
    /// Whether the peer may have sent what is not read any more.
    is_unread: bool,
    /// The requests that are whole or partly in hand and not yet answered.
    requests: u32,
    /// Whether the last of them is still being received.
    is_receiving: bool,
    is_in_head: bool,
    since: Moment,
    bytes: u64,
    last_byte_at: Moment,
    blocked: Option<Blocked>,
    held: u64,
}

/// A peer that does not take what waits for it.
#[derive(Clone, Copy)]
struct Blocked {
    since: Moment,
    bytes: u64,
    last_byte_at: Moment,
    /// What the connection is charged for the wait.
    held: u64,
}

impl Shared {
    pub(crate) fn new(id: u64, now: Moment) -> Self {
        let state = State {
            is_closed: false,
            is_leaving: false,
            is_unread: false,
            requests: 0,
            is_receiving: false,
            is_in_head: false,
            since: now,
            bytes: 0,
            last_byte_at: now,
            blocked: None,
            held: 0,
        };
        Self {
            id,
            closed: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// Returns what the connection does; `None` if it gives way already.
    pub(crate) fn current(&self) -> Option<ConnectionUse> {
        let state = self.state.lock();
        if state.is_closed {
            return None;
        }
        let activity = match *state {
            State {
                blocked: Some(_), ..
            } => Activity::Blocked,
            State {
                is_receiving: true, ..
            } => Activity::Body,
            State { requests: 1.., .. } => Activity::Answering,
            State {
                is_in_head: true, ..
            } => Activity::Head,
            _ => Activity::Idle,
        };
        let progress = state.blocked.unwrap_or(Blocked {
            since: state.since,
            bytes: state.bytes,
            last_byte_at: state.last_byte_at,
            held: 0,
        });
        Some(ConnectionUse {
            id: self.id,
            activity,
            since: progress.since,
            bytes: progress.bytes,
            last_byte_at: progress.last_byte_at,
            held: state.held,
        })
    }

    /// Makes the connection close after its next answer.
    pub(crate) fn ask_to_leave(&self) {
        self.state.lock().is_leaving = true;
    }

    /// Ends the account of the connection; returns what it held, in bytes.
    pub(crate) fn close(&self) -> u64 {
        let mut state = self.state.lock();
        state.is_closed = true;
        self.closed.notify_one();
        std::mem::take(&mut state.held)
    }
}

/// A connection that has entered; it leaves its table when the last clone is dropped.
#[derive(Clone)]
pub struct Connection {
    inner: Arc<Inner>,
}

struct Inner {
    shared: Arc<Shared>,
    table: Arc<Table>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.table.remove(self.shared.id);
    }
}

impl Connection {
    pub(crate) fn new(shared: Arc<Shared>, table: Arc<Table>) -> Self {
        let inner = Arc::new(Inner { shared, table });
        Self { inner }
    }

    /// Counts what passes through a stream as the connection's.
    ///
    /// ```
    /// # use crank_stream::{Connection, GuardedStream};
    /// fn guard<S>(connection: &Connection, stream: S) -> GuardedStream<S> {
    ///     connection.guard(stream)
    /// }
    /// ```
    #[must_use]
    pub fn guard<S>(&self, stream: S) -> GuardedStream<S> {
        GuardedStream::new(stream, self.clone())
    }

    /// Sets the task that is aborted when the connection has to give way.
    ///
    /// ```
    /// # use crank_stream::Connection;
    /// fn start(connection: &Connection, serve: impl Future<Output = ()> + Send + 'static) {
    ///     connection.set_task(tokio::spawn(serve).abort_handle());
    /// }
    /// ```
    pub fn set_task(&self, task: AbortHandle) {
        self.inner.table.set_task(self.inner.shared.id, task);
    }

    /// Waits until the connection has to give way; the alternative to [`Connection::set_task`] for
    /// one task at a time that has to clean up.
    ///
    /// ```
    /// async fn run(connection: &crank_stream::Connection, work: impl Future<Output = ()>) {
    ///     tokio::select! {
    ///         () = work => {}
    ///         () = connection.closed() => {}
    ///     }
    /// }
    /// ```
    pub async fn closed(&self) {
        self.inner.shared.closed.notified().await;
    }

    /// Counts the connection as one whose peer is to send the head of a message, even if no byte
    /// has come yet.
    ///
    /// ```
    /// fn expect(connection: &crank_stream::Connection) {
    ///     connection.expect_head();
    /// }
    /// ```
    pub fn expect_head(&self) {
        let now = self.inner.table.now();
        let mut state = self.inner.shared.state.lock();
        state.is_in_head = true;
        (state.since, state.bytes) = (now, 0);
    }

    /// Returns whether the next answer is to be the last one, so that others get a turn.
    ///
    /// ```
    /// # use crank_stream::Connection;
    /// fn header(connection: &Connection) -> Option<&'static str> {
    ///     connection.is_leaving().then_some("connection: close")
    /// }
    /// ```
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.inner.shared.state.lock().is_leaving
    }

    /// Makes the connection close after its next answer. It lingers then, because its peer has sent
    /// more than is read.
    ///
    /// ```
    /// fn end(connection: &crank_stream::Connection) {
    ///     connection.ask_to_leave();
    ///     assert!(connection.is_leaving());
    /// }
    /// ```
    pub fn ask_to_leave(&self) {
        let mut state = self.inner.shared.state.lock();
        state.is_leaving = true;
        state.is_unread = true;
    }

    /// Whether the peer may have sent what is not read any more.
    pub(crate) fn has_unread(&self) -> bool {
        self.inner.shared.state.lock().is_unread
    }

    /// Lets other tasks run between two requests while a new connection waits for room, so that
    /// one that sends many ahead does not keep it waiting.
    ///
    /// ```
    /// async fn between_requests(connection: &crank_stream::Connection) {
    ///     connection.take_turns().await;
    /// }
    /// ```
    pub async fn take_turns(&self) {
        if self.inner.table.is_full() {
            tokio::task::yield_now().await;
        }
    }

    /// Records that the head of a request has been received.
    ///
    /// ```
    /// # use crank_stream::{Connection, RequestHold};
    /// fn begin(connection: &Connection) -> RequestHold {
    ///     connection.begin_request()
    /// }
    /// ```
    #[must_use]
    pub fn begin_request(&self) -> RequestHold {
        let now = self.inner.table.now();
        let mut state = self.inner.shared.state.lock();
        state.requests += 1;
        state.is_receiving = true;
        state.is_in_head = false;
        (state.since, state.bytes, state.last_byte_at) = (now, 0, now);
        drop(state);
        RequestHold::new(self.clone())
    }

    pub(crate) fn end_receiving(&self) {
        self.inner.shared.state.lock().is_receiving = false;
    }

    pub(crate) fn leave_unread(&self) {
        self.inner.shared.state.lock().is_unread = true;
    }

    pub(crate) fn end_request(&self) {
        let now = self.inner.table.now();
        let mut state = self.inner.shared.state.lock();
        state.requests -= 1;
        state.is_receiving = false;
        (state.since, state.bytes) = (now, 0);
    }

    pub(crate) fn record_read(&self, bytes: usize) {
        let now = self.inner.table.now();
        let mut state = self.inner.shared.state.lock();
        if state.requests == 0 && !state.is_in_head {
            state.is_in_head = true;
            (state.since, state.bytes) = (now, 0);
        }
        state.last_byte_at = now;
        state.bytes += bytes as u64;
    }

    pub(crate) fn record_blocked(&self) {
        let mut state = self.inner.shared.state.lock();
        if state.blocked.is_none() {
            let since = self.inner.table.now();
            state.blocked = Some(Blocked {
                since,
                bytes: 0,
                last_byte_at: since,
                held: 0,
            });
            drop(state);
            self.charge_blocked();
        }
    }

    /// Charges the bytes that wait for the peer, for which others that are behind give way. Without
    /// room the answer goes on, because its request has run.
    fn charge_blocked(&self) {
        if self.reserve(BLOCKED_BYTES)
            && let Some(blocked) = &mut self.inner.shared.state.lock().blocked
        {
            blocked.held = BLOCKED_BYTES;
        }
    }

    pub(crate) fn record_written(&self, bytes: usize) {
        if let Some(blocked) = &mut self.inner.shared.state.lock().blocked {
            blocked.bytes += bytes as u64;
            blocked.last_byte_at = self.inner.table.now();
        }
    }

    /// Records that nothing waits for the peer any more.
    pub(crate) fn record_flushed(&self) {
        let blocked = self.inner.shared.state.lock().blocked.take();
        if let Some(blocked) = blocked {
            self.release(blocked.held);
        }
    }

    pub(crate) fn reserve(&self, bytes: u64) -> bool {
        let held = self.inner.shared.state.lock().held;
        let id = self.inner.shared.id;
        if !self.inner.table.reserve(Wish { id, held, bytes }) {
            return false;
        }
        self.inner.shared.state.lock().held += bytes;
        true
    }

    pub(crate) fn release(&self, bytes: u64) {
        let mut state = self.inner.shared.state.lock();
        if !state.is_closed {
            state.held -= bytes;
            self.inner.table.release(bytes);
        }
    }
}
