//! What the unfinished requests of all callers of a node may hold together.
//!
//! Answers callers out of control: many connections that send or read slowly, or not at all, and
//! hold memory or descriptors meanwhile. Connections that are behind their pace give way first, then
//! those that hold more than a fair share; an ordinary request finds room.

use crank_protocol::Millis;

use crate::Moment;

const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;
/// The budget where the memory of the machine is not known: 16 bodies of 1 MiB, and their heads.
const DEFAULT_BUDGET_BYTES: u64 = 16 * MIB + MIB / 2;
const DEFAULT_MAX_CONNECTIONS: usize = 4_096;
/// The share of the memory that unfinished requests may hold; copies for encoding come on top.
const BUDGET_DIVISOR: u64 = 8;
/// The share of the budget that is open to small requests only.
const SMALL_DIVISOR: u64 = 8;
/// The largest request that counts as small.
const MAX_SMALL_BYTES: u64 = 64 * KIB;
/// What the buffers of one connection may hold in the process and in the system.
const CONNECTION_BYTES: u64 = 80 * KIB;
const CONNECTIONS_DIVISOR: u64 = 2;
const MIN_CONNECTIONS: usize = 16;

/// What a process may use of its machine; `None` where it is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MachineLimits {
    /// The memory of the process, in bytes.
    pub memory_bytes: Option<u64>,
    /// The number of descriptors that the process may have open.
    pub descriptors: Option<u32>,
}

/// The bounds of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The most connections at once.
    pub connections: usize,
    /// The most bytes that unfinished requests hold together.
    pub bytes: u64,
    /// The part of `bytes` that only small requests may use.
    pub bytes_for_small: u64,
}

impl Bounds {
    /// Returns the bounds for callers on a machine.
    ///
    /// ```
    /// use crank_engine::caller_budget::{Bounds, MachineLimits};
    /// let small = MachineLimits { memory_bytes: Some(64 << 20), descriptors: Some(256) };
    /// assert_eq!(Bounds::for_callers(small).connections, 128);
    /// assert_eq!(Bounds::for_callers(small).bytes, 8 << 20);
    /// ```
    #[must_use]
    pub fn for_callers(machine: MachineLimits) -> Self {
        let by_descriptors = machine.descriptors.map(|all| all as usize / 2);
        let by_memory = machine.memory_bytes.map(|memory| {
            usize::try_from(memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES).unwrap_or(usize::MAX)
        });
        let connections = DEFAULT_MAX_CONNECTIONS
            .min(by_descriptors.unwrap_or(usize::MAX))
            .min(by_memory.unwrap_or(usize::MAX))
            .max(MIN_CONNECTIONS);
        let bytes = machine.memory_bytes.map(|memory| memory / BUDGET_DIVISOR);
        Self {
            connections,
            bytes: bytes.unwrap_or(DEFAULT_BUDGET_BYTES),
            bytes_for_small: bytes.map_or(0, |bytes| bytes / SMALL_DIVISOR),
        }
    }

    /// Returns the bounds for a listener of the node's own neighbours: its server, the platform and
    /// operators.
    ///
    /// ```
    /// use crank_engine::caller_budget::{Bounds, MachineLimits};
    /// assert_eq!(Bounds::for_neighbours(MachineLimits::default()).connections, 64);
    /// ```
    #[must_use]
    pub fn for_neighbours(machine: MachineLimits) -> Self {
        const MAX_NEIGHBOURS: usize = 64;
        const DESCRIPTOR_SHARE: usize = 16;
        let by_descriptors = machine
            .descriptors
            .map_or(MAX_NEIGHBOURS, |all| all as usize / DESCRIPTOR_SHARE);
        Self {
            connections: by_descriptors.clamp(MIN_CONNECTIONS, MAX_NEIGHBOURS),
            bytes: MAX_NEIGHBOURS as u64 * MAX_SMALL_BYTES,
            bytes_for_small: 0,
        }
    }

    /// Returns the bounds for connections of other nodes that have not said hello yet.
    ///
    /// ```
    /// use crank_engine::caller_budget::{Bounds, MachineLimits};
    /// assert_eq!(Bounds::for_newcomers(MachineLimits::default()).connections, 512);
    /// ```
    #[must_use]
    pub fn for_newcomers(machine: MachineLimits) -> Self {
        const MAX_NEWCOMERS: usize = 512;
        const DESCRIPTOR_SHARE: usize = 16;
        let by_descriptors = machine
            .descriptors
            .map_or(MAX_NEWCOMERS, |all| all as usize / DESCRIPTOR_SHARE);
        Self {
            connections: by_descriptors.clamp(MIN_CONNECTIONS, MAX_NEWCOMERS),
            bytes: 0,
            bytes_for_small: 0,
        }
    }
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It has no request.
    Idle,
    /// Its peer sends the head of a request.
    Head,
    /// Its peer sends the body of a request.
    Body,
    /// A request that is whole in hand runs, or its answer is sent.
    Answering,
    /// Its peer does not take the answer.
    Blocked,
}

/// A connection and what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The number of the connection.
    pub id: u64,
    /// What the connection does.
    pub activity: Activity,
    /// Since when it does so.
    pub since: Moment,
    /// The bytes that have passed since then.
    pub bytes: u64,
    /// When the last of them passed.
    pub last_byte_at: Moment,
    /// The bytes that its unfinished requests hold.
    pub held: u64,
}

/// The least progress that is expected of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// The time before any byte is due.
    pub grace: Millis,
    /// The bytes a second that are due after it.
    pub bytes_per_second: u64,
}

impl Pace {
    /// Returns the time that a peer may take until the next byte, from the start of its message.
    ///
    /// ```
    /// use crank_engine::caller_budget::Pace;
    /// use crank_protocol::Millis;
    /// let pace = Pace { grace: Millis(1_000), bytes_per_second: 100 };
    /// assert_eq!(pace.time_allowed(50), Millis(1_500));
    /// ```
    #[must_use]
    pub fn time_allowed(self, bytes: u64) -> Millis {
        const MILLIS_PER_SECOND: u64 = 1_000;
        let earned = bytes.saturating_mul(MILLIS_PER_SECOND) / self.bytes_per_second;
        Millis(self.grace.0.saturating_add(earned))
    }

    fn is_missed(self, progress: &ConnectionUse, now: Moment) -> bool {
        now > progress.since.after(self.time_allowed(progress.bytes))
    }
}

/// The time-outs of connections. Their defaults leave room for any client that makes progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// How long the head of a request may take.
    pub head: Millis,
    /// How long a connection may have no request.
    pub idle: Millis,
    /// The least pace of a body.
    pub body: Pace,
    /// The least pace at which an answer is taken.
    pub reader: Pace,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            head: Millis(100_000),
            idle: Millis(100_000),
            body: Pace {
                grace: Millis(30_000),
                bytes_per_second: 64 * KIB,
            },
            reader: Pace {
                grace: Millis(15_000),
                bytes_per_second: KIB,
            },
        }
    }
}

impl Timeouts {
    /// Returns whether a connection is to be closed, whether or not there is room.
    ///
    /// ```
    /// use crank_engine::{Moment, caller_budget::{Activity, ConnectionUse, Timeouts}};
    /// let head = ConnectionUse { id: 1, activity: Activity::Head, since: Moment(0), bytes: 9,
    ///     last_byte_at: Moment(0), held: 0 };
    /// assert!(!Timeouts::default().is_over(&head, Moment(99_000_000)));
    /// assert!(Timeouts::default().is_over(&head, Moment(101_000_000)));
    /// ```
    #[must_use]
    pub fn is_over(&self, connection: &ConnectionUse, now: Moment) -> bool {
        match connection.activity {
            Activity::Idle => now > connection.since.after(self.idle),
            Activity::Head => now > connection.since.after(self.head),
            Activity::Blocked => self.reader.is_missed(connection, now),
            // The reader of a body answers one that is too slow.
            Activity::Body | Activity::Answering => false,
        }
    }
}

/// The pace below which a connection gives way when room is short.
const SHORTAGE_PACE: Pace = Pace {
    grace: Millis(1_000),
    bytes_per_second: 16 * KIB,
};
/// How long an idle connection is kept when room is short.
const SHORTAGE_IDLE: Millis = Millis(500);

fn is_behind(connection: &ConnectionUse, now: Moment) -> bool {
    match connection.activity {
        Activity::Head => now > connection.since.after(SHORTAGE_PACE.grace),
        Activity::Body | Activity::Blocked => {
            now > connection.last_byte_at.after(SHORTAGE_PACE.grace)
                || SHORTAGE_PACE.is_missed(connection, now)
        }
        Activity::Idle | Activity::Answering => false,
    }
}

/// Returns the connection that gives way to a new one: the one that has been behind its pace for
/// longest, or else idle for longest; `None` if all are in use.
///
/// ```
/// use crank_engine::{Moment, caller_budget::{Activity, ConnectionUse, connection_to_close}};
/// let at = |id, activity, since| ConnectionUse {
///     id, activity, since: Moment(since), bytes: 0, last_byte_at: Moment(since), held: 0 };
/// let connections = [at(1, Activity::Idle, 0), at(2, Activity::Head, 5), at(3, Activity::Answering, 0)];
/// assert_eq!(connection_to_close(Moment(2_000_000), &connections), Some(2));
/// ```
#[must_use]
pub fn connection_to_close(now: Moment, connections: &[ConnectionUse]) -> Option<u64> {
    let oldest = |is_candidate: &dyn Fn(&&ConnectionUse) -> bool| {
        let candidates = connections.iter().filter(is_candidate);
        candidates.min_by_key(|connection| connection.since)
    };
    let is_idle = |connection: &&ConnectionUse| {
        connection.activity == Activity::Idle && now > connection.since.after(SHORTAGE_IDLE)
    };
    let behind = oldest(&|connection| is_behind(connection, now));
    let found = behind.or_else(|| oldest(&is_idle));
    found.map(|connection| connection.id)
}

/// What becomes of a wish for bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// There is room once these connections have given way.
    Granted {
        /// The connections that give way.
        closing: Vec<u64>,
    },
    /// There is no room: the request is refused as not run.
    Refused,
}

/// A wish of one connection for bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wish {
    /// The number of the connection.
    pub id: u64,
    /// The bytes that it holds so far.
    pub held: u64,
    /// The bytes that it wants in addition.
    pub bytes: u64,
}

/// Decides whether a connection may hold more bytes, given what all connections hold.
///
/// ```
/// use crank_engine::{Moment, caller_budget::{Bounds, MachineLimits, Verdict, Wish, decide}};
/// let bounds = Bounds::for_callers(MachineLimits::default());
/// let wish = Wish { id: 1, held: 0, bytes: 1_000 };
/// assert_eq!(decide(Moment(0), bounds, wish, &[]), Verdict::Granted { closing: vec![] });
/// ```
#[must_use]
pub fn decide(now: Moment, bounds: Bounds, wish: Wish, connections: &[ConnectionUse]) -> Verdict {
    let wanted = wish.held + wish.bytes;
    let is_small = wanted <= MAX_SMALL_BYTES;
    let reserved = if is_small { 0 } else { bounds.bytes_for_small };
    let all: u64 = connections.iter().map(|connection| connection.held).sum();
    let mut shortage = (all + wish.bytes).saturating_sub(bounds.bytes - reserved);
    let mut closing = Vec::new();
    if shortage == 0 {
        return Verdict::Granted { closing };
    }
    for connection in giving_way(now, bounds, wish, connections) {
        closing.push(connection.id);
        shortage = shortage.saturating_sub(connection.held);
        if shortage == 0 {
            return Verdict::Granted { closing };
        }
    }
    Verdict::Refused
}

/// Returns the connections that may have to give way, in their order: those behind their pace, then
/// those that still receive and hold more than a fair share; of each, the largest first.
fn giving_way(
    now: Moment,
    bounds: Bounds,
    wish: Wish,
    connections: &[ConnectionUse],
) -> Vec<&ConnectionUse> {
    let holders = connections.iter().filter(|connection| connection.held > 0);
    let holders: Vec<_> = holders.filter(|holder| holder.id != wish.id).collect();
    let fair_share = bounds.bytes / (holders.len() as u64 + 1);
    let largest_first = |mut chosen: Vec<_>| {
        chosen.sort_by_key(|connection: &&ConnectionUse| std::cmp::Reverse(connection.held));
        chosen
    };
    let (behind, others): (Vec<_>, Vec<_>) = holders
        .into_iter()
        .partition(|holder| is_behind(holder, now));
    let is_above_share = |holder: &&ConnectionUse| {
        holder.activity == Activity::Body
            && holder.held > fair_share
            && holder.held > wish.held + wish.bytes
    };
    let above_share = others.into_iter().filter(is_above_share).collect();
    let mut order = largest_first(behind);
    order.extend(largest_first(above_share));
    order
}
