//! The switches by which a test makes the platform fail, and what is counted.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Reads a second that the platform takes.
pub(crate) const READS_PER_SECOND: u32 = 2_000;
/// Writes a second that the platform takes.
pub(crate) const WRITES_PER_SECOND: u32 = 500;
/// Objects in one page of a listing.
pub(crate) const PAGE_OBJECTS: usize = 1_000;

/// The switches; `PUT /control` takes any of them and leaves the others as they are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switches {
    /// Whether every request is answered as unavailable.
    pub down: bool,
    /// Operations that are answered as unavailable, such as `TransactWriteItems`.
    pub down_operations: BTreeSet<String>,
    /// How long every request takes, in milliseconds.
    pub slow_ms: u64,
    /// How many writes that take effect shall have their answer lost from now on.
    pub lose_answers: u32,
    /// How much longer requests of an access key take, in milliseconds: the way between regions.
    pub delays_ms: BTreeMap<String, u64>,
    /// Reads a second that are taken; more are throttled.
    pub reads_per_second: u32,
    /// Writes a second that are taken; more are throttled.
    pub writes_per_second: u32,
    /// Objects in one page of a listing.
    pub page_objects: usize,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            down: false,
            down_operations: BTreeSet::new(),
            slow_ms: 0,
            lose_answers: 0,
            delays_ms: BTreeMap::new(),
            reads_per_second: READS_PER_SECOND,
            writes_per_second: WRITES_PER_SECOND,
            page_objects: PAGE_OBJECTS,
        }
    }
}

/// What was asked of the platform since it started; `GET /control/counts`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Read units taken.
    pub reads: u64,
    /// Write units taken; a row in a transaction is two.
    pub writes: u64,
    /// Requests that were throttled.
    pub throttled: u64,
    /// Requests that found the platform switched off.
    pub refused: u64,
    /// Writes that took effect and whose answer was lost.
    pub answers_lost: u64,
    /// Requests by operation.
    pub operations: BTreeMap<String, u64>,
}
