//! Registration of the backend server beside a node: which heartbeats and deregistrations count.
//!
//! Messages of a server may arrive seconds late, in any order, and after the node itself has been
//! restarted. A late message must not make a server ready that has drained or deregistered since.

mod departure;
mod stated_limit;

use std::net::SocketAddr;

use crank_protocol::heartbeat::{Announcement, HeartbeatReport, ProcessStart, Statement};
use crank_protocol::member::{Endpoint, Stage};
use crank_protocol::{Millis, RequestRate};
use serde::{Deserialize, Serialize};

use crate::Moment;
use crate::heartbeat::{Heartbeat, effective_stage};
use departure::{Departure, Departures};
use stated_limit::LastStatedLimit;

/// How long a heartbeat may be on its way.
///
/// A heartbeat that arrives earlier than this after the start of the node may be older than the
/// node process. The server may have told the previous process since then that it leaves.
pub const MAX_HEARTBEAT_DELAY: Millis = Millis(5_000);

/// Whether a heartbeat or a deregistration was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Heard {
    /// The message is the newest one of the server and was used.
    New,
    /// A newer message, or one of a later process, was received before: nothing has changed.
    Late,
}

/// What a node knows of the backend server beside it.
///
/// ```
/// use crank_engine::Moment;
/// use crank_engine::registration::{Heard, Registration};
/// use crank_protocol::heartbeat::{HeartbeatReport, ProcessStart};
/// use crank_protocol::{Millis, Name, member::Stage};
/// let start = ProcessStart {
///     server_id: Some("s1".into()),
///     started_at_ms: Some(7),
///     sequence: Some(1),
///     release: None,
/// };
/// let report = HeartbeatReport {
///     service: Name::new("recipes").unwrap(),
///     stage: Stage::Ready,
///     slots: 6,
///     address: ([127, 0, 0, 1], 8_080).into(),
///     start: start.clone(),
/// };
/// let mut registration = Registration::new(Millis(3_000), Moment(0));
/// assert_eq!(registration.record_departure(&start, 9), Heard::New);
/// assert_eq!(registration.record_heartbeat(report, Moment(1)), Heard::Late);
/// ```
#[derive(Debug)]
pub struct Registration {
    node_started_at: Moment,
    heartbeat_timeout: Millis,
    last: Option<LastHeartbeat>,
    departures: Departures,
    /// The processes that have stated in a response that they leave.
    leaving: Departures,
    limit: LastStatedLimit,
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

impl Registration {
    /// Creates the registration of a node that has started at `now`. A server is considered gone
    /// if no heartbeat arrives for `heartbeat_timeout`.
    ///
    /// ```
    /// use crank_engine::{Moment, registration::Registration};
    /// let registration = Registration::new(crank_protocol::Millis(3_000), Moment(0));
    /// assert!(registration.announcement(Moment(0)).is_none());
    /// ```
    #[must_use]
    pub fn new(heartbeat_timeout: Millis, now: Moment) -> Self {
        Self {
            node_started_at: now,
            heartbeat_timeout,
            last: None,
            departures: Departures::default(),
            leaving: Departures::default(),
            limit: LastStatedLimit::default(),
        }
    }

    /// Records a heartbeat, unless a newer message was received before.
    ///
    /// A process that has deregistered or has begun to drain does not become ready again. A server
    /// whose heartbeats have a sequence number counts as starting until a health check shows that
    /// it is ready (see [`Registration::confirm_ready`]), or until two heartbeats have arrived, the
    /// last one later than [`MAX_HEARTBEAT_DELAY`] after the start of the node.
    ///
    /// ```
    /// # use crank_engine::{Moment, registration::{Heard, Registration}};
    /// # use crank_protocol::{Millis, Name, member::Stage};
    /// # use crank_protocol::heartbeat::{HeartbeatReport, ProcessStart};
    /// let report = HeartbeatReport {
    ///     service: Name::new("recipes").unwrap(),
    ///     stage: Stage::Ready,
    ///     slots: 6,
    ///     address: ([127, 0, 0, 1], 8_080).into(),
    ///     start: ProcessStart { sequence: Some(1), ..ProcessStart::default() },
    /// };
    /// let mut registration = Registration::new(Millis(3_000), Moment(0));
    /// assert_eq!(registration.record_heartbeat(report.clone(), Moment(1)), Heard::New);
    /// assert_eq!(registration.record_heartbeat(report, Moment(2)), Heard::Late);
    /// ```
    pub fn record_heartbeat(&mut self, mut report: HeartbeatReport, now: Moment) -> Heard {
        if self.is_late(&report.start, now) {
            return Heard::Late;
        }
        let is_stage_confirmed = self.is_stage_confirmed(&report.start, now);
        if let Some(last) = &self.last
            && last.report.start.server_id.is_some()
            && is_same_process(&last.report.start, &report.start)
        {
            report.stage = report.stage.max(earliest_stage(last.heartbeat.stage));
        }
        if self.leaving.include(&report.start) {
            report.stage = report.stage.max(Stage::Draining);
        }
        let heartbeat = Heartbeat {
            stage: report.stage,
            received_at: now,
            connection_refused_at: None,
        };
        self.last = Some(LastHeartbeat {
            report,
            heartbeat,
            is_stage_confirmed,
        });
        Heard::New
    }

    /// Records that a server has deregistered; `unix_now_ms` is the time of day of the instance.
    ///
    /// The departure is remembered even if no heartbeat of the server has been received, because a
    /// heartbeat that was sent before may still arrive. A server that does not report its start
    /// was started before `unix_now_ms`, by the same clock.
    ///
    /// ```
    /// # use crank_engine::{Moment, registration::{Heard, Registration}};
    /// # use crank_protocol::heartbeat::ProcessStart;
    /// let start = ProcessStart { server_id: Some("s1".into()), ..ProcessStart::default() };
    /// let mut registration = Registration::new(crank_protocol::Millis(3_000), Moment(0));
    /// assert_eq!(registration.record_departure(&start, 9), Heard::New);
    /// assert_eq!(registration.record_departure(&start, 9), Heard::Late);
    /// ```
    pub fn record_departure(&mut self, start: &ProcessStart, unix_now_ms: u64) -> Heard {
        let same_server = self
            .last
            .as_mut()
            .filter(|last| last.report.start.server_id == start.server_id);
        let known_start = same_server
            .as_ref()
            .and_then(|last| last.report.start.started_at_ms);
        let is_earlier = start.started_at_ms.is_some() && start.started_at_ms < known_start;
        let departs = same_server.filter(|_| !is_earlier);
        let has_departed = departs.is_some();
        if let Some(last) = departs {
            last.report.stage = Stage::Gone;
            last.heartbeat.stage = Stage::Gone;
        }
        let Some(server_id) = start.server_id.clone() else {
            return if has_departed {
                Heard::New
            } else {
                Heard::Late
            };
        };
        self.departures.record(Departure {
            server_id,
            started_by_ms: start.started_at_ms.or(known_start).unwrap_or(unix_now_ms),
        })
    }

    /// Records what the server with this id states about itself in the response to a request that was
    /// sent at `sent_at`; `unix_now_ms` is the time of day of the instance.
    ///
    /// A server that states that it leaves counts as draining, and no heartbeat of the same process
    /// makes it ready again. What another server states than the one whose heartbeats are
    /// received is ignored; without an id it is taken for that one.
    ///
    /// ```
    /// # use crank_engine::{Moment, registration::Registration};
    /// use crank_protocol::heartbeat::{StatedLimit, Statement};
    /// let mut registration = Registration::new(crank_protocol::Millis(3_000), Moment(0));
    /// let limit = StatedLimit::Limited(crank_protocol::RequestRate(17_300));
    /// let statement = Statement { limit, is_leaving: false };
    /// registration.record_statement(Moment(2), Moment(1), Some("s1"), statement, 9);
    /// assert_eq!(registration.stated_rate(), None);
    /// ```
    pub fn record_statement(
        &mut self,
        now: Moment,
        sent_at: Moment,
        server_id: Option<&str>,
        statement: Statement,
        unix_now_ms: u64,
    ) {
        let Some(last) = self.last.as_mut() else {
            return;
        };
        if server_id.is_some() && server_id != last.report.start.server_id.as_deref() {
            return;
        }
        if statement.is_leaving {
            last.heartbeat.stage = last.heartbeat.stage.max(Stage::Draining);
            last.report.stage = last.report.stage.max(Stage::Draining);
            if let Some(server_id) = last.report.start.server_id.clone() {
                self.leaving.record(Departure {
                    server_id,
                    started_by_ms: last.report.start.started_at_ms.unwrap_or(unix_now_ms),
                });
            }
        }
        self.limit.record(now, sent_at, statement.limit);
    }

    /// Returns the rate of requests that the server states as its limit, if it states one.
    ///
    /// ```
    /// # use crank_engine::{Moment, registration::Registration};
    /// let registration = Registration::new(crank_protocol::Millis(3_000), Moment(0));
    /// assert_eq!(registration.stated_rate(), None);
    /// ```
    #[must_use]
    pub fn stated_rate(&self) -> Option<RequestRate> {
        self.limit.rate()
    }

    /// Records a successful health check: the server with this id is ready and is not leaving.
    ///
    /// ```
    /// # use crank_engine::{Moment, registration::Registration};
    /// let mut registration = Registration::new(crank_protocol::Millis(3_000), Moment(0));
    /// registration.confirm_ready("s1");
    /// ```
    pub fn confirm_ready(&mut self, server_id: &str) {
        if let Some(last) = self.last.as_mut()
            && last.report.start.server_id.as_deref() == Some(server_id)
        {
            last.is_stage_confirmed = true;
        }
    }

    /// Records that the server at `address` refused a connection: it counts as gone until its next
    /// heartbeat.
    ///
    /// ```
    /// # use crank_engine::{Moment, registration::Registration};
    /// let mut registration = Registration::new(crank_protocol::Millis(3_000), Moment(0));
    /// registration.record_refused_connection(([127, 0, 0, 1], 8_080).into(), Moment(1));
    /// ```
    pub fn record_refused_connection(&mut self, address: SocketAddr, now: Moment) {
        if let Some(last) = self.last.as_mut()
            && last.report.address == address
        {
            last.heartbeat.connection_refused_at = Some(now);
        }
    }

    /// Returns the state of the server at `now`; `None` until its first heartbeat.
    ///
    /// ```
    /// # use crank_engine::{Moment, registration::Registration};
    /// let registration = Registration::new(crank_protocol::Millis(3_000), Moment(0));
    /// assert!(registration.announcement(Moment(1)).is_none());
    /// ```
    #[must_use]
    pub fn announcement(&self, now: Moment) -> Option<Announcement> {
        self.last.as_ref().map(|last| Announcement {
            endpoint: Endpoint {
                service: last.report.service.clone(),
                stage: last.stage(now, self.heartbeat_timeout),
                slots: last.report.slots,
                release: last.report.start.release.clone(),
            },
            address: last.report.address,
            server_id: last.report.start.server_id.clone(),
        })
    }

    fn is_stage_confirmed(&self, start: &ProcessStart, now: Moment) -> bool {
        let is_second = self.last.is_some();
        let is_sent_to_this_node = now.since(self.node_started_at) > MAX_HEARTBEAT_DELAY;
        let was_confirmed = self.last.as_ref().is_some_and(|last| {
            last.is_stage_confirmed && last.report.start.server_id == start.server_id
        });
        start.sequence.is_none() || was_confirmed || is_second && is_sent_to_this_node
    }

    fn is_late(&self, start: &ProcessStart, now: Moment) -> bool {
        if self.departures.include(start) {
            return true;
        }
        let Some(LastHeartbeat {
            report: previous,
            heartbeat,
            ..
        }) = &self.last
        else {
            return false;
        };
        if is_same_process(&previous.start, start) {
            return start.sequence.is_some() && start.sequence <= previous.start.sequence;
        }
        // The clock of an instance may have been set back between two starts. Therefore a server
        // with an earlier start time is accepted once the heartbeats of the other one have stopped.
        let is_previous_alive =
            effective_stage(heartbeat, now, self.heartbeat_timeout) != Stage::Gone;
        let is_earlier = start.started_at_ms < previous.start.started_at_ms;
        is_earlier && (is_previous_alive || previous.start.server_id == start.server_id)
    }
}

fn is_same_process(start: &ProcessStart, other: &ProcessStart) -> bool {
    start.server_id == other.server_id && start.started_at_ms == other.started_at_ms
}

/// Returns the earliest stage that a later heartbeat of the same process may report.
fn earliest_stage(stage: Stage) -> Stage {
    match stage {
        Stage::Starting | Stage::Ready => Stage::Starting,
        Stage::Draining | Stage::Gone => stage,
    }
}
