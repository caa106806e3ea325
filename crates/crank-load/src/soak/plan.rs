//! What a soak does and when, drawn from one seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// The shortest and the longest pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_200;
/// How long a fault holds, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 400..4_000;
/// How long after SIGTERM a process is waited for and started anew.
const HANDOVER: Duration = Duration::from_secs(4);
/// How long an instance that crashed stays away.
const CRASHED: Duration = Duration::from_millis(700);
/// Of so many plans one holds only planned work.
const PLANNED_ONLY: u64 = 4;

/// How a proxy treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// It passes everything on.
    Open,
    /// It passes everything on later.
    Slow {
        /// How much later, in milliseconds.
        delay_ms: u64,
    },
    /// What the answering side says does not arrive.
    OneWay,
    /// Nothing arrives, and nobody is told.
    Silent,
    /// It resets what is open and takes nothing new.
    Reset,
}

/// One thing that is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A node and its backend server are killed.
    Crash(usize),
    /// A node and its backend server get SIGTERM.
    Terminate(usize),
    /// They are started again, without memory.
    Start(usize),
    /// A node is frozen.
    Freeze(usize),
    /// It goes on.
    Wake(usize),
    /// A node's way to the store changes.
    StoreLine(usize, Line),
    /// The callers' way to a node changes.
    CallerLine(usize, Line),
    /// The store answers nothing, or answers again.
    StoreDown(bool),
    /// The store takes so many milliseconds longer.
    StoreSlow(u64),
    /// The store loses the answers of the next writes.
    StoreLoses(u32),
    /// An operator changes the folder.
    Edit(u64),
}

/// A step and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Due {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// What is done.
    pub step: Step,
}

/// A soak's steps; the same seed gives the same plan.
///
/// ```
/// use std::time::Duration;
/// use crank_load::soak::Plan;
/// let length = Duration::from_secs(10);
/// assert_eq!(Plan::new(7, 6, length), Plan::new(7, 6, length));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// The nodes of the fleet.
    pub nodes: usize,
    /// Whether nothing but planned work happens.
    pub is_planned_only: bool,
    /// All steps in the order of their times; each fault is undone in the end.
    pub due: Vec<Due>,
}

impl Plan {
    /// Draws a plan for a fleet of so many nodes; its last fault begins before `length` is over.
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
    /// Until when each node is away or frozen.
    away: Vec<u64>,
    due: Vec<Due>,
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
        self.due.push(Due { at_ms, step });
    }

    fn pair(&mut self, at: u64, hold: u64, fault: Step, end: Step) {
        self.push(at, fault);
        self.push(at + hold, end);
    }

    fn edit(&mut self, at: u64) {
        self.edits += 1;
        self.push(at, Step::Edit(self.edits));
    }

    /// A node that is there now, as long as most others are there too.
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

    fn line(&mut self, at: u64, hold: u64, step: fn(usize, Line) -> Step) {
        let node = self.rng.random_range(0..self.away.len());
        let delay_ms = self.rng.random_range(20..400);
        let lines = [
            Line::Slow { delay_ms },
            Line::OneWay,
            Line::Silent,
            Line::Reset,
        ];
        let line = *lines.choose(&mut self.rng).unwrap_or(&Line::Reset);
        self.pair(at, hold, step(node, line), step(node, Line::Open));
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
