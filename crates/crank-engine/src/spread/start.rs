//! When a node that has just started may claim that its configuration is the fleet's.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::Name;
use crank_protocol::config::{Stamp, Version};

/// Nodes that must have told their version before a node starts without the store.
const WITNESSES: usize = 3;
/// Data centres that they must stand in.
const WITNESS_DATA_CENTRES: usize = 2;

/// What the last reading of the head row said.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Head {
    /// It has not been read yet.
    #[default]
    Unread,
    /// The store did not answer.
    Down,
    /// Nothing has been accepted.
    Empty,
    /// This is accepted.
    At(Stamp),
}

/// What another node said of its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Its data centre.
    pub data_centre: Name,
    /// What it holds.
    pub stamp: Option<Stamp>,
    /// Whether it claims that this is the fleet's.
    pub current: bool,
}

/// The evidence that a starting node has gathered; once it is enough, it stays enough.
///
/// With the store up, the head row's version must be in force. With the store down, the highest
/// version among several current nodes, of more than one data centre where there is more than
/// one, must be. With neither, the node is not current, and refuses requests as not run.
///
/// ```
/// use crank_engine::spread::{Head, Start};
/// let mut start = Start::default();
/// start.head(Head::Down);
/// assert!(!start.is_current(None, 5, 2), "nothing is held");
/// ```
#[derive(Debug, Clone, Default)]
pub struct Start {
    head: Head,
    reports: BTreeMap<Name, Report>,
    current: bool,
}

impl Start {
    /// Notes what a reading of the head row said.
    pub fn head(&mut self, head: Head) {
        self.head = match (head, &self.head) {
            // What was read once stays true as a lower bound while the store is down.
            (Head::Down, Head::At(stamp)) => Head::At(stamp.clone()),
            (head, _) => head,
        };
    }

    /// Notes what another node said.
    pub fn report(&mut self, from: &Name, report: Report) {
        self.reports.insert(from.clone(), report);
    }

    /// Whether more reports could help.
    #[must_use]
    pub fn wants_reports(&self) -> bool {
        !self.current
    }

    /// Whether the node may claim that what it holds is the fleet's, among so many other nodes in
    /// so many data centres.
    pub fn is_current(&mut self, held: Option<&Stamp>, others: usize, data_centres: usize) -> bool {
        self.current = self.current || self.may_claim(held, others, data_centres);
        self.current
    }

    fn may_claim(&self, held: Option<&Stamp>, others: usize, data_centres: usize) -> bool {
        let Some(held) = held else {
            return false;
        };
        match &self.head {
            Head::Unread | Head::Empty => false,
            Head::At(head) => held.version >= head.version,
            Head::Down => held.version >= self.highest() && self.is_witnessed(others, data_centres),
        }
    }

    fn is_witnessed(&self, others: usize, data_centres: usize) -> bool {
        let current = self.reports.values().filter(|report| report.current);
        let places: BTreeSet<_> = current.clone().map(|report| &report.data_centre).collect();
        let wanted = WITNESSES.min(others).max(1);
        current.count() >= wanted && places.len() >= WITNESS_DATA_CENTRES.min(data_centres)
    }

    fn highest(&self) -> Version {
        let versions = self.reports.values().filter_map(|report| {
            let stamp = report.stamp.as_ref();
            stamp.map(|stamp| stamp.version)
        });
        versions.max().unwrap_or_default()
    }
}
