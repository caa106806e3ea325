//! Roll-outs: moving a service to another release of its software, on evidence.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Revision;
use crate::{Millis, Name, Permille};

/// An operator's order to move a service to a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutOrder {
    /// The service.
    pub service: Name,
    /// The release that its servers are to run.
    pub target: Arc<str>,
    /// The time from the order within which it is to be completed or rolled back.
    pub duration: Millis,
    /// The revision at which the store accepted the order; a later order replaces it.
    pub revision: Revision,
}

/// How far a roll-out has come.
///
/// Declared from the least to the most advanced. Only one of the last two is ever recorded in the
/// store for an order, so that nodes agree whichever they hear of first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The new release gets a small share of the requests.
    #[default]
    Trial,
    /// The evidence is against the new release, which gets no requests until a verdict is stored.
    Held,
    /// The verdict: only the new release gets requests.
    Completed,
    /// The verdict: the new release gets no requests.
    RolledBack,
}

impl Phase {
    /// Returns whether this is a verdict, which never changes.
    ///
    /// ```
    /// use crank_protocol::rollout::Phase;
    /// assert!(Phase::Completed.is_final() && !Phase::Held.is_final());
    /// ```
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// The state of a roll-out, as nodes tell it one another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutState {
    /// The order.
    pub order: RolloutOrder,
    /// How far it has come.
    pub phase: Phase,
    /// How long ago the first node learned of the order.
    pub age: Millis,
}

impl RolloutState {
    /// Creates the state of an order that has just been read.
    ///
    /// ```
    /// use crank_protocol::{Millis, Name, config::Revision};
    /// use crank_protocol::rollout::{Phase, RolloutOrder, RolloutState};
    /// let service = Name::new("vat")?;
    /// let (target, duration, revision) = ("v2".into(), Millis(12_000), Revision(7));
    /// let state = RolloutState::new(RolloutOrder { service, target, duration, revision });
    /// assert_eq!((state.phase, state.age), (Phase::Trial, Millis(0)));
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(order: RolloutOrder) -> Self {
        Self {
            order,
            phase: Phase::Trial,
            age: Millis(0),
        }
    }
}

/// The bounds on the requests that an unproven release gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExposureLimit {
    /// The largest share of a service's requests from an order to its deadline.
    pub share: Permille,
    /// The requests allowed beyond the share, by all nodes together.
    pub slack: u32,
}

impl Default for ExposureLimit {
    fn default() -> Self {
        Self {
            share: Permille(100),
            slack: 50,
        }
    }
}

/// What one node has seen of the two releases of a service since an order, in part.
///
/// The counters only grow: a message that is lost, repeated or late does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evidence {
    /// The service.
    pub service: Name,
    /// The revision of the order.
    pub order: Revision,
    /// Identifies the process of the node, whose counters start from zero.
    pub process: u64,
    /// The phase that the node acts on.
    pub phase: Phase,
    /// The node's requests in flight at servers of other releases than the target.
    pub in_flight: u32,
    /// Some of the node's counters.
    pub tallies: Vec<Tally>,
}

/// What a [`Tally`] counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subject {
    /// The route of the requests.
    pub route: Name,
    /// The node beside the server of the target release; `None` for all servers of other releases.
    pub server: Option<Name>,
}

/// The answers to the requests of one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// What is counted.
    pub subject: Subject,
    /// Answers without failure.
    pub answered: u32,
    /// Failures, answered by the server or of the connection to it.
    pub failed: u32,
    /// The number of answers by latency class; see `crank_engine::rollout::latency_class`.
    pub latencies: Vec<u32>,
}

/// The state of a roll-out, as operators are told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutReport {
    /// The service.
    pub service: Name,
    /// The release of the order.
    pub target: Arc<str>,
    /// How far the roll-out has come.
    pub phase: Phase,
}
