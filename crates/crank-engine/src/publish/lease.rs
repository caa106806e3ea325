//! The publisher's lease: who may spend reads on the folder.
//!
//! Clocks of different nodes are never compared: a lease has lapsed for an observer that saw the
//! same beat for a whole lease on its own clock.

use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use super::{LEASE_DURATION, LEASE_RENEWAL_AGE};
use crate::Moment;

/// The lease row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The node that holds it.
    pub holder: Name,
    /// Raised by every write of the row.
    pub beat: u64,
    /// Whether the holder gave it up, so that another may take it at once.
    pub released: bool,
}

/// A conditional write of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// What the row must state; absent where there must be no row.
    pub from: Option<Lease>,
    /// What it shall state.
    pub to: Lease,
}

/// What a node does about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Publish: the lease is held.
    Hold,
    /// Read the row.
    Read,
    /// Write the row.
    Write(LeaseWrite),
    /// Leave it to the others.
    Wait,
}

/// What one node knows of the lease.
#[derive(Debug, Clone)]
pub struct LeaseManager {
    node: Name,
    held: Option<(Lease, Moment)>,
    seen: Option<(Lease, Moment)>,
}

impl LeaseManager {
    /// The tenure of a node that knows nothing yet.
    ///
    /// ```
    /// use crank_engine::{Moment, publish::{LeaseManager, LeaseAction}};
    /// # use crank_protocol::Name;
    /// let tenure = LeaseManager::new(Name::new("n1")?);
    /// assert!(!tenure.is_held());
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(node: Name) -> Self {
        Self {
            node,
            held: None,
            seen: None,
        }
    }

    /// Whether this node believes that it holds the lease.
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

    /// What to do about the lease now.
    ///
    /// ```
    /// # use crank_engine::{Moment, publish::{LeaseManager, LeaseAction}};
    /// # use crank_protocol::Name;
    /// let mut tenure = LeaseManager::new(Name::new("n1")?);
    /// assert_eq!(tenure.next_action(true, Moment(0)), LeaseAction::Read);
    /// assert_eq!(tenure.next_action(false, Moment(0)), LeaseAction::Wait);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn next_action(&mut self, candidate: bool, now: Moment) -> LeaseAction {
        if !candidate {
            return self.release();
        }
        let Some((lease, since)) = self.held.clone() else {
            return LeaseAction::Read;
        };
        let age = now.since(since);
        if age < LEASE_RENEWAL_AGE {
            LeaseAction::Hold
        } else if age < LEASE_DURATION {
            LeaseAction::Write(self.next_write(Some(lease)))
        } else {
            self.held = None;
            LeaseAction::Read
        }
    }

    /// What to do after the row was read.
    ///
    /// ```
    /// # use crank_engine::{Moment, publish::{Lease, LeaseManager, LeaseAction}};
    /// # use crank_protocol::Name;
    /// let mut tenure = LeaseManager::new(Name::new("n1")?);
    /// let other = Lease { holder: Name::new("n2")?, beat: 7, released: false };
    /// assert_eq!(tenure.after_read(Some(other.clone()), Moment(0)), LeaseAction::Wait);
    /// let later = Moment(0).after(crank_engine::publish::LEASE_DURATION);
    /// assert!(matches!(tenure.after_read(Some(other), later), LeaseAction::Write(_)));
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn after_read(&mut self, found: Option<Lease>, now: Moment) -> LeaseAction {
        let Some(lease) = found else {
            return LeaseAction::Write(self.next_write(None));
        };
        let is_free = lease.released || lease.holder == self.node;
        if is_free || self.silence(&lease, now) >= LEASE_DURATION {
            return LeaseAction::Write(self.next_write(Some(lease)));
        }
        LeaseAction::Wait
    }

    /// Takes what became of a write that was begun at this moment.
    ///
    /// ```
    /// # use crank_engine::{Moment, publish::{LeaseManager, LeaseAction}};
    /// # use crank_protocol::Name;
    /// let mut tenure = LeaseManager::new(Name::new("n1")?);
    /// let LeaseAction::Write(write) = tenure.after_read(None, Moment(0)) else { unreachable!() };
    /// tenure.after_write(write, true, Moment(0));
    /// assert!(tenure.is_held());
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn after_write(&mut self, write: LeaseWrite, took_effect: bool, begun: Moment) {
        let holds = took_effect && !write.to.released;
        self.held = holds.then_some((write.to, begun));
    }

    /// Gives the lease up, if it is held, so that nobody waits for it to lapse.
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

    fn silence(&mut self, lease: &Lease, now: Moment) -> Millis {
        match &self.seen {
            Some((seen, since)) if seen == lease => now.since(*since),
            _ => {
                self.seen = Some((lease.clone(), now));
                Millis(0)
            }
        }
    }
}
