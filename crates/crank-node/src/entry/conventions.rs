//! What differs from one platform to another at the entry.

use std::sync::Arc;

use crank_protocol::{HttpDialect, Name, Permille};

/// What differs from one platform to another at the entry; the default is the project's own.
#[derive(Debug, Clone, Default)]
pub struct Conventions {
    /// The header names of callers and backend servers.
    pub dialect: Arc<HttpDialect>,
    /// The service beside this node, as its requests are marked.
    pub calling_service: Option<Name>,
    /// What bounds the requests that reach backend servers more than once.
    pub repeat_limit: Option<RepeatLimit>,
}

/// What all nodes together may let come to a service's backend servers more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatLimit {
    /// The share of the service's requests.
    pub share: Permille,
    /// What is allowed beyond it, in thousandths of a repeat, over all nodes.
    pub slack: u64,
}

impl RepeatLimit {
    /// The part of one of so many nodes, which need not ask each other.
    ///
    /// ```
    /// use crank_node::entry::RepeatLimit;
    /// use crank_protocol::Permille;
    /// let repeat_limit = RepeatLimit { share: Permille(200), slack: 56_000 };
    /// assert_eq!(repeat_limit.slack_per_node(28), 2_000);
    /// ```
    #[must_use]
    pub fn slack_per_node(self, nodes: u64) -> u64 {
        self.slack / nodes.max(1)
    }
}
