//! How many connections other nodes may have open to a node.
//!
//! Answers nodes that open connections without end, or that stand for a crowd of strangers: a node
//! with few connections finds room beside one with many.

use std::collections::BTreeMap;

use crank_protocol::Name;

use crate::caller_budget::MachineLimits;

const MAX_CALLS: usize = 1_024;
const MIN_CALLS: usize = 32;
/// One in use; the others have gone silent and were replaced.
const MAX_CALLS_BY_PEER: usize = 8;
const MAX_CONTROLS: usize = 256;
const MIN_CONTROLS: usize = 16;
/// The parts that the descriptors are divided into; callers and other listeners have the rest.
const DESCRIPTOR_PARTS: usize = 32;
const CALL_PARTS: usize = 5;
const CONTROL_PARTS: usize = 2;

/// The bounds for the connections that other nodes open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The most call connections of all nodes together.
    pub calls: usize,
    /// The most call connections of one node.
    pub calls_by_peer: usize,
    /// The number of control connections at which none is accepted.
    pub controls: usize,
}

impl Bounds {
    /// Returns the bounds on a machine.
    ///
    /// ```
    /// use crank_engine::caller_budget::MachineLimits;
    /// use crank_engine::peer_budget::Bounds;
    /// let machine = MachineLimits { memory_bytes: None, descriptors: Some(8_192) };
    /// assert_eq!(Bounds::new(machine).calls, 1_024);
    /// assert_eq!(Bounds::new(machine).controls, 256);
    /// ```
    #[must_use]
    pub fn new(machine: MachineLimits) -> Self {
        let part = machine
            .descriptors
            .map(|all| all as usize / DESCRIPTOR_PARTS);
        let calls = part.map_or(MAX_CALLS, |part| part * CALL_PARTS);
        let controls = part.map_or(MAX_CONTROLS, |part| part * CONTROL_PARTS);
        Self {
            calls: calls.clamp(MIN_CALLS, MAX_CALLS),
            calls_by_peer: MAX_CALLS_BY_PEER,
            controls: controls.clamp(MIN_CONTROLS, MAX_CONTROLS),
        }
    }
}

/// An open call connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The number of the connection; a later one has a higher number.
    pub id: u64,
    /// The node that opened it.
    pub peer: Name,
}

/// What becomes of a new call connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is room.
    Accepted,
    /// There is room once this connection has ended.
    Replaces(u64),
    /// There is none: all nodes have as few connections as this one.
    Refused,
}

/// Decides whether a node may open one more call connection, given those that are open, the oldest
/// first.
///
/// ```
/// use crank_engine::caller_budget::MachineLimits;
/// use crank_engine::peer_budget::{Bounds, Verdict, decide};
/// let peer = crank_protocol::Name::new("node-2")?;
/// let bounds = Bounds::new(MachineLimits::default());
/// assert_eq!(decide(bounds, &peer, &[]), Verdict::Accepted);
/// # Ok::<(), crank_protocol::Error>(())
/// ```
#[must_use]
pub fn decide(bounds: Bounds, peer: &Name, open: &[Call]) -> Verdict {
    let oldest_of = |peer: &Name| {
        let oldest = open.iter().find(|call| call.peer == *peer);
        oldest.map_or(Verdict::Refused, |call| Verdict::Replaces(call.id))
    };
    let mut counts = BTreeMap::<&Name, usize>::new();
    for call in open {
        *counts.entry(&call.peer).or_default() += 1;
    }
    let own = counts.get(peer).copied().unwrap_or(0);
    if own >= bounds.calls_by_peer {
        return oldest_of(peer);
    }
    if open.len() < bounds.calls {
        return Verdict::Accepted;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    match most {
        Some((largest, count)) if count > own + 1 => oldest_of(largest),
        _ => oldest_of(peer),
    }
}
