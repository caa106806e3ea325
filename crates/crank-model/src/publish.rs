//! Publishing: an operator who edits, two publishers, and the store.
//!
//! The lease is left out on purpose: both publishers may act at any time, as they may when a lease
//! lapses while its holder is paused. A publisher may be killed at any step. A write of the head
//! may take effect while its answer is lost, or take effect later.

mod publisher;
mod store;

use crank_engine::Nonce;
use crank_engine::publish::Head;
use crank_protocol::config::{Stamp, Version};

use crate::Invariant;
use crate::explore::Step;
use crate::folder::{FOLDERS, Table};
use publisher::Work;
use store::{Mark, Store};

const PUBLISHERS: usize = 2;
/// Versions beyond which a search that looks for a broken invariant does not go.
const MAX_VERSIONS: usize = 4;

/// What keeps publishing safe; a search takes out one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// The head moves only from the version that was read.
    HeadCondition,
    /// The head is read before the folder.
    HeadBeforeFolder,
    /// The listing must be the same after reading as before.
    SecondListing,
    /// After a lost answer the nonce is read back.
    ReadBack,
    /// The object is written before the head.
    ObjectFirst,
    /// A folder with a fault is refused whole.
    Merge,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Publish {
    without: Option<Guard>,
    table: Table,
}

/// Everything that an operator, two publishers and the store remember.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    edits: usize,
    store: Store,
    work: [Work; PUBLISHERS],
    broken: Option<Invariant>,
}

impl Publish {
    /// The specification, whole or without one guard.
    ///
    /// ```
    /// use crank_model::{explore, publish::Publish};
    /// let whole = Publish::new(None);
    /// let first = whole.start();
    /// assert!(!whole.steps(&first).is_empty());
    /// ```
    #[must_use]
    pub fn new(without: Option<Guard>) -> Self {
        Self {
            without,
            table: Table::new(),
        }
    }

    /// Nothing is accepted, and nobody works.
    ///
    /// ```
    /// # use crank_model::publish::Publish;
    /// let spec = Publish::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn start(&self) -> State {
        State {
            edits: 0,
            store: Store::default(),
            work: [Work::Idle, Work::Idle],
            broken: None,
        }
    }

    /// The invariant that a state breaks.
    ///
    /// ```
    /// # use crank_model::publish::Publish;
    /// # let spec = Publish::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn broken(&self, state: &State) -> Option<Invariant> {
        state.broken
    }

    /// Whether the operator's last folder is accepted and nobody works.
    ///
    /// ```
    /// # use crank_model::publish::Publish;
    /// # let spec = Publish::new(None);
    /// assert!(!spec.is_goal(&spec.start()));
    /// ```
    #[must_use]
    pub fn is_goal(&self, state: &State) -> bool {
        let last = FOLDERS.last().copied();
        let accepted = state.store.head.map(|head| head.content);
        state.edits + 1 == FOLDERS.len() && accepted == last
    }

    /// Everything that may happen next.
    ///
    /// ```
    /// # use crank_model::publish::Publish;
    /// # let spec = Publish::new(None);
    /// let labels = spec.steps(&spec.start()).into_iter().map(|step| step.label);
    /// assert!(labels.into_iter().any(|label| label == "the operator edits the folder"));
    /// ```
    #[must_use]
    pub fn steps(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        if state.broken.is_some() || state.store.accepted.len() > MAX_VERSIONS {
            return steps;
        }
        if state.edits + 1 < FOLDERS.len() {
            let mut next = state.clone();
            next.edits += 1;
            steps.push(step("the operator edits the folder", next));
        }
        for publisher in 0..PUBLISHERS {
            self.publisher_steps(state, publisher, &mut steps);
        }
        for late in 0..state.store.late.len() {
            let mut next = state.clone();
            let moved = next.store.late.remove(late);
            steps.push(step("a late write of the head is dropped", next.clone()));
            if self.apply(&mut next, moved) {
                steps.push(step("a late write of the head takes effect", next));
            }
        }
        steps
    }

    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    fn head(&self, mark: Mark) -> Head {
        let nonce = Nonce(u128::from(mark.nonce));
        let stamp = self.stamp(mark);
        Head { stamp, nonce }
    }

    fn stamp(&self, mark: Mark) -> Stamp {
        Stamp {
            version: Version(mark.version as u64),
            digest: self.table.digest(mark.content).clone(),
        }
    }
}

fn step(label: impl Into<String>, next: State) -> Step<State> {
    Step {
        label: label.into(),
        next,
    }
}
