//! The configuration in force on a node, and the rules for replacing it.

use std::collections::VecDeque;
use std::sync::Arc;

use crank_protocol::config::{Config, Delta, Snapshot, Stamp};

use crate::{Error, config};

/// The number of recent deltas kept for nodes that are a few versions behind.
const MAX_KEPT_DELTAS: usize = 16;

/// The result of offering a delta or a snapshot to a [`ConfigReplica`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The new version was applied and is in force.
    Applied,
    /// The offered version is not newer than the one in force.
    Old,
    /// The offered version has the number of the version in force, but other content. It is not
    /// applied.
    Conflict,
    /// The offered version is newer, but the delta has another base version: fetch the full
    /// snapshot.
    NeedWhole,
    /// The offered version is invalid: fetch the full snapshot from another node.
    Bad(Error),
}

/// How the version of another node compares to the version of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionComparison {
    /// Both nodes have the same version.
    Same,
    /// The other node has an older version or none.
    PeerBehind,
    /// The other node has a newer version, or this node has none.
    PeerAhead,
    /// The version numbers are equal, but the contents differ.
    Conflict,
}

/// The configuration in force on a node. Its version number never decreases.
///
/// ```
/// use crank_engine::spread::{ConfigReplica, Step};
/// use crank_protocol::{Name, config::{Owner, Config, Snapshot, Stamp, Version}};
/// let account = Owner { name: Name::new("sutkent").unwrap(), notice_ends: None };
/// let config = Config::new(account);
/// let stamp = Stamp { version: Version(1), digest: crank_engine::config::digest(&config) };
/// let snapshot = Snapshot { stamp, config };
/// let mut replica = ConfigReplica::default();
/// assert_eq!(replica.apply_snapshot(snapshot.clone()), Step::Applied);
/// assert_eq!(replica.apply_snapshot(snapshot), Step::Old);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    in_force: Option<Arc<Snapshot>>,
    deltas: VecDeque<Delta>,
}

impl ConfigReplica {
    /// Returns the snapshot in force, or `None` before the first one was applied.
    ///
    /// ```
    /// # use crank_engine::spread::{VersionComparison, ConfigReplica};
    /// assert!(ConfigReplica::default().snapshot().is_none());
    /// ```
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.in_force.as_ref()
    }

    /// Returns the stamp of the snapshot in force.
    ///
    /// ```
    /// # use crank_engine::spread::{VersionComparison, ConfigReplica};
    /// assert!(ConfigReplica::default().stamp().is_none());
    /// ```
    #[must_use]
    pub fn stamp(&self) -> Option<&Stamp> {
        self.in_force.as_ref().map(|snapshot| &snapshot.stamp)
    }

    /// Applies a delta if its base is exactly the version in force.
    pub fn apply_delta(&mut self, delta: &Delta) -> Step {
        match self.compare(Some(&delta.result)) {
            VersionComparison::Same | VersionComparison::PeerBehind => return Step::Old,
            VersionComparison::Conflict => return Step::Conflict,
            VersionComparison::PeerAhead => {}
        }
        let Some(in_force) = &self.in_force else {
            return Step::NeedWhole;
        };
        let applied = config::apply(in_force, delta).and_then(check_route_services);
        match applied {
            Ok(snapshot) => {
                self.keep_delta(delta.clone());
                self.in_force = Some(Arc::new(snapshot));
                Step::Applied
            }
            Err(Error::WrongBase { .. }) => Step::NeedWhole,
            Err(error) => Step::Bad(error),
        }
    }

    /// Applies a full snapshot if it is newer than the version in force.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> Step {
        match self.compare(Some(&snapshot.stamp)) {
            VersionComparison::Same | VersionComparison::PeerBehind => return Step::Old,
            VersionComparison::Conflict => return Step::Conflict,
            VersionComparison::PeerAhead => {}
        }
        let verified =
            config::verify_digest(snapshot.config, snapshot.stamp).and_then(check_route_services);
        match verified {
            Ok(snapshot) => {
                match &self.in_force {
                    Some(in_force) => self.keep_delta(config::diff(in_force, &snapshot)),
                    None => self.deltas.clear(),
                }
                self.in_force = Some(Arc::new(snapshot));
                Step::Applied
            }
            Err(error) => Step::Bad(error),
        }
    }

    /// Compares the version of another node, given by its stamp, to the version of this node.
    ///
    /// ```
    /// # use crank_engine::spread::{VersionComparison, ConfigReplica};
    /// assert_eq!(ConfigReplica::default().compare(None), VersionComparison::Same);
    /// ```
    #[must_use]
    pub fn compare(&self, peer: Option<&Stamp>) -> VersionComparison {
        match (self.stamp(), peer) {
            (None, None) => VersionComparison::Same,
            (None, Some(_)) => VersionComparison::PeerAhead,
            (Some(_), None) => VersionComparison::PeerBehind,
            (Some(own), Some(peer)) => match own.version.cmp(&peer.version) {
                std::cmp::Ordering::Less => VersionComparison::PeerAhead,
                std::cmp::Ordering::Greater => VersionComparison::PeerBehind,
                std::cmp::Ordering::Equal if own.digest == peer.digest => VersionComparison::Same,
                std::cmp::Ordering::Equal => VersionComparison::Conflict,
            },
        }
    }

    /// Returns the deltas that lead from the version `base` to the version in force, in order.
    ///
    /// Returns `None` if no delta from `base` is kept any more.
    #[must_use]
    pub fn deltas_since(&self, base: &Stamp) -> Option<Vec<Delta>> {
        let first = self.deltas.iter().position(|delta| delta.base == *base)?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }

    /// Returns the delta that led to the version in force, if it is known.
    ///
    /// ```
    /// # use crank_engine::spread::{VersionComparison, ConfigReplica};
    /// assert!(ConfigReplica::default().last_delta().is_none());
    /// ```
    #[must_use]
    pub fn last_delta(&self) -> Option<&Delta> {
        self.deltas.back()
    }

    fn keep_delta(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_KEPT_DELTAS {
            self.deltas.pop_front();
        }
    }
}

/// Returns the snapshot if every route refers to a service that the configuration defines.
fn check_route_services(snapshot: Snapshot) -> Result<Snapshot, Error> {
    let Config {
        services, routes, ..
    } = &snapshot.config;
    let dangling = routes
        .iter()
        .find(|(_, route)| !services.contains_key(&route.service));
    match dangling {
        None => Ok(snapshot),
        Some((name, route)) => Err(Error::Dangling {
            stated: Box::new(snapshot.stamp.clone()),
            route: name.clone(),
            service: route.service.clone(),
        }),
    }
}
