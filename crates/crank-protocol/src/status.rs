//! Reports for operators: nodes, versions, refused folders and the history.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

use crate::config::{RateLimit, Stamp, Version};
use crate::member::Member;
use crate::{Millis, Name};

/// The status that a node reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeStatus {
    /// The node's membership entry.
    pub member: Member,
    /// The configuration in force on the node.
    pub applied: Option<Stamp>,
    /// Whether the node accepts requests.
    pub ready: bool,
    /// How many requests its backend server runs or has waiting in the queue.
    pub in_flight: u32,
    /// The address at which the node answers operators.
    pub operators: Option<SocketAddr>,
}

/// A node's entry in the status of the mesh.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeReport {
    /// The node answered with its status.
    Node(NodeStatus),
    /// The node did not answer in time; this is its membership entry as the mesh sees it.
    Silent(Member),
}

/// The client accounts as one node sees them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeAccounts {
    /// The name of the node.
    pub node: Name,
    /// The version of the configuration that holds on the node; absent before the first one.
    pub version: Option<Version>,
    /// The time over which recent requests are counted.
    pub window: Millis,
    /// The accounts in force and those of which keys were taken back, by name.
    pub accounts: Vec<AccountStatus>,
}

/// A client account as one node sees it. Its keys are counted, never shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountStatus {
    /// The name of the account.
    pub account: Name,
    /// How many keys are valid.
    pub keys: u32,
    /// How many keys were taken back while the node ran, and are not valid again.
    pub keys_taken_back: u32,
    /// The rate limit in force, if there is one.
    pub limit: Option<RateLimit>,
    /// The node that divides the rate limit, as far as this one knows it.
    pub home: Option<Name>,
    /// The account's recent requests at this node; absent if they are only counted together with
    /// those of other accounts.
    pub recent: Option<RecentRequests>,
}

/// The requests of a client account at one node within a short time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecentRequests {
    /// Requests that were let in.
    pub admitted: u64,
    /// Requests refused because the account had used up its rate limit.
    pub over_rate: u64,
}

/// A fault in a folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The name of the file; empty if the fault concerns the folder as a whole.
    pub file: Arc<str>,
    /// The line number, from 1; 0 if the fault does not belong to a single line.
    pub line: u32,
    /// The section as written, such as `route tickets`; empty if the fault is outside a section.
    pub section: Arc<str>,
    /// The key; empty if the fault does not concern a key.
    pub key: Arc<str>,
    /// What is wrong, and how to fix it.
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
        let location = format!("{} {}", self.section, self.key);
        match location.trim() {
            "" => {}
            location => write!(f, "{location}: ")?,
        }
        f.write_str(&self.problem)
    }
}

/// The result of the last time that the folder was read and checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The folder was accepted; it is in force or being distributed.
    Accepted {
        /// The accepted configuration.
        stamp: Stamp,
        /// When the folder was accepted (wall-clock time).
        #[serde(with = "time::serde::rfc3339")]
        at: OffsetDateTime,
    },
    /// The whole folder was refused; the previously accepted configuration stays in force.
    Refused {
        /// All faults that were found.
        faults: Vec<Fault>,
        /// When the folder was refused (wall-clock time).
        #[serde(with = "time::serde::rfc3339")]
        at: OffsetDateTime,
    },
}

/// An accepted configuration in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// The version and digest of the configuration.
    pub stamp: Stamp,
    /// When the configuration was accepted (wall-clock time).
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// The node that published the configuration.
    pub publisher: Name,
}

/// The status of the whole mesh, as one node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshStatus {
    /// The name of the owner.
    pub account: Name,
    /// The node that produced this status.
    pub asked: Name,
    /// The head row in the store; absent if the store is down or nothing has been accepted yet.
    pub head: Option<Stamp>,
    /// Whether the store answered.
    pub store_up: bool,
    /// The last refused folder, until a folder is accepted.
    pub refused: Option<Verdict>,
    /// The status of every node.
    pub nodes: Vec<NodeReport>,
    /// Whether the head is in force on every node that is neither dead nor left.
    pub in_force: bool,
    /// The highest version that a node holds.
    pub highest: Option<Version>,
    /// How long it took to collect the status.
    pub took: Millis,
}
