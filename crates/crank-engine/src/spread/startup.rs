//! When a node that has just started may claim that its configuration is the fleet's.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::Name;
use crank_protocol::config::{Stamp, Version};
use crank_protocol::member::Member;
use rand::Rng;
use rand::seq::SliceRandom;

/// Nodes that must have told their version before a node starts without the store.
const WITNESSES: usize = 3;
/// Data centres that they must stand in.
const WITNESS_DATA_CENTRES: usize = 2;

/// Nodes asked at once.
const ASKED: usize = 6;

/// What the last reading of the head row said.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum StoreHead {
    /// It has not been read yet.
    #[default]
    Unread,
    /// The store did not answer.
    Unavailable,
    /// Nothing has been accepted.
    Empty,
    /// This is accepted.
    Accepted(Stamp),
}

/// What another node said of its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
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
/// use crank_engine::spread::{StoreHead, StartupCheck};
/// let mut start = StartupCheck::default();
/// start.record_head(StoreHead::Unavailable);
/// assert!(!start.is_current(None, []), "nothing is held");
/// ```
#[derive(Debug, Clone, Default)]
pub struct StartupCheck {
    head: StoreHead,
    reports: BTreeMap<Name, PeerReport>,
    current: bool,
}

impl StartupCheck {
    /// Notes what a reading of the head row said.
    ///
    /// ```
    /// # use crank_engine::spread::{StoreHead, StartupCheck};
    /// let mut start = StartupCheck::default();
    /// start.record_head(StoreHead::Unavailable);
    /// ```
    pub fn record_head(&mut self, head: StoreHead) {
        self.head = match (head, &self.head) {
            // What was read once stays true as a lower bound while the store is down.
            (StoreHead::Unavailable, StoreHead::Accepted(stamp)) => {
                StoreHead::Accepted(stamp.clone())
            }
            (head, _) => head,
        };
    }

    /// Notes what another node said.
    pub fn record_report(&mut self, from: &Name, report: PeerReport) {
        self.reports.insert(from.clone(), report);
    }

    /// Whether more reports could help.
    ///
    /// ```
    /// # use crank_engine::spread::{StoreHead, StartupCheck};
    /// assert!(StartupCheck::default().needs_reports());
    /// ```
    #[must_use]
    pub fn needs_reports(&self) -> bool {
        !self.current
    }

    /// The nodes to ask next, of the others that are there: those that said least.
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
        let mut choices: Vec<_> = others.into_iter().collect();
        choices.shuffle(rng);
        let knowledge = |member: &Member| self.reports.get(&member.id).map(|told| told.current);
        choices.sort_by_key(|member| knowledge(member));
        let mut places: BTreeMap<&Name, usize> = BTreeMap::new();
        let mut turns: Vec<_> = choices
            .into_iter()
            .map(|member| {
                let turn = places.entry(&member.place.data_centre).or_default();
                *turn += 1;
                (*turn, member)
            })
            .collect();
        turns.sort_by_key(|(turn, _)| *turn);
        turns.truncate(ASKED);
        turns.into_iter().map(|(_, member)| member).collect()
    }

    /// Whether the node may claim that what it holds is the fleet's, among the others that are
    /// there.
    pub fn is_current<'a>(
        &mut self,
        held: Option<&Stamp>,
        others: impl IntoIterator<Item = &'a Member>,
    ) -> bool {
        self.current = self.current || self.may_claim(held, others);
        self.current
    }

    fn may_claim<'a>(
        &self,
        held: Option<&Stamp>,
        others: impl IntoIterator<Item = &'a Member>,
    ) -> bool {
        let Some(held) = held else {
            return false;
        };
        match &self.head {
            StoreHead::Unread => false,
            // Whatever is held was accepted after the reading.
            StoreHead::Empty => true,
            StoreHead::Accepted(head) => held.version >= head.version,
            StoreHead::Unavailable => held.version >= self.highest() && self.is_witnessed(others),
        }
    }

    /// A node that said that it is not current can neither witness nor know of a later version,
    /// so it is not waited for.
    fn is_witnessed<'a>(&self, others: impl IntoIterator<Item = &'a Member>) -> bool {
        let is_starting = |id: &Name| self.reports.get(id).is_some_and(|told| !told.current);
        let (mut nodes, mut places) = (0, BTreeSet::new());
        for member in others {
            if !is_starting(&member.id) {
                nodes += 1;
                places.insert(&member.place.data_centre);
            }
        }
        let current = self.reports.values().filter(|report| report.current);
        let witnessed: BTreeSet<_> = current.clone().map(|report| &report.data_centre).collect();
        let enough = WITNESSES.min(nodes).max(1);
        current.count() >= enough && witnessed.len() >= WITNESS_DATA_CENTRES.min(places.len())
    }

    fn highest(&self) -> Version {
        let versions = self.reports.values().filter_map(|report| {
            let stamp = report.stamp.as_ref();
            stamp.map(|stamp| stamp.version)
        });
        versions.max().unwrap_or_default()
    }
}
