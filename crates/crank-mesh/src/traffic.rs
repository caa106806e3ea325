//! Byte counters of the control traffic.

use std::sync::atomic::{AtomicU64, Ordering};

/// The size of the IP and UDP headers of a datagram.
const UDP_HEADER_BYTES: u64 = 28;
/// The size of the IP, TCP (with timestamps) and WebSocket headers of a frame.
const FRAME_HEADER_BYTES: u64 = 60;
/// The size of the TCP segment that acknowledges a frame.
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

/// The purpose of control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficKind {
    /// Datagrams: probes with gossip, and status queries with their answers.
    Probe,
    /// Membership updates on control connections.
    News,
    /// Full member tables.
    Members,
    /// Configuration deltas.
    Delta,
    /// Full configuration snapshots.
    Snapshot,
    /// Hellos, stamps and requests for data.
    Other,
}

/// Whether traffic stays within the region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reach {
    /// Within the region.
    Near,
    /// Between regions.
    Far,
}

/// The direction of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// Sent by this node.
    Sent,
    /// Received by this node.
    Received,
}

/// The number of bytes of one kind, reach and direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ByteCount {
    /// The purpose of the traffic.
    pub kind: TrafficKind,
    /// Whether the traffic stayed within the region.
    pub reach: Reach,
    /// The direction of the traffic.
    pub direction: Direction,
    /// The number of bytes, including IP, UDP, TCP and WebSocket headers and TCP acknowledgements.
    pub bytes: u64,
}

/// Counters of the control bytes since the node started.
#[derive(Debug, Default)]
pub struct Traffic([[[AtomicU64; 2]; 2]; 6]);

impl Traffic {
    /// Returns the counts of all combinations of kind, reach and direction.
    ///
    /// ```
    /// let traffic = crank_mesh::Traffic::default();
    /// assert_eq!(traffic.byte_counts().map(|count| count.bytes).sum::<u64>(), 0);
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

    /// Counts a datagram.
    pub(crate) fn add_datagram(&self, reach: Reach, direction: Direction, bytes: usize) {
        self.add(
            TrafficKind::Probe,
            reach,
            direction,
            bytes as u64 + UDP_HEADER_BYTES,
        );
    }

    /// Counts a frame and, in the opposite direction, its TCP acknowledgement.
    pub(crate) fn add_frame(
        &self,
        kind: TrafficKind,
        reach: Reach,
        direction: Direction,
        bytes: usize,
    ) {
        self.add(kind, reach, direction, bytes as u64 + FRAME_HEADER_BYTES);
        let opposite = match direction {
            Direction::Sent => Direction::Received,
            Direction::Received => Direction::Sent,
        };
        self.add(kind, reach, opposite, TCP_ACK_BYTES);
    }

    fn add(&self, kind: TrafficKind, reach: Reach, direction: Direction, bytes: u64) {
        self.counter(kind, reach, direction)
            .fetch_add(bytes, Ordering::Relaxed);
    }

    fn counter(&self, kind: TrafficKind, reach: Reach, direction: Direction) -> &AtomicU64 {
        &self.0[kind as usize][reach as usize][direction as usize]
    }
}
