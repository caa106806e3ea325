//! The search of one request for a target: first for a free slot, then for a place to wait.

use crank_engine::Moment;
use crank_engine::balance::ChosenTarget;
use crank_protocol::Name;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest};

use super::bulkhead::Bulkhead;

/// Targets that are asked for a free slot before the request waits at one.
const MOST_LOOKS: usize = 3;

/// Where a request has been.
#[derive(Default)]
pub(super) struct Search {
    /// Targets that got the request; none gets it twice.
    tried: Vec<Name>,
    /// Targets that were asked for a free slot and had none.
    full: Vec<Name>,
}

/// The next target, and whether the request may wait there for a slot.
pub(super) struct Next {
    pub(super) choice: ChosenTarget,
    pub(super) waits: bool,
}

impl Search {
    /// What a node knows of the load elsewhere is old in a large fleet: asking a few targets for a
    /// free slot finds one sooner than waiting at the one that seemed best.
    pub(super) fn next(&self, bulkhead: &Bulkhead, now: Moment, depth: u32) -> Option<Next> {
        if depth == 0 && self.full.len() < MOST_LOOKS {
            let asked = [self.tried.as_slice(), self.full.as_slice()].concat();
            if let Some(choice) = bulkhead.choose_with_free_slot(now, &asked) {
                let waits = false;
                return Some(Next { choice, waits });
            }
        }
        let choice = bulkhead.choose(now, &self.tried)?;
        Some(Next {
            choice,
            waits: true,
        })
    }

    /// Notes where an attempt was; true where it only looked for a free slot and found none.
    pub(super) fn note(&mut self, next: &Next, refused: Option<&RefusedRequest>) -> bool {
        let id = next.choice.id.clone();
        let is_full = refused.is_some_and(|refused| {
            refused.outcome == Outcome::NotRun
                && !refused.reached
                && matches!(refused.refusal, Refusal::Overloaded { .. })
        });
        if is_full && !next.waits {
            self.full.push(id);
            return true;
        }
        self.tried.push(id);
        false
    }

    pub(super) fn tried(&self) -> &[Name] {
        &self.tried
    }

    pub(super) fn full(&self) -> &[Name] {
        &self.full
    }
}
