//! The schedule of a soak run, generated from one seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// The shortest and the longest pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_200;
/// How long a fault holds, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 400..4_000;
/// Time between SIGTERM and the restart of a process.
const HANDOVER: Duration = Duration::from_secs(4);
/// Time between the crash of an instance and its restart.
const CRASHED: Duration = Duration::from_millis(700);
/// One in this many seeds gives a plan with planned work only.
const PLANNED_ONLY: u64 = 4;

/// How a proxy treats its connections, as the fault that it injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkCondition {
    /// Forwards all data.
    Open,
    /// Forwards all data with a delay.
    Slow {
        /// The delay of each piece of data, in milliseconds.
        delay_ms: u64,
    },
    /// Forwards requests but holds back responses.
    OneWay,
    /// Holds back all data in both directions without closing connections.
    Silent,
    /// Closes open connections and each new one.
    Reset,
}

/// One fault, repair or edit that is applied to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A node and its backend server are killed.
    Crash(usize),
    /// A node and its backend server get SIGTERM.
    Terminate(usize),
    /// A node and its backend server are restarted with no state from before.
    Start(usize),
    /// A node is suspended by SIGSTOP.
    Freeze(usize),
    /// A suspended node is resumed by SIGCONT.
    Wake(usize),
    /// The condition of a node's connections to the store changes.
    StoreLine(usize, LinkCondition),
    /// The condition of the callers' connections to a node changes.
    CallerLine(usize, LinkCondition),
    /// The store becomes unavailable (`true`) or available again (`false`).
    StoreDown(bool),
    /// The store delays each response by this many milliseconds.
    StoreSlow(u64),
    /// The store loses the responses to this many of the next writes.
    StoreLoses(u32),
    /// An operator edits the folder; the number is that of the edit.
    Edit(u64),
}

/// A step and the time at which it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ScheduledStep {
    /// Time since the start of the run, in milliseconds.
    pub at_ms: u64,
    /// The step to apply.
    pub step: Step,
}

/// The steps of a soak run; the same arguments give the same plan.
///
/// ```
/// use std::time::Duration;
/// use crank_load::soak::Plan;
/// let length = Duration::from_secs(10);
/// assert_eq!(Plan::new(7, 6, length), Plan::new(7, 6, length));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// The seed from which the plan was generated.
    pub seed: u64,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Whether the plan holds only planned work (edits and graceful restarts).
    pub is_planned_only: bool,
    /// All steps, sorted by time; every fault is undone by the end.
    pub due: Vec<ScheduledStep>,
}

impl Plan {
    /// Generates a plan for a fleet of `nodes` nodes; its last fault begins before `length` ends.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use crank_load::soak::Plan;
    /// assert!(!Plan::new(1, 6, Duration::from_secs(10)).due.is_empty());
    /// ```
    #[must_use]
    pub fn new(seed: u64, nodes: usize, length: Duration) -> Self {
        let mut draw = Draw {
            rng: ChaCha8Rng::seed_from_u64(seed),
            away: vec![0; nodes],
            due: Vec::new(),
            edits: 0,
        };
        let is_planned_only = seed.is_multiple_of(PLANNED_ONLY);
        let end = millis(length);
        let mut at = draw.rng.random_range(PAUSE_MS);
        while at < end {
            draw.fault(at, is_planned_only);
            at += draw.rng.random_range(PAUSE_MS);
        }
        let mut due = draw.due;
        due.sort_by_key(|due| due.at_ms);
        Self {
            seed,
            nodes,
            is_planned_only,
            due,
        }
    }
}

struct Draw {
    rng: ChaCha8Rng,
    /// The time until which each node is down or suspended, in milliseconds.
    away: Vec<u64>,
    due: Vec<ScheduledStep>,
    edits: u64,
}

impl Draw {
    fn fault(&mut self, at: u64, is_planned_only: bool) {
        let hold = self.rng.random_range(HOLD_MS);
        let kind = if is_planned_only {
            self.rng.random_range(0..3)
        } else {
            self.rng.random_range(0..9)
        };
        match kind {
            0 | 1 => self.edit(at),
            2 => self.leave(at, Step::Terminate, HANDOVER),
            3 => self.leave(at, Step::Crash, CRASHED),
            4 => self.freeze(at, hold),
            5 => self.line(at, hold, Step::StoreLine),
            6 => self.line(at, hold, Step::CallerLine),
            7 => self.pair(at, hold, Step::StoreDown(true), Step::StoreDown(false)),
            _ => self.store(at, hold),
        }
    }

    fn push(&mut self, at_ms: u64, step: Step) {
        self.due.push(ScheduledStep { at_ms, step });
    }

    fn pair(&mut self, at: u64, hold: u64, fault: Step, end: Step) {
        self.push(at, fault);
        self.push(at + hold, end);
    }

    fn edit(&mut self, at: u64) {
        self.edits += 1;
        self.push(at, Step::Edit(self.edits));
    }

    /// Picks a node that is up, unless half of the nodes or more are down or suspended.
    fn node(&mut self, at: u64) -> Option<usize> {
        let there: Vec<usize> = (0..self.away.len())
            .filter(|node| self.away[*node] <= at)
            .collect();
        if there.len() <= self.away.len() / 2 {
            return None;
        }
        there.choose(&mut self.rng).copied()
    }

    fn leave(&mut self, at: u64, step: fn(usize) -> Step, wait: Duration) {
        if let Some(node) = self.node(at) {
            self.away[node] = at + millis(wait) + millis(CRASHED);
            self.pair(at, millis(wait), step(node), Step::Start(node));
        }
    }

    fn freeze(&mut self, at: u64, hold: u64) {
        if let Some(node) = self.node(at) {
            self.away[node] = at + hold + 1;
            self.pair(at, hold, Step::Freeze(node), Step::Wake(node));
        }
    }

    fn line(&mut self, at: u64, hold: u64, step: fn(usize, LinkCondition) -> Step) {
        let node = self.rng.random_range(0..self.away.len());
        let delay_ms = self.rng.random_range(20..400);
        let lines = [
            LinkCondition::Slow { delay_ms },
            LinkCondition::OneWay,
            LinkCondition::Silent,
            LinkCondition::Reset,
        ];
        let line = *lines.choose(&mut self.rng).unwrap_or(&LinkCondition::Reset);
        self.pair(at, hold, step(node, line), step(node, LinkCondition::Open));
    }

    fn store(&mut self, at: u64, hold: u64) {
        if self.rng.random() {
            let slow = self.rng.random_range(50..600);
            self.pair(at, hold, Step::StoreSlow(slow), Step::StoreSlow(0));
        } else {
            let answers = self.rng.random_range(1..6);
            self.push(at, Step::StoreLoses(answers));
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
