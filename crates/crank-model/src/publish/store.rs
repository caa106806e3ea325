//! The store: the head row, the objects, and writes that are still on their way.

use std::collections::BTreeSet;

use crank_engine::publish::HeadUpdate;

use super::{Guard, Publish, State};
use crate::Invariant;
use crate::folder::{Content, FOLDERS};

/// What the head row states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Mark {
    pub(super) version: usize,
    pub(super) content: Content,
    pub(super) nonce: u8,
}

/// A conditional move of the head row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Move {
    pub(super) from: Option<Mark>,
    pub(super) to: Mark,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Store {
    pub(super) head: Option<Mark>,
    pub(super) objects: BTreeSet<Content>,
    /// Every accepted content; the first is version 1.
    pub(super) accepted: Vec<Content>,
    pub(super) late: Vec<Move>,
}

impl Publish {
    /// Lets a move of the head take effect, if its condition holds.
    pub(super) fn apply(&self, state: &mut State, moved: Move) -> bool {
        let advance = HeadUpdate {
            from: moved.from.map(|mark| self.stamp(mark)),
            to: self.head(moved.to),
        };
        let head = state.store.head.map(|mark| self.head(mark));
        if self.has(Guard::HeadCondition) && !advance.applies_to(head.as_ref()) {
            return false;
        }
        state.broken = self.check(state, moved.to);
        state.store.head = Some(moved.to);
        state.store.accepted.truncate(moved.to.version - 1);
        state.store.accepted.push(moved.to.content);
        true
    }

    fn check(&self, state: &State, to: Mark) -> Option<Invariant> {
        let accepted = &state.store.accepted;
        let age = |content: &Content| FOLDERS.iter().position(|folder| folder == content);
        if to.version <= accepted.len() {
            Some(Invariant::OneDigest)
        } else if self.table.is_refused(to.content) {
            Some(Invariant::Dangling)
        } else if !FOLDERS[..=state.edits].contains(&to.content) {
            Some(Invariant::NeverAFolder)
        } else if accepted.last().and_then(age) > age(&to.content) {
            Some(Invariant::Reverted)
        } else if !state.store.objects.contains(&to.content) {
            Some(Invariant::MissingObject)
        } else {
            None
        }
    }
}
