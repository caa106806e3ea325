//! When a node that has just started may claim that its configuration is current.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::Name;
use crank_protocol::config::{Stamp, Version};
use crank_protocol::member::Member;
use rand::Rng;
use rand::seq::SliceRandom;

/// The number of current nodes that must report their version before a node starts without the
/// store.
const REQUIRED_REPORTS: usize = 3;
/// The number of data centres that these nodes must belong to.
const REQUIRED_DATA_CENTRES: usize = 2;

/// The number of nodes to ask at once.
const MAX_NODES_TO_ASK: usize = 6;

/// The result of the last read of the head row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum StoreHead {
    /// The head row has not been read yet.
    #[default]
    Unread,
    /// The store did not answer.
    Unavailable,
    /// No version has been accepted yet.
    Empty,
    /// The version with this stamp is accepted.
    Accepted(Stamp),
}

/// The report of another node about its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// The data centre of the reporting node.
    pub data_centre: Name,
    /// The stamp of the version in force on that node, if any.
    pub stamp: Option<Stamp>,
    /// Whether that node claims that its version is current.
    pub current: bool,
}

/// The check by which a starting node decides whether its configuration is current.
///
/// If the store is available, the version of the head row must be in force on this node. If it is
/// not, the highest version that other nodes reported must be, and at least 3 current nodes in at
/// least 2 data centres must have reported, or as many as there are. Without either, the node is
/// not current and refuses requests with the outcome "not run".
///
/// Once the check has succeeded, the node stays current.
///
/// ```
/// use crank_engine::spread::{StoreHead, StartupCheck};
/// let mut check = StartupCheck::default();
/// check.record_head(StoreHead::Unavailable);
/// assert!(!check.is_current(None, []), "no version is in force");
/// ```
#[derive(Debug, Clone, Default)]
pub struct StartupCheck {
    head: StoreHead,
    reports: BTreeMap<Name, PeerReport>,
    current: bool,
}

impl StartupCheck {
    /// Records the result of a read of the head row.
    ///
    /// ```
    /// # use crank_engine::spread::{StoreHead, StartupCheck};
    /// let mut check = StartupCheck::default();
    /// check.record_head(StoreHead::Unavailable);
    /// ```
    pub fn record_head(&mut self, head: StoreHead) {
        self.head = match (head, &self.head) {
            // While the store is unavailable, the last version read remains a lower bound.
            (StoreHead::Unavailable, StoreHead::Accepted(stamp)) => {
                StoreHead::Accepted(stamp.clone())
            }
            (head, _) => head,
        };
    }

    /// Records the report of another node, replacing its previous one.
    pub fn record_report(&mut self, from: &Name, report: PeerReport) {
        self.reports.insert(from.clone(), report);
    }

    /// Returns whether the node is not current yet, so that further reports may help.
    ///
    /// ```
    /// # use crank_engine::spread::{StoreHead, StartupCheck};
    /// assert!(StartupCheck::default().needs_reports());
    /// ```
    #[must_use]
    pub fn needs_reports(&self) -> bool {
        !self.current
    }

    /// Returns the nodes to ask next, chosen at random among `others`, the running nodes.
    ///
    /// Nodes that have not reported come before nodes that are not current, and those before
    /// current nodes. The choice is spread over the data centres.
    ///
    /// ```
    /// use crank_engine::spread::StartupCheck;
    /// use rand::SeedableRng;
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// assert!(StartupCheck::default().nodes_to_ask([], &mut rng).is_empty());
    /// ```
    #[must_use]
    pub fn nodes_to_ask<'a>(
        &self,
        others: impl IntoIterator<Item = &'a Member>,
        rng: &mut impl Rng,
    ) -> Vec<&'a Member> {
        let mut candidates: Vec<_> = others.into_iter().collect();
        candidates.shuffle(rng);
        let reported = |member: &Member| self.reports.get(&member.id).map(|report| report.current);
        candidates.sort_by_key(|member| reported(member));
        let mut data_centres: BTreeMap<&Name, usize> = BTreeMap::new();
        let mut ranked: Vec<_> = candidates
            .into_iter()
            .map(|member| {
                let rank = data_centres.entry(&member.place.data_centre).or_default();
                *rank += 1;
                (*rank, member)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.truncate(MAX_NODES_TO_ASK);
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns whether the node may claim that the version in force on it is current.
    ///
    /// `stamp` is the stamp of that version, and `others` are the other running nodes.
    pub fn is_current<'a>(
        &mut self,
        stamp: Option<&Stamp>,
        others: impl IntoIterator<Item = &'a Member>,
    ) -> bool {
        self.current = self.current || self.check(stamp, others);
        self.current
    }

    fn check<'a>(
        &self,
        stamp: Option<&Stamp>,
        others: impl IntoIterator<Item = &'a Member>,
    ) -> bool {
        let Some(stamp) = stamp else {
            return false;
        };
        match &self.head {
            StoreHead::Unread => false,
            // Any version in force was accepted after the head row was read.
            StoreHead::Empty => true,
            StoreHead::Accepted(head) => stamp.version >= head.version,
            StoreHead::Unavailable => {
                stamp.version >= self.highest_reported() && self.has_enough_reports(others)
            }
        }
    }

    /// Returns whether enough current nodes in enough data centres have reported.
    ///
    /// A node that reported that it is not current cannot confirm a version and knows of no later
    /// one, so it is not waited for.
    fn has_enough_reports<'a>(&self, others: impl IntoIterator<Item = &'a Member>) -> bool {
        let is_starting = |id: &Name| self.reports.get(id).is_some_and(|report| !report.current);
        let (mut nodes, mut data_centres) = (0, BTreeSet::new());
        for member in others {
            if !is_starting(&member.id) {
                nodes += 1;
                data_centres.insert(&member.place.data_centre);
            }
        }
        let current = self.reports.values().filter(|report| report.current);
        let reported_data_centres: BTreeSet<_> =
            current.clone().map(|report| &report.data_centre).collect();
        let required = REQUIRED_REPORTS.min(nodes).max(1);
        current.count() >= required
            && reported_data_centres.len() >= REQUIRED_DATA_CENTRES.min(data_centres.len())
    }

    fn highest_reported(&self) -> Version {
        let versions = self.reports.values().filter_map(|report| {
            let stamp = report.stamp.as_ref();
            stamp.map(|stamp| stamp.version)
        });
        versions.max().unwrap_or_default()
    }
}
