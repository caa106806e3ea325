//! Tracks the state of the backend server beside a node from its heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::heartbeat::{Heartbeat, effective_stage};
use crank_protocol::member::{Endpoint, Stage};
use crank_protocol::{Millis, Name};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

/// A heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatReport {
    /// The service that the server runs.
    pub service: Name,
    /// The lifecycle stage of the server.
    pub stage: Stage,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// The address at which the server accepts requests: an IP address of its instance, and a port.
    pub address: SocketAddr,
    /// Identifies the server process; all fields are `None` for servers that do not report it.
    #[serde(default)]
    pub start: ProcessStart,
}

/// Identifies the process of a backend server, and orders the heartbeats of this process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessStart {
    /// The id of the server.
    #[serde(rename = "server")]
    pub server_id: Option<Arc<str>>,
    /// When the process was started: Unix time in milliseconds, by the clock of its instance.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// The sequence number, which increases with each heartbeat of the process.
    pub sequence: Option<u64>,
}

impl ProcessStart {
    fn is_same_process(&self, other: &Self) -> bool {
        self.server_id == other.server_id && self.started_at_ms == other.started_at_ms
    }
}

/// The state of the backend server beside the node, as far as the node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The service, slots and stage of the server; the stage is `Gone` if its heartbeats stop.
    pub endpoint: Endpoint,
    /// The address at which the server accepts requests.
    pub address: SocketAddr,
    /// The id of the server, if it reports one.
    pub server_id: Option<Arc<str>>,
}

/// Whether a heartbeat or a departure was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// The message is the newest one of the server and was used.
    New,
    /// A newer message, or one of a later process, was received before: nothing has changed.
    Late,
}

/// Tracks the heartbeats of the backend server beside a node; clones share the state.
#[derive(Debug, Clone)]
pub struct HeartbeatTracker {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    heartbeat_timeout: Millis,
    last: Mutex<Option<LastHeartbeat>>,
    announcement: watch::Sender<Option<Announcement>>,
}

/// The newest heartbeat of the server.
#[derive(Debug)]
struct LastHeartbeat {
    report: HeartbeatReport,
    heartbeat: Heartbeat,
    /// Whether the reported stage is known to be current. A node that has just started does not
    /// know whether the server already told the previous node process that it leaves.
    is_stage_confirmed: bool,
}

impl LastHeartbeat {
    fn stage(&self, now: Moment, heartbeat_timeout: Millis) -> Stage {
        match effective_stage(&self.heartbeat, now, heartbeat_timeout) {
            Stage::Ready if !self.is_stage_confirmed => Stage::Starting,
            stage => stage,
        }
    }
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
                heartbeat_timeout,
                last: Mutex::new(None),
                announcement: watch::Sender::new(None),
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

    /// Records a heartbeat, unless a newer one was received before.
    ///
    /// Once a server has reported that it leaves, it does not become ready again for the lifetime
    /// of its process. The first heartbeat that a node receives may be a delayed one from before
    /// the server began to leave. Therefore a server whose heartbeats have a sequence number counts as
    /// starting until a later heartbeat or a health check (see [`HeartbeatTracker::confirm_ready`])
    /// shows that it is ready.
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
    ///     },
    /// };
    /// let tracker = HeartbeatTracker::new(Millis(3_000));
    /// assert_eq!(tracker.record_heartbeat(report(2)), Heard::New);
    /// assert_eq!(tracker.record_heartbeat(report(1)), Heard::Late);
    /// ```
    pub fn record_heartbeat(&self, mut report: HeartbeatReport) -> Heard {
        let now = self.now();
        {
            let mut last = self.shared.last.lock();
            let is_stage_confirmed = last.is_some() || report.start.sequence.is_none();
            if let Some(LastHeartbeat {
                report: previous,
                heartbeat,
                ..
            }) = last.as_ref()
            {
                if self.is_late(now, previous, heartbeat, &report.start) {
                    return Heard::Late;
                }
                if previous.start.server_id.is_some()
                    && previous.start.is_same_process(&report.start)
                {
                    report.stage = report.stage.max(earliest_stage(heartbeat.stage));
                }
            }
            let heartbeat = Heartbeat {
                stage: report.stage,
                received_at: now,
                connection_refused_at: None,
            };
            *last = Some(LastHeartbeat {
                report,
                heartbeat,
                is_stage_confirmed,
            });
        }
        self.refresh();
        Heard::New
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
    ///     },
    /// });
    /// let stage = || tracker.watch().borrow().as_ref().map(|server| server.endpoint.stage);
    /// assert_eq!(stage(), Some(Stage::Starting));
    /// tracker.confirm_ready("s1");
    /// assert_eq!(stage(), Some(Stage::Ready));
    /// ```
    pub fn confirm_ready(&self, server_id: &str) {
        if let Some(last) = self.shared.last.lock().as_mut()
            && last.report.start.server_id.as_deref() == Some(server_id)
        {
            last.is_stage_confirmed = true;
        }
        self.refresh();
    }

    /// Records that a server has deregistered.
    ///
    /// Returns [`Heard::Late`] if no heartbeat has been received, or if the tracked server is another
    /// one or a later process.
    ///
    /// ```
    /// # use crank_server::{Heard, HeartbeatTracker, ProcessStart};
    /// let tracker = HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// let start = ProcessStart { server_id: Some("s1".into()), ..ProcessStart::default() };
    /// assert_eq!(tracker.record_departure(&start), Heard::Late);
    /// ```
    pub fn record_departure(&self, start: &ProcessStart) -> Heard {
        {
            let mut last = self.shared.last.lock();
            let Some(LastHeartbeat {
                report, heartbeat, ..
            }) = last.as_mut()
            else {
                return Heard::Late;
            };
            let is_earlier =
                start.started_at_ms.is_some() && start.started_at_ms < report.start.started_at_ms;
            if report.start.server_id != start.server_id || is_earlier {
                return Heard::Late;
            }
            report.stage = Stage::Gone;
            heartbeat.stage = Stage::Gone;
        }
        self.refresh();
        Heard::New
    }

    fn is_late(
        &self,
        now: Moment,
        previous: &HeartbeatReport,
        heartbeat: &Heartbeat,
        start: &ProcessStart,
    ) -> bool {
        if previous.start.is_same_process(start) {
            return start.sequence.is_some() && start.sequence <= previous.start.sequence;
        }
        // The clock of an instance may have been set back between two starts. Therefore a server
        // with an earlier start time is accepted once the heartbeats of the other one have stopped.
        let is_previous_alive =
            effective_stage(heartbeat, now, self.shared.heartbeat_timeout) != Stage::Gone;
        let is_earlier = start.started_at_ms < previous.start.started_at_ms;
        is_earlier && (is_previous_alive || previous.start.server_id == start.server_id)
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
        if let Some(last) = self.shared.last.lock().as_mut()
            && last.report.address == address
        {
            last.heartbeat.connection_refused_at = Some(now);
        }
        self.refresh();
    }

    /// Updates the state of the server by the age of its last heartbeat.
    ///
    /// ```
    /// crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000)).refresh();
    /// ```
    pub fn refresh(&self) {
        let last = self.shared.last.lock();
        let announcement = last.as_ref().map(|last| Announcement {
            endpoint: Endpoint {
                service: last.report.service.clone(),
                stage: last.stage(self.now(), self.shared.heartbeat_timeout),
                slots: last.report.slots,
            },
            address: last.report.address,
            server_id: last.report.start.server_id.clone(),
        });
        self.shared.announcement.send_if_modified(|current| {
            let is_new = *current != announcement;
            *current = announcement;
            is_new
        });
    }

    /// Returns the address of the server according to its last heartbeat.
    ///
    /// ```
    /// let tracker = crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// assert!(tracker.address().is_none());
    /// ```
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        let last = self.shared.last.lock();
        last.as_ref().map(|last| last.report.address)
    }

    fn now(&self) -> Moment {
        let micros = self.shared.started.elapsed().as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Returns the earliest stage that a later heartbeat of the same process may report.
fn earliest_stage(stage: Stage) -> Stage {
    match stage {
        Stage::Starting | Stage::Ready => Stage::Starting,
        Stage::Draining | Stage::Gone => stage,
    }
}
