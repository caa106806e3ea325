//! Counts of control bytes.

use std::sync::atomic::{AtomicU64, Ordering};

/// IP and UDP headers of a datagram.
const UDP_HEADER_BYTES: u64 = 28;
/// IP, TCP (with timestamps) and WebSocket headers of a frame.
const FRAME_HEADER_BYTES: u64 = 60;
/// The segment that acknowledges a frame.
const TCP_ACK_BYTES: u64 = 52;

const KINDS: [TrafficKind; 6] = [
    TrafficKind::Probe,
    TrafficKind::News,
    TrafficKind::Members,
    TrafficKind::Delta,
    TrafficKind::Snapshot,
    TrafficKind::Other,
];
const REACHES: [Reach; 2] = [Reach::Near, Reach::Far];
const DIRECTIONS: [Direction; 2] = [Direction::Sent, Direction::Received];

/// What bytes were for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficKind {
    /// Datagrams: probes, with gossip, and questions for the status.
    Probe,
    /// News of members on connections.
    News,
    /// Whole member tables.
    Members,
    /// Deltas of the configuration.
    Delta,
    /// Whole configurations.
    Snapshot,
    /// Greetings, stamps and requests.
    Other,
}

/// Whether bytes stay within the region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reach {
    /// Within the region.
    Near,
    /// Between regions.
    Far,
}

/// Which way bytes went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From this node.
    Sent,
    /// To this node.
    Received,
}

/// One count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ByteCount {
    /// What the bytes were for.
    pub kind: TrafficKind,
    /// Whether they stayed within the region.
    pub reach: Reach,
    /// Which way they went.
    pub direction: Direction,
    /// How many, with the headers of IP, UDP, TCP and WebSocket, and acknowledgements of frames.
    pub bytes: u64,
}

/// Control bytes since the node started.
#[derive(Debug, Default)]
pub struct Traffic([[[AtomicU64; 2]; 2]; 6]);

impl Traffic {
    /// Every count.
    ///
    /// ```
    /// let traffic = crank_mesh::Traffic::default();
    /// assert_eq!(traffic.byte_counts().map(|usage| usage.bytes).sum::<u64>(), 0);
    /// ```
    pub fn byte_counts(&self) -> impl Iterator<Item = ByteCount> {
        KINDS.into_iter().flat_map(move |kind| {
            REACHES.into_iter().flat_map(move |reach| {
                DIRECTIONS.into_iter().map(move |direction| ByteCount {
                    kind,
                    reach,
                    direction,
                    bytes: self.counter(kind, reach, direction).load(Ordering::Relaxed),
                })
            })
        })
    }

    pub(crate) fn datagram(&self, reach: Reach, direction: Direction, bytes: usize) {
        self.add(
            TrafficKind::Probe,
            reach,
            direction,
            bytes as u64 + UDP_HEADER_BYTES,
        );
    }

    pub(crate) fn frame(
        &self,
        kind: TrafficKind,
        reach: Reach,
        direction: Direction,
        bytes: usize,
    ) {
        self.add(kind, reach, direction, bytes as u64 + FRAME_HEADER_BYTES);
        let back = match direction {
            Direction::Sent => Direction::Received,
            Direction::Received => Direction::Sent,
        };
        self.add(kind, reach, back, TCP_ACK_BYTES);
    }

    fn add(&self, kind: TrafficKind, reach: Reach, direction: Direction, bytes: u64) {
        self.counter(kind, reach, direction)
            .fetch_add(bytes, Ordering::Relaxed);
    }

    fn counter(&self, kind: TrafficKind, reach: Reach, direction: Direction) -> &AtomicU64 {
        &self.0[kind as usize][reach as usize][direction as usize]
    }
}
