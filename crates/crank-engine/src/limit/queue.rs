//! The requests that wait for a free slot, in the order in which they run.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crank_protocol::Name;
use crank_protocol::config::Importance;
use serde::{Deserialize, Serialize};

use super::PendingRequest;
use super::share::{FairShare, Turn};
use crate::Moment;

const MICROS_PER_MILLI: u64 = 1_000;

/// The position in the queue: more important requests first, then those of accounts that are in an
/// earlier round, then those with the earliest deadline, then by ascending ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct QueuePosition {
    importance: Reverse<Importance>,
    round: u64,
    pub(super) deadline: Moment,
    pub(super) id: u64,
}

impl QueuePosition {
    /// Returns whether a request that waits last loses its place in a full queue to another.
    pub(super) fn gives_way_to(&self, other: &Self) -> bool {
        (other.importance, other.round) < (self.importance, self.round)
    }
}

/// A request that waits for a free slot, or could.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WaitingRequest {
    pub(super) position: QueuePosition,
    /// The expected run time in microseconds.
    pub(super) run_micros: u64,
    account: Option<Name>,
    turn: Turn,
}

/// The queue of a limit, and the shares of client accounts in its slots.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Queue {
    waiting: BTreeMap<QueuePosition, WaitingRequest>,
    shares: FairShare,
}

impl Queue {
    /// Returns a request with the position that it would get.
    pub(super) fn place(&self, request: PendingRequest, mean_micros: u64) -> WaitingRequest {
        // The request that made a nested call has had its turn already.
        let account = request.account.filter(|_| request.depth == 0);
        let turn = self.shares.next_turn(account.as_ref());
        let run = request.expected_run_time;
        WaitingRequest {
            position: QueuePosition {
                importance: Reverse(request.importance),
                round: turn.round(),
                deadline: request.deadline,
                id: request.id,
            },
            run_micros: run.map_or(mean_micros, |run| run.0.saturating_mul(MICROS_PER_MILLI)),
            account,
            turn,
        }
    }

    /// Books the run time of a request that will run or wait.
    pub(super) fn book(&mut self, request: &WaitingRequest) {
        if let Some(account) = &request.account {
            self.shares.book(account, request.turn, request.run_micros);
        }
    }

    /// Records that a booked request starts to run.
    pub(super) fn start(&mut self, request: &WaitingRequest) {
        self.shares.start(request.turn);
    }

    /// Gives back what a request booked that will not run.
    pub(super) fn cancel(&mut self, request: &WaitingRequest) {
        if let Some(account) = &request.account {
            self.shares.cancel(account, request.run_micros);
        }
    }

    pub(super) fn push(&mut self, request: WaitingRequest) {
        self.book(&request);
        self.waiting.insert(request.position, request);
    }

    pub(super) fn pop_first(&mut self) -> Option<WaitingRequest> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    /// Removes a request that will not run.
    pub(super) fn remove(&mut self, id: u64) {
        let mut positions = self.waiting.keys();
        let Some(position) = positions.find(|position| position.id == id).copied() else {
            return;
        };
        if let Some(request) = self.waiting.remove(&position) {
            self.cancel(&request);
        }
    }

    /// Removes all requests; none of them will run.
    pub(super) fn clear(&mut self) -> Vec<u64> {
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting.values() {
            self.cancel(request);
        }
        waiting.into_keys().map(|position| position.id).collect()
    }

    pub(super) fn last(&self) -> Option<QueuePosition> {
        self.waiting.last_key_value().map(|(position, _)| *position)
    }

    /// Returns the expected run time of all waiting requests together, in microseconds.
    pub(super) fn work_micros(&self) -> u64 {
        sum_micros(self.waiting.values())
    }

    /// Returns the expected run time of the requests that run before this position.
    pub(super) fn work_micros_before(&self, position: QueuePosition) -> u64 {
        sum_micros(self.waiting.range(..position).map(|(_, request)| request))
    }

    /// Returns the number of requests that run before this position.
    pub(super) fn len_before(&self, position: QueuePosition) -> usize {
        self.waiting.range(..position).count()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

fn sum_micros<'a>(requests: impl Iterator<Item = &'a WaitingRequest>) -> u64 {
    requests
        .map(|request| request.run_micros)
        .fold(0, u64::saturating_add)
}
