//! Shares of client accounts in the slots of a server: start-time fair queueing in rounds.
//!
//! Load pattern: one client account sends many times its usual load. In the order of deadlines alone
//! its requests fill the queue and the slots, and small accounts are refused as often as it is.
//!
//! Each request gets a start tag (Goyal, Vin and Cheng, 1996): the slot time that its account has
//! used or asked for, but never less than the tag of the request that started last, so that an idle
//! account saves up nothing. Tags are compared in rounds; within a round the order of deadlines
//! holds, so that short calls keep their place before requests with far more time.

use std::collections::BTreeMap;

use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

/// The slot time that an account may use in one round.
const ROUND: Millis = Millis(100);
/// Accounts that are not behind are dropped when more than this many are known.
const MAX_IDLE_ACCOUNTS: usize = 256;
const MICROS_PER_MILLI: u64 = 1_000;

/// The slot time that accounts have used or asked for, in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FairShare {
    virtual_time: u64,
    finish_tags: BTreeMap<Name, u64>,
}

/// The place of a request among those of other accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Turn {
    start_tag: u64,
}

impl Turn {
    pub(super) fn round(self) -> u64 {
        self.start_tag / (ROUND.0 * MICROS_PER_MILLI)
    }
}

impl FairShare {
    /// Returns the turn of a request that arrives now; a request without an account is not held
    /// back.
    pub(super) fn next_turn(&self, account: Option<&Name>) -> Turn {
        let finish_tag = account.and_then(|account| self.finish_tags.get(account));
        Turn {
            start_tag: finish_tag.map_or(self.virtual_time, |tag| (*tag).max(self.virtual_time)),
        }
    }

    /// Books the expected run time of a request that will run or wait.
    pub(super) fn book(&mut self, account: &Name, turn: Turn, run_micros: u64) {
        if self.finish_tags.len() > MAX_IDLE_ACCOUNTS {
            let virtual_time = self.virtual_time;
            self.finish_tags.retain(|_, tag| *tag > virtual_time);
        }
        let finish_tag = turn.start_tag.saturating_add(run_micros);
        self.finish_tags.insert(account.clone(), finish_tag);
    }

    /// Gives back what a request booked that will not run.
    pub(super) fn cancel(&mut self, account: &Name, run_micros: u64) {
        if let Some(tag) = self.finish_tags.get_mut(account) {
            *tag = tag.saturating_sub(run_micros);
        }
    }

    /// Records that a request starts to run.
    pub(super) fn start(&mut self, turn: Turn) {
        self.virtual_time = self.virtual_time.max(turn.start_tag);
    }
}
