//! The publisher's lease, which decides which node polls the folder.
//!
//! Clocks of different nodes are never compared. A node considers a lease expired when it has seen
//! the same heartbeat counter for [`LEASE_DURATION`] on its own clock.

use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use super::{LEASE_DURATION, LEASE_RENEWAL_AGE};
use crate::Moment;

/// The content of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The node that holds the lease.
    pub holder: Name,
    /// The heartbeat counter, which every write of the row increments.
    pub beat: u64,
    /// Whether the holder released the lease, so that another node may take it at once.
    pub released: bool,
}

/// A conditional write (compare-and-set) of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// The content that the row must have, or `None` if the row must not exist.
    pub from: Option<Lease>,
    /// The new content of the row.
    pub to: Lease,
}

/// The next step of a node regarding the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// The node holds the lease and may publish.
    Hold,
    /// Read the lease row.
    Read,
    /// Write the lease row.
    Write(LeaseWrite),
    /// Do nothing for now: another node holds the lease, or this node is not a candidate.
    Wait,
}

/// The state of the lease as one node knows it.
#[derive(Debug, Clone)]
pub struct LeaseManager {
    node: Name,
    held: Option<(Lease, Moment)>,
    observed: Option<(Lease, Moment)>,
}

impl LeaseManager {
    /// Creates the state of a node that has not read the lease row yet.
    ///
    /// ```
    /// use crank_engine::{Moment, publish::{LeaseManager, LeaseAction}};
    /// # use crank_protocol::Name;
    /// let lease = LeaseManager::new(Name::new("n1")?);
    /// assert!(!lease.is_held());
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(node: Name) -> Self {
        Self {
            node,
            held: None,
            observed: None,
        }
    }

    /// Returns whether this node assumes that it holds the lease.
    ///
    /// ```
    /// # use crank_engine::publish::LeaseManager;
    /// # use crank_protocol::Name;
    /// assert!(!LeaseManager::new(Name::new("n1")?).is_held());
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the next step at the time `now`.
    ///
    /// `is_candidate` states whether this node should publish; if not, it releases the lease.
    ///
    /// ```
    /// # use crank_engine::{Moment, publish::{LeaseManager, LeaseAction}};
    /// # use crank_protocol::Name;
    /// let mut lease = LeaseManager::new(Name::new("n1")?);
    /// assert_eq!(lease.next_action(true, Moment(0)), LeaseAction::Read);
    /// assert_eq!(lease.next_action(false, Moment(0)), LeaseAction::Wait);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn next_action(&mut self, is_candidate: bool, now: Moment) -> LeaseAction {
        if !is_candidate {
            return self.release();
        }
        let Some((lease, renewed_at)) = self.held.clone() else {
            return LeaseAction::Read;
        };
        let age = now.since(renewed_at);
        if age < LEASE_RENEWAL_AGE {
            LeaseAction::Hold
        } else if age < LEASE_DURATION {
            LeaseAction::Write(self.next_write(Some(lease)))
        } else {
            self.held = None;
            LeaseAction::Read
        }
    }

    /// Returns the next step after the lease row was read.
    ///
    /// `current` is its content, or `None` if the row does not exist.
    ///
    /// The node takes the lease if it is free, released, expired, or already held in its own name.
    ///
    /// ```
    /// # use crank_engine::{Moment, publish::{Lease, LeaseManager, LeaseAction}};
    /// # use crank_protocol::Name;
    /// let mut lease = LeaseManager::new(Name::new("n1")?);
    /// let other = Lease { holder: Name::new("n2")?, beat: 7, released: false };
    /// assert_eq!(lease.after_read(Some(other.clone()), Moment(0)), LeaseAction::Wait);
    /// let later = Moment(0).after(crank_engine::publish::LEASE_DURATION);
    /// assert!(matches!(lease.after_read(Some(other), later), LeaseAction::Write(_)));
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn after_read(&mut self, current: Option<Lease>, now: Moment) -> LeaseAction {
        let Some(lease) = current else {
            return LeaseAction::Write(self.next_write(None));
        };
        let is_available = lease.released || lease.holder == self.node;
        if is_available || self.time_without_heartbeat(&lease, now) >= LEASE_DURATION {
            return LeaseAction::Write(self.next_write(Some(lease)));
        }
        LeaseAction::Wait
    }

    /// Records the result of a write that was started at the time `started`.
    ///
    /// ```
    /// # use crank_engine::{Moment, publish::{LeaseManager, LeaseAction}};
    /// # use crank_protocol::Name;
    /// let mut lease = LeaseManager::new(Name::new("n1")?);
    /// let LeaseAction::Write(write) = lease.after_read(None, Moment(0)) else { unreachable!() };
    /// lease.after_write(write, true, Moment(0));
    /// assert!(lease.is_held());
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn after_write(&mut self, write: LeaseWrite, took_effect: bool, started: Moment) {
        let is_held = took_effect && !write.to.released;
        self.held = is_held.then_some((write.to, started));
    }

    /// Releases the lease if it is held, so that other nodes need not wait until it expires.
    ///
    /// ```
    /// # use crank_engine::publish::{LeaseManager, LeaseAction};
    /// # use crank_protocol::Name;
    /// assert_eq!(LeaseManager::new(Name::new("n1")?).release(), LeaseAction::Wait);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn release(&mut self) -> LeaseAction {
        let Some((lease, _)) = self.held.take() else {
            return LeaseAction::Wait;
        };
        let mut write = self.next_write(Some(lease));
        write.to.released = true;
        LeaseAction::Write(write)
    }

    fn next_write(&self, from: Option<Lease>) -> LeaseWrite {
        let beat = from.as_ref().map_or(0, |lease| lease.beat) + 1;
        let holder = self.node.clone();
        LeaseWrite {
            from,
            to: Lease {
                holder,
                beat,
                released: false,
            },
        }
    }

    fn time_without_heartbeat(&mut self, lease: &Lease, now: Moment) -> Millis {
        match &self.observed {
            Some((observed, since)) if observed == lease => now.since(*since),
            _ => {
                self.observed = Some((lease.clone(), now));
                Millis(0)
            }
        }
    }
}
