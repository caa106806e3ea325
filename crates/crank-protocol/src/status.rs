//! What operators are told: nodes, versions, refused folders, history.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

use crate::config::{Stamp, Version};
use crate::member::Member;
use crate::{Millis, Name};

/// What one node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeStatus {
    /// Its membership entry.
    pub member: Member,
    /// The configuration in force on it.
    pub applied: Option<Stamp>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Requests that its backend server runs or that wait for it.
    pub in_flight: u32,
    /// Where it answers operators.
    pub operators: Option<SocketAddr>,
}

/// What a node knows of another when asked for the status of the mesh.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeReport {
    /// It answered.
    Node(NodeStatus),
    /// It did not answer in time; this is what the mesh believes.
    Silent(Member),
}

/// A fault in a folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The file.
    pub file: Arc<str>,
    /// The line, from 1; 0 where the fault is not in one line.
    pub line: u32,
    /// The section as written, such as `route tickets`; empty where there is none.
    pub section: Arc<str>,
    /// The key; empty where there is none.
    pub key: Arc<str>,
    /// What is wrong and what to do.
    pub problem: Arc<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = if self.file.is_empty() {
            "folder"
        } else {
            &self.file
        };
        f.write_str(file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        let place = format!("{} {}", self.section, self.key);
        match place.trim() {
            "" => {}
            place => write!(f, "{place}: ")?,
        }
        f.write_str(&self.problem)
    }
}

/// What became of the folder's last reading.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is in force or on its way.
    Accepted {
        /// As this.
        stamp: Stamp,
        /// When (wall time).
        #[serde(with = "time::serde::rfc3339")]
        at: OffsetDateTime,
    },
    /// It was refused whole; what was accepted before stays.
    Refused {
        /// Every fault found.
        faults: Vec<Fault>,
        /// When (wall time).
        #[serde(with = "time::serde::rfc3339")]
        at: OffsetDateTime,
    },
}

/// One accepted version in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// Its stamp.
    pub stamp: Stamp,
    /// When it was accepted (wall time).
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// The node that published it.
    pub publisher: Name,
}

/// The status of the whole mesh as one node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshStatus {
    /// The client account.
    pub account: Name,
    /// The node that was asked.
    pub asked: Name,
    /// The head row in the store; absent while the store is down or nothing was accepted.
    pub head: Option<Stamp>,
    /// Whether the store answered.
    pub store_up: bool,
    /// The last refused folder, until another is accepted.
    pub refused: Option<Verdict>,
    /// Every node.
    pub nodes: Vec<NodeReport>,
    /// Whether the head is in force on every node that is not gone.
    pub in_force: bool,
    /// The highest version that any node holds.
    pub highest: Option<Version>,
    /// How long the question took.
    pub took: Millis,
}
