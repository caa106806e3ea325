//! The connections of one listener, within bounds: a crowd that stalls gives way to others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crank_engine::Moment;
use crank_engine::caller_budget::{
    Bounds, ConnectionUse, Timeouts, Verdict, Wish, connection_to_close, decide,
};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::connection::{Connection, Shared};

/// How often connections that are over their time are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Where all connections are in use, this part of them, the oldest, closes after its next answer.
const LEAVING_DIVISOR: usize = 4;
/// How long the listener waits for a connection that can give way before it looks again.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The connections of one listener; clones share them.
#[derive(Clone)]
pub struct Door {
    table: Arc<Table>,
}

pub(crate) struct Table {
    bounds: Bounds,
    timeouts: Mutex<Timeouts>,
    started_at: Instant,
    next_id: AtomicU64,
    /// What all connections hold, in bytes.
    held: AtomicU64,
    connections: Mutex<BTreeMap<u64, Entry>>,
    left: Notify,
    /// Whether a new connection waits for room.
    is_full: AtomicBool,
}

struct Entry {
    connection: Arc<Shared>,
    task: Option<AbortHandle>,
}

impl Door {
    /// Creates the table of a listener, without connections.
    ///
    /// ```
    /// use crank_engine::caller_budget::{Bounds, MachineLimits};
    /// let door = crank_stream::Door::new(Bounds::for_callers(MachineLimits::default()));
    /// ```
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            table: Arc::new(Table {
                bounds,
                timeouts: Mutex::default(),
                started_at: Instant::now(),
                next_id: AtomicU64::new(0),
                held: AtomicU64::new(0),
                connections: Mutex::default(),
                left: Notify::new(),
                is_full: AtomicBool::new(false),
            }),
        }
    }

    /// Sets the time-outs of all connections, open ones too.
    ///
    /// ```
    /// # use crank_engine::caller_budget::Timeouts;
    /// fn reset(door: &crank_stream::Door) {
    ///     door.set_timeouts(Timeouts::default());
    /// }
    /// ```
    pub fn set_timeouts(&self, timeouts: Timeouts) {
        *self.table.timeouts.lock() = timeouts;
    }

    /// Waits for room for one more connection: one that is stalled or idle gives way, or else the
    /// oldest one after its next answer.
    ///
    /// ```
    /// async fn enter(door: &crank_stream::Door) -> crank_stream::Connection {
    ///     door.enter().await
    /// }
    /// ```
    pub async fn enter(&self) -> Connection {
        while self.table.connections.lock().len() >= self.table.bounds.connections {
            self.table.is_full.store(true, Ordering::Relaxed);
            self.table.make_room();
            let _ = timeout(FULL_RETRY_DELAY, self.table.left.notified()).await;
        }
        self.table.is_full.store(false, Ordering::Relaxed);
        let id = self.table.next_id.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::new(Shared::new(id, self.table.now()));
        let entry = Entry {
            connection: shared.clone(),
            task: None,
        };
        self.table.connections.lock().insert(id, entry);
        Connection::new(shared, self.table.clone())
    }

    /// Closes connections that are over their time, for ever.
    ///
    /// ```
    /// fn start(door: crank_stream::Door) {
    ///     tokio::spawn(async move { door.sweep().await });
    /// }
    /// ```
    pub async fn sweep(&self) {
        let mut ticks = interval(SWEEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = self.table.now();
            let timeouts = *self.table.timeouts.lock();
            let uses = self.table.uses();
            for connection in uses.iter().filter(|found| timeouts.is_over(found, now)) {
                log::debug!(activity:? = connection.activity; "connection over its time: closed");
                self.table.close(connection.id);
            }
        }
    }
}

impl Table {
    pub(crate) fn now(&self) -> Moment {
        let elapsed = self.started_at.elapsed().as_micros();
        Moment(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    fn uses(&self) -> Vec<ConnectionUse> {
        let connections = self.connections.lock();
        let entries = connections.values();
        entries
            .filter_map(|entry| entry.connection.current())
            .collect()
    }

    fn make_room(&self) {
        if let Some(id) = connection_to_close(self.now(), &self.uses()) {
            return self.close(id);
        }
        let connections = self.connections.lock();
        let batch = (connections.len() / LEAVING_DIVISOR).max(1);
        for entry in connections.values().take(batch) {
            entry.connection.ask_to_leave();
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.is_full.load(Ordering::Relaxed)
    }

    pub(crate) fn set_task(&self, id: u64, task: AbortHandle) {
        if let Some(entry) = self.connections.lock().get_mut(&id) {
            entry.task = Some(task);
        }
    }

    /// Takes bytes from the budget; false if there is no room for them.
    pub(crate) fn reserve(&self, wish: Wish) -> bool {
        let bytes = wish.bytes;
        let all = self.held.load(Ordering::Relaxed) + bytes;
        if all > self.bounds.bytes - self.bounds.bytes_for_small {
            let now = self.now();
            match decide(now, self.bounds, wish, &self.uses()) {
                Verdict::Granted { closing } => closing.into_iter().for_each(|id| self.close(id)),
                Verdict::Refused => return false,
            }
        }
        self.held.fetch_add(bytes, Ordering::Relaxed);
        true
    }

    pub(crate) fn release(&self, bytes: u64) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Makes a connection give way: what it holds is free at once, and its task ends.
    fn close(&self, id: u64) {
        let connections = self.connections.lock();
        if let Some(entry) = connections.get(&id) {
            self.release(entry.connection.close());
            if let Some(task) = &entry.task {
                task.abort();
            }
        }
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, id: u64) {
        let entry = self.connections.lock().remove(&id);
        if let Some(entry) = entry {
            self.release(entry.connection.close());
            self.left.notify_one();
        }
    }
}
