//! The configuration in force, and what may replace it.

use std::collections::VecDeque;
use std::sync::Arc;

use crank_protocol::config::{Config, Delta, Snapshot, Stamp};

use crate::{Error, config};

/// The deltas kept for nodes that are a little behind.
const KEPT_DELTAS: usize = 16;

/// What became of a configuration that came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// It is in force now.
    Applied,
    /// It is not later than what is held.
    Old,
    /// It claims a held version's number for another content; never applied.
    Conflict,
    /// It is later, but has another base: fetch the whole snapshot.
    NeedWhole,
    /// It is malformed: fetch the whole snapshot from another node.
    Bad(Error),
}

/// What a stamp heard from another node means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionComparison {
    /// Both hold the same.
    Same,
    /// The other lacks something.
    PeerBehind,
    /// This node lacks something.
    PeerAhead,
    /// Both hold the same number with another content.
    Conflict,
}

/// The configuration in force on a node; its version never falls.
///
/// ```
/// use crank_engine::spread::{ConfigReplica, Step};
/// use crank_protocol::{Name, config::{Account, Config, Snapshot, Stamp, Version}};
/// let account = Account { name: Name::new("sutkent").unwrap(), notice_ends: None };
/// let config = Config { account, services: Default::default(), routes: Default::default() };
/// let stamp = Stamp { version: Version(1), digest: crank_engine::config::digest(&config) };
/// let snapshot = Snapshot { stamp, config };
/// let mut holder = ConfigReplica::default();
/// assert_eq!(holder.apply_snapshot(snapshot.clone()), Step::Applied);
/// assert_eq!(holder.apply_snapshot(snapshot), Step::Old);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    held: Option<Arc<Snapshot>>,
    deltas: VecDeque<Delta>,
}

impl ConfigReplica {
    /// What is in force.
    ///
    /// ```
    /// # use crank_engine::spread::{VersionComparison, ConfigReplica};
    /// assert!(ConfigReplica::default().snapshot().is_none());
    /// ```
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.held.as_ref()
    }

    /// The stamp of what is in force.
    ///
    /// ```
    /// # use crank_engine::spread::{VersionComparison, ConfigReplica};
    /// assert!(ConfigReplica::default().stamp().is_none());
    /// ```
    #[must_use]
    pub fn stamp(&self) -> Option<&Stamp> {
        self.held.as_ref().map(|snapshot| &snapshot.stamp)
    }

    /// Takes a delta if it applies to exactly what is held.
    pub fn apply_delta(&mut self, delta: &Delta) -> Step {
        match self.compare(Some(&delta.result)) {
            VersionComparison::Same | VersionComparison::PeerBehind => return Step::Old,
            VersionComparison::Conflict => return Step::Conflict,
            VersionComparison::PeerAhead => {}
        }
        let Some(held) = &self.held else {
            return Step::NeedWhole;
        };
        let applied = config::apply(held, delta).and_then(closed);
        match applied {
            Ok(snapshot) => {
                self.keep(delta.clone());
                self.held = Some(Arc::new(snapshot));
                Step::Applied
            }
            Err(Error::WrongBase { .. }) => Step::NeedWhole,
            Err(error) => Step::Bad(error),
        }
    }

    /// Takes a whole configuration if it is later than what is held.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> Step {
        match self.compare(Some(&snapshot.stamp)) {
            VersionComparison::Same | VersionComparison::PeerBehind => return Step::Old,
            VersionComparison::Conflict => return Step::Conflict,
            VersionComparison::PeerAhead => {}
        }
        let sealed = config::verify_digest(snapshot.config, snapshot.stamp).and_then(closed);
        match sealed {
            Ok(snapshot) => {
                match &self.held {
                    Some(held) => self.keep(config::diff(held, &snapshot)),
                    None => self.deltas.clear(),
                }
                self.held = Some(Arc::new(snapshot));
                Step::Applied
            }
            Err(error) => Step::Bad(error),
        }
    }

    /// What the stamp that another node holds means.
    ///
    /// ```
    /// # use crank_engine::spread::{VersionComparison, ConfigReplica};
    /// assert_eq!(ConfigReplica::default().compare(None), VersionComparison::Same);
    /// ```
    #[must_use]
    pub fn compare(&self, theirs: Option<&Stamp>) -> VersionComparison {
        match (self.stamp(), theirs) {
            (None, None) => VersionComparison::Same,
            (None, Some(_)) => VersionComparison::PeerAhead,
            (Some(_), None) => VersionComparison::PeerBehind,
            (Some(ours), Some(theirs)) => match ours.version.cmp(&theirs.version) {
                std::cmp::Ordering::Less => VersionComparison::PeerAhead,
                std::cmp::Ordering::Greater => VersionComparison::PeerBehind,
                std::cmp::Ordering::Equal if ours.digest == theirs.digest => {
                    VersionComparison::Same
                }
                std::cmp::Ordering::Equal => VersionComparison::Conflict,
            },
        }
    }

    /// The deltas that lead from a base to what is held, in order, if they are kept.
    #[must_use]
    pub fn deltas_since(&self, base: &Stamp) -> Option<Vec<Delta>> {
        let first = self.deltas.iter().position(|delta| delta.base == *base)?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }

    /// The step that led to what is held.
    ///
    /// ```
    /// # use crank_engine::spread::{VersionComparison, ConfigReplica};
    /// assert!(ConfigReplica::default().last_delta().is_none());
    /// ```
    #[must_use]
    pub fn last_delta(&self) -> Option<&Delta> {
        self.deltas.back()
    }

    fn keep(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        if self.deltas.len() > KEPT_DELTAS {
            self.deltas.pop_front();
        }
    }
}

/// Lets a configuration pass if each route's service is in it.
fn closed(snapshot: Snapshot) -> Result<Snapshot, Error> {
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
