//! The uplink of a node, shared between small and large responses.
//!
//! Load pattern: large responses that together exceed the link. Sent as they come, they fill the
//! queue of the link, and the small responses behind them, among them those to the calls that
//! backend servers make, miss their deadlines; the callers of these servers then fail as well.
//! Here small responses go at once, the parts of large ones take turns in what these leave, and a
//! large one that could not end in time is refused before its request runs.
//!
//! Load pattern: a route whose responses were too large for the link once. What is expected of a
//! response comes from those before it; if all of them were refused, nothing would ever correct an
//! expectation that no longer holds. So an idle link takes one, whatever is expected of it.

use crank_protocol::Millis;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// The largest response, in bytes, that is sent without waiting for its turn.
pub const MAX_SMALL_RESPONSE_BYTES: u64 = 32 * 1_024;
/// The number of bytes of a large response that are sent at once.
pub const TURN_BYTES: usize = 16 * 1_024;

/// The part of the link that responses use. The rest is for requests, control traffic and the
/// headers of packets.
const USABLE_PERCENT: u64 = 85;
/// How long a booked response takes, as a share of the time that the link needs for everything
/// booked: others that are booked later share its turns.
const SHARING_PERCENT: u64 = 175;
/// How much unused time of the link may be made up for by sending faster than the link.
const MAX_BURST: Millis = Millis(10);
const BYTES_PER_SECOND_PER_MBIT: u64 = 125_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;
const PERCENT: u64 = 100;

/// Decides when responses are sent over the uplink of a node.
///
/// ```
/// use crank_engine::{Moment, uplink::Uplink};
/// use crank_protocol::Millis;
/// let mut uplink = Uplink::new(8);
/// let second = Moment(0).after(Millis(1_000));
/// assert_eq!(uplink.book(Moment(0), 400_000, second), Ok(()));
/// assert!(uplink.book(Moment(0), 400_000, second).is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Uplink {
    /// `None` if the width of the link is not known; nothing waits then.
    bytes_per_second: Option<u64>,
    /// When the link has sent everything that was handed to it.
    free_at: Moment,
    /// The bytes of large responses that are still to be sent.
    booked_bytes: u64,
}

impl Uplink {
    /// Creates the state of an idle link of this width; zero means that the width is not known.
    ///
    /// ```
    /// use crank_engine::{Moment, uplink::Uplink};
    /// let mut unknown = Uplink::new(0);
    /// assert_eq!(unknown.take_turn(Moment(7), 1 << 30), Moment(7));
    /// ```
    #[must_use]
    pub fn new(link_mbits: u32) -> Self {
        let bytes_per_second =
            u64::from(link_mbits) * BYTES_PER_SECOND_PER_MBIT * USABLE_PERCENT / PERCENT;
        Self {
            bytes_per_second: (link_mbits > 0).then_some(bytes_per_second),
            free_at: Moment(0),
            booked_bytes: 0,
        }
    }

    /// Records bytes that are sent now, whatever waits.
    ///
    /// ```
    /// # use crank_engine::{Moment, uplink::Uplink};
    /// let mut uplink = Uplink::new(8);
    /// uplink.send_now(Moment(0), 850_000);
    /// assert_eq!(uplink.take_turn(Moment(0), 1), Moment(1_000_000));
    /// ```
    pub fn send_now(&mut self, now: Moment, bytes: u64) {
        let started_at = self.free_at.max(now.before(MAX_BURST));
        self.free_at = Moment(started_at.0.saturating_add(self.micros(bytes)));
    }

    /// Returns when the next part of a large response may be sent. The link counts as used from then
    /// on for as long as that part takes.
    ///
    /// ```
    /// # use crank_engine::{Moment, uplink::Uplink};
    /// let mut uplink = Uplink::new(8);
    /// assert_eq!(uplink.take_turn(Moment(0), 85_000), Moment(0));
    /// assert_eq!(uplink.take_turn(Moment(0), 85_000), Moment(100_000));
    /// ```
    pub fn take_turn(&mut self, now: Moment, bytes: u64) -> Moment {
        let turn = self.free_at.max(now);
        self.send_now(now, bytes);
        turn
    }

    /// Books a large response, if it can be sent by `latest` along with those booked before, or if
    /// the link is idle.
    ///
    /// Booked bytes stay booked until [`Uplink::release`].
    ///
    /// # Errors
    /// Returns how much later the response would end.
    ///
    /// ```
    /// # use crank_engine::{Moment, uplink::Uplink};
    /// # use crank_protocol::Millis;
    /// let mut uplink = Uplink::new(8);
    /// assert_eq!(uplink.book(Moment(0), 850_000, Moment(400_000)), Ok(()));
    /// assert_eq!(uplink.book(Moment(0), 850_000, Moment(400_000)), Err(Millis(3_100)));
    /// ```
    pub fn book(&mut self, now: Moment, bytes: u64, latest: Moment) -> Result<(), Millis> {
        let waiting = self.booked_bytes.saturating_add(bytes);
        let sending = self.micros(waiting).saturating_mul(SHARING_PERCENT) / PERCENT;
        let end = Moment(self.free_at.max(now).0.saturating_add(sending));
        if end > latest && !self.is_idle(now) {
            return Err(Millis(
                end.0.saturating_sub(latest.0).div_ceil(MICROS_PER_MILLI),
            ));
        }
        self.booked_bytes = waiting;
        Ok(())
    }

    fn is_idle(&self, now: Moment) -> bool {
        self.booked_bytes == 0 && self.free_at <= now
    }

    /// Books bytes of a response that runs already, or is larger than expected.
    ///
    /// ```
    /// # use crank_engine::{Moment, uplink::Uplink};
    /// let mut uplink = Uplink::new(8);
    /// uplink.book_more(850_000);
    /// assert!(uplink.book(Moment(0), 1, Moment(1_000_000)).is_err());
    /// ```
    pub fn book_more(&mut self, bytes: u64) {
        self.booked_bytes = self.booked_bytes.saturating_add(bytes);
    }

    /// Releases booked bytes that are sent now or will not be sent.
    ///
    /// ```
    /// # use crank_engine::{Moment, uplink::Uplink};
    /// let mut uplink = Uplink::new(8);
    /// uplink.book_more(850_000);
    /// uplink.release(850_000);
    /// assert!(uplink.book(Moment(0), 1, Moment(1_000_000)).is_ok());
    /// ```
    pub fn release(&mut self, bytes: u64) {
        self.booked_bytes = self.booked_bytes.saturating_sub(bytes);
    }

    /// Returns how long the link takes to send this many bytes, in microseconds.
    fn micros(&self, bytes: u64) -> u64 {
        self.bytes_per_second.map_or(0, |bytes_per_second| {
            bytes.saturating_mul(MICROS_PER_SECOND) / bytes_per_second.max(1)
        })
    }
}
