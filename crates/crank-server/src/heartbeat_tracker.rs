//! What a node believes of the backend server beside it, from its heartbeats.

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

/// A backend server's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatReport {
    /// The service it serves.
    pub service: Name,
    /// Its stage of life.
    pub stage: Stage,
    /// Requests it runs at once.
    pub slots: u32,
    /// Where it takes requests: an IP number of its instance and a port.
    pub address: SocketAddr,
    /// Which start of which server this is; empty where servers do not tell.
    #[serde(default)]
    pub start: ProcessStart,
}

/// One start of a backend server, and a heartbeat's place in it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessStart {
    /// The server's id.
    #[serde(rename = "server")]
    pub server_id: Option<Arc<str>>,
    /// When it was started: Unix time in milliseconds, by its own clock.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// Grows with each heartbeat of one start.
    pub sequence: Option<u64>,
}

impl ProcessStart {
    fn is_same(&self, other: &Self) -> bool {
        self.server_id == other.server_id && self.started_at_ms == other.started_at_ms
    }
}

/// What the node believes of the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Its service, slots and stage; a silent server is gone.
    pub endpoint: Endpoint,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The server's id, where it tells one.
    pub server_id: Option<Arc<str>>,
}

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It is the newest word of the server.
    New,
    /// A newer one, or one of a later start, came before it: nothing has changed.
    Late,
}

/// The heartbeats of the backend server beside a node; cloning shares it.
#[derive(Debug, Clone)]
pub struct HeartbeatTracker {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    silence: Millis,
    last: Mutex<Option<Last>>,
    believed: watch::Sender<Option<Announcement>>,
}

/// The newest word of the server.
#[derive(Debug)]
struct Last {
    report: HeartbeatReport,
    heartbeat: Heartbeat,
    /// Whether it is certain that the server has not said meanwhile that it leaves: a node that has
    /// just started cannot know what was said to the process before it.
    is_proved: bool,
}

impl Last {
    fn stage(&self, now: Moment, silence: Millis) -> Stage {
        match effective_stage(&self.heartbeat, now, silence) {
            Stage::Ready if !self.is_proved => Stage::Starting,
            stage => stage,
        }
    }
}

impl HeartbeatTracker {
    /// A roster that takes a server for gone after this much silence.
    ///
    /// ```
    /// let roster = crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// assert!(roster.watch().borrow().is_none());
    /// ```
    #[must_use]
    pub fn new(silence: Millis) -> Self {
        Self {
            shared: Arc::new(Shared {
                started: Instant::now(),
                silence,
                last: Mutex::new(None),
                believed: watch::Sender::new(None),
            }),
        }
    }

    /// What is believed now, and each change of it; nothing before the first heartbeat.
    ///
    /// ```
    /// # async fn example(roster: crank_server::HeartbeatTracker) {
    /// let _ = roster.watch().changed().await;
    /// # }
    /// ```
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Option<Announcement>> {
        self.shared.believed.subscribe()
    }

    /// Takes a heartbeat, unless a newer one came before it.
    ///
    /// A server that has said that it leaves stays leaving for the rest of its start. The first
    /// heartbeat that a node gets may be one from before that, come late: a server with an id is taken
    /// for starting until a later heartbeat or its health, see [`HeartbeatTracker::confirm_ready`], says that it is
    /// ready.
    ///
    /// ```
    /// # use crank_protocol::{Millis, Name, member::Stage};
    /// use crank_server::{Heard, HeartbeatReport, HeartbeatTracker, ProcessStart};
    /// let report = |sequence| HeartbeatReport {
    ///     service: Name::new("recipes").unwrap(),
    ///     stage: Stage::Ready,
    ///     slots: 6,
    ///     address: ([127, 0, 0, 1], 8_080).into(),
    ///     start: ProcessStart { server_id: Some("s1".into()), started_at_ms: Some(7), sequence: Some(sequence) },
    /// };
    /// let roster = HeartbeatTracker::new(Millis(3_000));
    /// assert_eq!(roster.record_heartbeat(report(2)), Heard::New);
    /// assert_eq!(roster.record_heartbeat(report(1)), Heard::Late);
    /// ```
    pub fn record_heartbeat(&self, mut report: HeartbeatReport) -> Heard {
        let now = self.now();
        {
            let mut last = self.shared.last.lock();
            let is_proved = last.is_some() || report.start.sequence.is_none();
            if let Some(Last {
                report: held,
                heartbeat,
                ..
            }) = last.as_ref()
            {
                if self.is_late(now, held, heartbeat, &report.start) {
                    return Heard::Late;
                }
                if held.start.server_id.is_some() && held.start.is_same(&report.start) {
                    report.stage = report.stage.max(leaving(heartbeat.stage));
                }
            }
            let heartbeat = Heartbeat {
                stage: report.stage,
                received_at: now,
                connection_refused_at: None,
            };
            *last = Some(Last {
                report,
                heartbeat,
                is_proved,
            });
        }
        self.refresh();
        Heard::New
    }

    /// The server of this id has just said that it is well and does not leave.
    ///
    /// ```
    /// # use crank_protocol::{Millis, Name, member::Stage};
    /// # use crank_server::{HeartbeatReport, HeartbeatTracker, ProcessStart};
    /// let roster = HeartbeatTracker::new(Millis(3_000));
    /// roster.record_heartbeat(HeartbeatReport {
    ///     service: Name::new("recipes").unwrap(),
    ///     stage: Stage::Ready,
    ///     slots: 6,
    ///     address: ([127, 0, 0, 1], 8_080).into(),
    ///     start: ProcessStart { server_id: Some("s1".into()), started_at_ms: Some(7), sequence: Some(2) },
    /// });
    /// let stage = || roster.watch().borrow().as_ref().map(|believed| believed.endpoint.stage);
    /// assert_eq!(stage(), Some(Stage::Starting));
    /// roster.confirm_ready("s1");
    /// assert_eq!(stage(), Some(Stage::Ready));
    /// ```
    pub fn confirm_ready(&self, server: &str) {
        if let Some(last) = self.shared.last.lock().as_mut()
            && last.report.start.server_id.as_deref() == Some(server)
        {
            last.is_proved = true;
        }
        self.refresh();
    }

    /// Takes a server's word that it leaves for good.
    ///
    /// ```
    /// # use crank_server::{Heard, HeartbeatTracker, ProcessStart};
    /// let roster = HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// let start = ProcessStart { server_id: Some("s1".into()), ..ProcessStart::default() };
    /// assert_eq!(roster.record_departure(&start), Heard::Late);
    /// ```
    pub fn record_departure(&self, start: &ProcessStart) -> Heard {
        {
            let mut last = self.shared.last.lock();
            let Some(Last {
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
        held: &HeartbeatReport,
        heartbeat: &Heartbeat,
        start: &ProcessStart,
    ) -> bool {
        if held.start.is_same(start) {
            return start.sequence.is_some() && start.sequence <= held.start.sequence;
        }
        // The clock of an instance may have been set back between two starts, so that a server
        // born earlier is heard once the other has fallen silent.
        let is_heard = effective_stage(heartbeat, now, self.shared.silence) != Stage::Gone;
        let is_earlier = start.started_at_ms < held.start.started_at_ms;
        is_earlier && (is_heard || held.start.server_id == start.server_id)
    }

    /// Nothing listens at the address: the server there is gone until its next heartbeat.
    ///
    /// ```
    /// let roster = crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// roster.record_refused_connection(([127, 0, 0, 1], 8_080).into());
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

    /// Looks again at how old the last heartbeat is.
    ///
    /// ```
    /// crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000)).refresh();
    /// ```
    pub fn refresh(&self) {
        let last = self.shared.last.lock();
        let believed = last.as_ref().map(|last| Announcement {
            endpoint: Endpoint {
                service: last.report.service.clone(),
                stage: last.stage(self.now(), self.shared.silence),
                slots: last.report.slots,
            },
            address: last.report.address,
            server_id: last.report.start.server_id.clone(),
        });
        self.shared.believed.send_if_modified(|current| {
            let is_new = *current != believed;
            *current = believed;
            is_new
        });
    }

    /// Where the last heartbeat says that the server is.
    ///
    /// ```
    /// let roster = crank_server::HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// assert!(roster.address().is_none());
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

/// The stage that a start does not go back behind.
fn leaving(stage: Stage) -> Stage {
    match stage {
        Stage::Starting | Stage::Ready => Stage::Starting,
        Stage::Draining | Stage::Gone => stage,
    }
}
