//! The conventions of a platform that callers and backend servers follow.

use std::sync::Arc;

use crank_protocol::rollout::ExposureLimit;
use crank_protocol::{HttpDialect, Name, Permille};

/// The conventions of a platform at the entry; the default is the project's own platform.
#[derive(Debug, Clone, Default)]
pub struct Conventions {
    /// The names of the HTTP headers that callers and backend servers use.
    pub dialect: Arc<HttpDialect>,
    /// The service of the backend server beside this node, which marks its outgoing requests.
    pub calling_service: Option<Name>,
    /// The limit on requests that reach backend servers more than once, if there is one.
    pub repeat_limit: Option<RepeatLimit>,
    /// The bounds on the requests that an unproven release gets; `None` if the platform has no
    /// roll-outs, so that a release that appears without an order is not held back.
    pub exposure: Option<ExposureLimit>,
}

/// The limit that all nodes together keep on requests that reach a service's backend servers more
/// than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatLimit {
    /// The allowed share of repeats among the service's requests.
    pub share: Permille,
    /// The repeats allowed beyond the share by all nodes together, in thousandths of a repeat.
    pub slack: u64,
}

impl RepeatLimit {
    /// Returns the slack of each of `nodes` nodes, which then need no coordination.
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
