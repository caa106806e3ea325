//! Selects the targets of one request: first one with a free slot, then one to queue at.

use crank_engine::Moment;
use crank_engine::balance::ChosenTarget;
use crank_protocol::Name;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest};

use super::bulkhead::Bulkhead;

/// How many targets are asked for a free slot before the request queues at one.
const MAX_FREE_SLOT_PROBES: usize = 3;
/// The same for a nested call, which has little time. A call that found a free slot also shows how
/// long its route runs.
const MAX_FREE_SLOT_PROBES_OF_CALLS: usize = 1;

/// The targets that were tried for one request, or had no free slot for it.
#[derive(Default)]
pub(super) struct TargetSearch {
    /// Targets that were tried; none gets the request twice.
    tried: Vec<Name>,
    /// Targets that were asked for a free slot and had none.
    full: Vec<Name>,
}

/// The next target, and whether the request may queue there for a slot.
pub(super) struct Candidate {
    pub(super) choice: ChosenTarget,
    pub(super) may_queue: bool,
}

impl TargetSearch {
    /// Returns the next target to try, if there is one.
    ///
    /// A node's view of the load elsewhere is out of date in a large fleet: asking a few targets
    /// for a free slot finds one sooner than queueing at the one that appears best. The targets in
    /// `barred` are left out.
    pub(super) fn next(
        &self,
        bulkhead: &Bulkhead,
        now: Moment,
        depth: u32,
        may_queue: bool,
        barred: &[Name],
    ) -> Option<Candidate> {
        let max_probes = if depth == 0 {
            MAX_FREE_SLOT_PROBES
        } else {
            MAX_FREE_SLOT_PROBES_OF_CALLS
        };
        if self.full.len() < max_probes {
            let asked = [self.tried.as_slice(), self.full.as_slice(), barred].concat();
            if let Some(choice) = bulkhead.choose_with_free_slot(now, &asked) {
                return Some(Candidate {
                    choice,
                    may_queue: false,
                });
            }
        }
        if !may_queue {
            return None;
        }
        let excluded = [self.tried.as_slice(), barred].concat();
        let choice = bulkhead.choose(now, &excluded)?;
        Some(Candidate { choice, may_queue })
    }

    /// Records an attempt; returns true if it only looked for a free slot and found none.
    pub(super) fn record(
        &mut self,
        candidate: &Candidate,
        refused: Option<&RefusedRequest>,
    ) -> bool {
        let id = candidate.choice.id.clone();
        let is_full = refused.is_some_and(|refused| {
            refused.outcome == Outcome::NotRun
                && !refused.reached
                && matches!(refused.refusal, Refusal::Overloaded { .. })
        });
        if is_full && !candidate.may_queue {
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
