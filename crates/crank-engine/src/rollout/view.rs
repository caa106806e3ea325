//! Which members run the old and the new release of a service.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::member::{Member, Stage};
use crank_protocol::rollout::RolloutOrder;
use crank_protocol::{Millis, Name};

use super::plan::rank;
use crate::Moment;

/// How long a release that appears beside an established one gets no requests unless there is an
/// order: an order and its servers reach nodes over different ways.
const HOLD_TIME: Millis = Millis(3_000);

/// The servers of a service by whether they run the release of an order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Releases {
    /// The nodes beside servers of other releases.
    pub old: Vec<Name>,
    /// The nodes beside servers of the order's release, sorted alike on all nodes.
    pub new: Vec<Name>,
}

impl Releases {
    /// Sorts the members that offer the order's service.
    ///
    /// ```
    /// use crank_engine::rollout::Releases;
    /// use crank_protocol::{member::Member, rollout::RolloutOrder};
    /// fn has_new_servers(order: &RolloutOrder, members: &[Member]) -> bool {
    ///     !Releases::new(order, members).new.is_empty()
    /// }
    /// ```
    #[must_use]
    pub fn new<'a>(order: &RolloutOrder, members: impl IntoIterator<Item = &'a Member>) -> Self {
        let mut releases = Self::default();
        for member in members {
            let Some(release) = ready_release(member, &order.service) else {
                continue;
            };
            if release.is_some_and(|release| **release == *order.target) {
                releases.new.push(member.id.clone());
            } else {
                releases.old.push(member.id.clone());
            }
        }
        releases.new.sort_by_key(|node| rank(order.revision, node));
        releases
    }
}

/// Releases that have appeared lately beside an established one, before any order is known.
#[derive(Debug, Clone, Default)]
pub struct Newcomers {
    first_seen: BTreeMap<Option<Arc<str>>, Moment>,
    held: Vec<Name>,
}

impl Newcomers {
    /// Records the current members of a service.
    ///
    /// ```
    /// use crank_engine::{Moment, rollout::Newcomers};
    /// use crank_protocol::{Name, member::Member};
    /// fn refresh(newcomers: &mut Newcomers, service: &Name, members: &[Member]) {
    ///     newcomers.update(Moment(0), service, members);
    /// }
    /// ```
    pub fn update<'a>(
        &mut self,
        now: Moment,
        service: &Name,
        members: impl IntoIterator<Item = &'a Member>,
    ) {
        let mut present: Vec<(Option<Arc<str>>, &Name)> = Vec::new();
        for member in members {
            if let Some(release) = ready_release(member, service) {
                present.push((release.cloned(), &member.id));
            }
        }
        if present.is_empty() {
            return;
        }
        // What is there at the start is established.
        let seen_at = if self.first_seen.is_empty() {
            Moment(0)
        } else {
            now.max(Moment(1))
        };
        for (release, _) in &present {
            self.first_seen.entry(release.clone()).or_insert(seen_at);
        }
        let seen = |release: &Option<Arc<str>>| self.first_seen.get(release).copied();
        let oldest = present
            .iter()
            .filter_map(|(release, _)| seen(release))
            .min();
        let is_held = |release: &Option<Arc<str>>| {
            seen(release) > oldest && seen(release).is_some_and(|at| now < at.after(HOLD_TIME))
        };
        self.held = present
            .iter()
            .filter(|(release, _)| is_held(release))
            .map(|(_, node)| (*node).clone())
            .collect();
    }

    /// Returns the nodes whose servers get no requests yet.
    ///
    /// ```
    /// assert!(crank_engine::rollout::Newcomers::default().held().is_empty());
    /// ```
    #[must_use]
    pub fn held(&self) -> &[Name] {
        &self.held
    }
}

/// Returns the release of a member's server, if the server accepts requests for the service.
fn ready_release<'a>(member: &'a Member, service: &Name) -> Option<Option<&'a Arc<str>>> {
    let endpoint = member.endpoint.as_ref()?;
    let is_ready = endpoint.service == *service && endpoint.stage == Stage::Ready;
    is_ready.then_some(endpoint.release.as_ref())
}
