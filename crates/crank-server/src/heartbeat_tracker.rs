//! Tracks the state of the backend server beside a node from its heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use crank_engine::Moment;
use crank_engine::registration::{Heard, Registration};
use crank_protocol::heartbeat::{Announcement, HeartbeatReport, ProcessStart, Statement};
use crank_protocol::member::Stage;
use crank_protocol::{Millis, RequestRate};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

/// Tracks the heartbeats of the backend server beside a node; clones share the state.
///
/// Which messages count is decided by [`Registration`].
#[derive(Debug, Clone)]
pub struct HeartbeatTracker {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    registration: Mutex<Registration>,
    announcement: watch::Sender<Option<Announcement>>,
    stated_rate: watch::Sender<Option<RequestRate>>,
}

impl HeartbeatTracker {
    /// Creates a tracker that considers a server gone if no heartbeat arrives for
    /// `heartbeat_timeout`.
    ///
    /// ```
    /// let tracker = crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// assert!(tracker.watch().borrow().is_none());
    /// ```
    #[must_use]
    pub fn new(heartbeat_timeout: Millis) -> Self {
        Self {
            shared: Arc::new(Shared {
                started: Instant::now(),
                registration: Mutex::new(Registration::new(heartbeat_timeout, Moment(0))),
                announcement: watch::Sender::new(None),
                stated_rate: watch::Sender::new(None),
            }),
        }
    }

    /// Watches the state of the server; `None` until the first heartbeat.
    ///
    /// ```
    /// # async fn example(tracker: crank_server::HeartbeatTracker) {
    /// let _ = tracker.watch().changed().await;
    /// # }
    /// ```
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Option<Announcement>> {
        self.shared.announcement.subscribe()
    }

    /// Watches the rate of requests that the server states as its limit; `None` if it states none.
    ///
    /// ```
    /// let tracker = crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// assert!(tracker.watch_rate().borrow().is_none());
    /// ```
    #[must_use]
    pub fn watch_rate(&self) -> watch::Receiver<Option<RequestRate>> {
        self.shared.stated_rate.subscribe()
    }

    /// Records what the server with this id states in the response to a request that was sent at
    /// `sent_at`; see [`Registration::record_statement`].
    ///
    /// ```
    /// # use crank_server::{HeartbeatTracker, Statement};
    /// let tracker = HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// let sent_at = tokio::time::Instant::now();
    /// tracker.record_statement(sent_at, Some("s1"), Statement::default());
    /// ```
    pub fn record_statement(
        &self,
        sent_at: Instant,
        server_id: Option<&str>,
        statement: Statement,
    ) {
        let now = self.now();
        let sent_at = self.to_moment(sent_at);
        let mut registration = self.shared.registration.lock();
        registration.record_statement(now, sent_at, server_id, statement, unix_now_ms());
        let rate = registration.stated_rate();
        let is_changed = self.shared.stated_rate.send_if_modified(|current| {
            let is_new = *current != rate;
            *current = rate;
            is_new
        });
        drop(registration);
        if is_changed {
            log::info!(server:? = server_id, rate:? = rate; "backend server changes its limit");
        }
        if statement.is_leaving && self.publish() {
            log::info!(server:? = server_id; "backend server states that it leaves");
        }
    }

    /// Records a heartbeat, unless a newer one was received before; see
    /// [`Registration::record_heartbeat`].
    ///
    /// ```
    /// # use crank_protocol::{Millis, Name, member::Stage};
    /// use crank_server::{Heard, HeartbeatReport, HeartbeatTracker, ProcessStart};
    /// let report = |sequence| HeartbeatReport {
    ///     service: Name::new("recipes").unwrap(),
    ///     stage: Stage::Ready,
    ///     slots: 6,
    ///     address: ([127, 0, 0, 1], 8_080).into(),
    ///     start: ProcessStart {
    ///         server_id: Some("s1".into()),
    ///         started_at_ms: Some(7),
    ///         sequence: Some(sequence),
    ///         release: None,
    ///     },
    /// };
    /// let tracker = HeartbeatTracker::new(Millis(3_000));
    /// assert_eq!(tracker.record_heartbeat(report(2)), Heard::New);
    /// assert_eq!(tracker.record_heartbeat(report(1)), Heard::Late);
    /// ```
    pub fn record_heartbeat(&self, report: HeartbeatReport) -> Heard {
        let (reported, start) = (report.stage, report.start.clone());
        let heard = self
            .shared
            .registration
            .lock()
            .record_heartbeat(report, self.now());
        if self.publish() {
            log::info!(
                server:? = start.server_id,
                started_at_ms:? = start.started_at_ms,
                sequence:? = start.sequence,
                reported:? = reported,
                stage:? = self.stage();
                "heartbeat changes the state of the backend server"
            );
        }
        heard
    }

    /// Records a successful health check: the server with this id is ready and is not leaving.
    ///
    /// ```
    /// # use crank_protocol::{Millis, Name, member::Stage};
    /// # use crank_server::{HeartbeatReport, HeartbeatTracker, ProcessStart};
    /// let tracker = HeartbeatTracker::new(Millis(3_000));
    /// tracker.record_heartbeat(HeartbeatReport {
    ///     service: Name::new("recipes").unwrap(),
    ///     stage: Stage::Ready,
    ///     slots: 6,
    ///     address: ([127, 0, 0, 1], 8_080).into(),
    ///     start: ProcessStart {
    ///         server_id: Some("s1".into()),
    ///         started_at_ms: Some(7),
    ///         sequence: Some(2),
    ///         release: None,
    ///     },
    /// });
    /// let stage = || tracker.watch().borrow().as_ref().map(|server| server.endpoint.stage);
    /// assert_eq!(stage(), Some(Stage::Starting));
    /// tracker.confirm_ready("s1");
    /// assert_eq!(stage(), Some(Stage::Ready));
    /// ```
    pub fn confirm_ready(&self, server_id: &str) {
        self.shared.registration.lock().confirm_ready(server_id);
        self.refresh();
    }

    /// Records that a server has deregistered: none of its heartbeats counts from now on, also if
    /// none has been received yet; see [`Registration::record_departure`].
    ///
    /// Returns [`Heard::Late`] if that was known.
    ///
    /// ```
    /// # use crank_server::{Heard, HeartbeatTracker, ProcessStart};
    /// let tracker = HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// let start = ProcessStart { server_id: Some("s1".into()), ..ProcessStart::default() };
    /// assert_eq!(tracker.record_departure(&start), Heard::New);
    /// assert_eq!(tracker.record_departure(&start), Heard::Late);
    /// ```
    pub fn record_departure(&self, start: &ProcessStart) -> Heard {
        let mut registration = self.shared.registration.lock();
        let heard = registration.record_departure(start, unix_now_ms());
        drop(registration);
        self.refresh();
        heard
    }

    /// Records that the server at `address` refused a connection: it counts as gone until its next
    /// heartbeat.
    ///
    /// ```
    /// let tracker = crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// tracker.record_refused_connection(([127, 0, 0, 1], 8_080).into());
    /// ```
    pub fn record_refused_connection(&self, address: SocketAddr) {
        let now = self.now();
        self.shared
            .registration
            .lock()
            .record_refused_connection(address, now);
        self.refresh();
    }

    /// Updates the state of the server by the age of its last heartbeat.
    ///
    /// ```
    /// crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000)).refresh();
    /// ```
    pub fn refresh(&self) {
        self.publish();
    }

    /// Publishes the state of the server; returns whether it has changed.
    fn publish(&self) -> bool {
        let registration = self.shared.registration.lock();
        let announcement = registration.announcement(self.now());
        self.shared.announcement.send_if_modified(|current| {
            let is_new = *current != announcement;
            *current = announcement;
            is_new
        })
    }

    /// Returns the address of the server according to its last heartbeat.
    ///
    /// ```
    /// let tracker = crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// assert!(tracker.address().is_none());
    /// ```
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        let announcement = self.shared.announcement.borrow();
        announcement.as_ref().map(|server| server.address)
    }

    fn stage(&self) -> Option<Stage> {
        let announcement = self.shared.announcement.borrow();
        announcement.as_ref().map(|server| server.endpoint.stage)
    }

    fn now(&self) -> Moment {
        self.to_moment(Instant::now())
    }

    fn to_moment(&self, instant: Instant) -> Moment {
        let since_start = instant.saturating_duration_since(self.shared.started);
        Moment(u64::try_from(since_start.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Returns the time of day in milliseconds since 1970.
fn unix_now_ms() -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(time) => u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        Err(error) => {
            log::warn!(error:% = error; "the clock stands before 1970: taken for the end of time");
            u64::MAX
        }
    }
}
