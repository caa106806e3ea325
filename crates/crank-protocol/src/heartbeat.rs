//! Heartbeats of the backend server beside a node.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::member::{Endpoint, Stage};
use crate::{Name, RequestRate};

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
    /// The release of the software that the process runs.
    pub release: Option<Arc<str>>,
}

/// The state of the backend server beside a node, as far as the node knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service, slots and stage of the server; the stage is `Gone` if its heartbeats stop.
    pub endpoint: Endpoint,
    /// The address at which the server accepts requests.
    pub address: SocketAddr,
    /// The id of the server, if it reports one.
    pub server_id: Option<Arc<str>>,
}

/// What a backend server states about itself in the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Statement {
    /// The limit on requests from all nodes together.
    pub limit: StatedLimit,
    /// Whether the server says that it leaves.
    pub is_leaving: bool,
}

/// The limit on requests that a response of a backend server states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatedLimit {
    /// The response says nothing about limits, as one without the header of a whole run.
    #[default]
    Unknown,
    /// The server has no limit.
    Unlimited,
    /// The server takes this rate.
    Limited(RequestRate),
}
