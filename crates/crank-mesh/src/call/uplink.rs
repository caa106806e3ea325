//! The uplink of this node, as the responses of all its call connections share it.

use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::uplink::{MAX_SMALL_RESPONSE_BYTES, TURN_BYTES, Uplink};
use crank_protocol::Millis;
use crank_protocol::call::RequestHead;
use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep_until};

use super::MAX_CHUNK_BYTES;

/// The uplink of a node; clones share it.
#[derive(Debug, Clone)]
pub struct SharedUplink {
    started_at: Instant,
    state: Arc<Mutex<Uplink>>,
}

impl SharedUplink {
    /// Creates the state of a link of this width; with zero, which means unknown, nothing waits.
    ///
    /// ```
    /// let uplink = crank_mesh::call::SharedUplink::new(20);
    /// ```
    #[must_use]
    pub fn new(link_mbits: u32) -> Self {
        Self {
            started_at: Instant::now(),
            state: Arc::new(Mutex::new(Uplink::new(link_mbits))),
        }
    }

    /// Books the response that a request is expected to have, if it is a large one.
    ///
    /// # Errors
    /// Returns how much later than in time the response would end.
    pub(super) fn book(&self, head: &RequestHead) -> Result<Booking, Millis> {
        let expected = head.expected_response_bytes.unwrap_or(0);
        let mut booking = Booking {
            uplink: self.clone(),
            bytes: 0,
        };
        if expected <= MAX_SMALL_RESPONSE_BYTES {
            return Ok(booking);
        }
        let now = self.now();
        let time_left = head.latency_target.unwrap_or(head.time_left);
        let latest = now.after(time_left.min(head.time_left));
        self.state.lock().book(now, expected, latest)?;
        booking.bytes = expected;
        Ok(booking)
    }

    fn now(&self) -> Moment {
        let micros = self.started_at.elapsed().as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// The part of the link that one response needs; what is left of it is released when dropped.
pub(super) struct Booking {
    uplink: SharedUplink,
    bytes: u64,
}

impl Booking {
    /// Starts the response, whose length replaces the expected one.
    pub(super) fn start(mut self, length: Option<u64>) -> Pace {
        let now = self.uplink.now();
        let mut state = self.uplink.state.lock();
        state.release(std::mem::take(&mut self.bytes));
        match length {
            Some(length) if length <= MAX_SMALL_RESPONSE_BYTES => {
                state.send_now(now, length);
                Pace::AtOnce
            }
            Some(_) | None => {
                let length = length.unwrap_or(0);
                state.book_more(length);
                drop(state);
                self.bytes = length;
                Pace::InTurns(self)
            }
        }
    }

    /// Waits until the link has room for the next part.
    async fn wait(&mut self, part_bytes: u64) {
        let released = self.bytes.min(part_bytes);
        self.bytes -= released;
        let turn = {
            let now = self.uplink.now();
            let mut state = self.uplink.state.lock();
            state.release(released);
            state.take_turn(now, part_bytes)
        };
        sleep_until(self.uplink.started_at + Duration::from_micros(turn.0)).await;
    }
}

impl Drop for Booking {
    fn drop(&mut self) {
        self.uplink.state.lock().release(self.bytes);
    }
}

/// When the parts of a response are sent.
pub(super) enum Pace {
    /// A small response does not wait.
    AtOnce,
    /// The parts of a large response take turns with those of others.
    InTurns(Booking),
}

impl Pace {
    /// Returns the maximum size of a part.
    pub(super) fn max_part_bytes(&self) -> usize {
        match self {
            Self::AtOnce => MAX_CHUNK_BYTES,
            Self::InTurns(_) => TURN_BYTES,
        }
    }

    /// Waits until the next part may be sent.
    pub(super) async fn wait(&mut self, part_bytes: u64) {
        match self {
            Self::AtOnce => {}
            Self::InTurns(booking) => booking.wait(part_bytes).await,
        }
    }
}
