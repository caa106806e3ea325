//! Whether a connection to another node still delivers anything.
//!
//! A connection can go silent for good without an error. The evidence is a ping that stays
//! unanswered for longer than the round trips so far explain. It only makes the connection
//! suspect, so that new requests go over another connection; what it carries is given up only once
//! the node has answered over the other connection, and still not over this one.

use std::time::Duration;

use crank_protocol::Millis;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// How long nothing may arrive, while a request waits, before a ping is sent.
pub const QUIET_TIME: Duration = Duration::from_millis(250);
/// The minimum time after which an unanswered ping makes a connection suspect; it covers the
/// pauses of a node with a small share of a processor.
pub const MIN_SUSPICION_TIME: Duration = Duration::from_millis(300);
/// The maximum time after which an unanswered ping makes a connection suspect.
pub const MAX_SUSPICION_TIME: Duration = Duration::from_millis(1_000);
/// How long a ping may stay unanswered before the connection is given up in any case.
pub const MAX_SILENCE: Duration = Duration::from_millis(5_500);

/// The smoothed round trip is updated by one part in this many (RFC 6298).
const SMOOTHING_DIVISOR: u64 = 8;
/// The variation of the round trip is updated by one part in this many (RFC 6298).
const VARIATION_DIVISOR: u64 = 4;
/// How many times the variation counts for the timeout (RFC 6298).
const VARIATION_FACTOR: u64 = 4;

/// The retransmission timeout of RFC 6298: the smoothed round trip and its variation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoundTrip {
    smoothed_micros: Option<u64>,
    variation_micros: u64,
}

impl RoundTrip {
    /// Adds a measured round trip.
    ///
    /// ```
    /// use std::time::Duration;
    /// use crank_engine::liveness::{MIN_SUSPICION_TIME, RoundTrip};
    /// let mut round_trip = RoundTrip::default();
    /// round_trip.add(Duration::from_millis(200));
    /// assert_eq!(round_trip.timeout(), Duration::from_millis(600));
    /// for _ in 0..100 {
    ///     round_trip.add(Duration::from_millis(10));
    /// }
    /// assert_eq!(round_trip.timeout(), MIN_SUSPICION_TIME);
    /// ```
    pub fn add(&mut self, measured: Duration) {
        let measured = u64::try_from(measured.as_micros()).unwrap_or(u64::MAX);
        let Some(smoothed) = self.smoothed_micros else {
            self.smoothed_micros = Some(measured);
            self.variation_micros = measured / 2;
            return;
        };
        let deviation = smoothed.abs_diff(measured);
        self.variation_micros = weigh(self.variation_micros, deviation, VARIATION_DIVISOR);
        self.smoothed_micros = Some(weigh(smoothed, measured, SMOOTHING_DIVISOR));
    }

    /// Returns how long an answer may take before it counts as missing.
    ///
    /// ```
    /// use crank_engine::liveness::{MAX_SUSPICION_TIME, RoundTrip};
    /// assert_eq!(RoundTrip::default().timeout(), MAX_SUSPICION_TIME);
    /// ```
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let Some(smoothed) = self.smoothed_micros else {
            return MAX_SUSPICION_TIME;
        };
        let variation = self.variation_micros.saturating_mul(VARIATION_FACTOR);
        Duration::from_micros(smoothed.saturating_add(variation))
            .clamp(MIN_SUSPICION_TIME, MAX_SUSPICION_TIME)
    }
}

fn weigh(mean: u64, sample: u64, divisor: u64) -> u64 {
    mean.saturating_mul(divisor - 1).saturating_add(sample) / divisor
}

/// What to do for a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Nothing, until this moment or until something is sent or received.
    Wait {
        /// When to ask again.
        until: Moment,
    },
    /// Send a ping.
    Ping,
    /// Send new requests over another connection; ask again at this moment.
    Suspect {
        /// When to ask again.
        until: Moment,
    },
    /// The connection no longer delivers anything: close it.
    Close,
}

/// The evidence about one connection.
///
/// ```
/// use crank_engine::{Moment, liveness::{Liveness, Step}};
/// let mut liveness = Liveness::new(Moment(0));
/// assert_eq!(liveness.next_step(Moment(250_000), true), Step::Ping);
/// liveness.record_ping(Moment(250_000));
/// assert!(matches!(liveness.next_step(Moment(1_250_000), true), Step::Suspect { .. }));
/// liveness.record_pong(Moment(1_300_000));
/// assert!(matches!(liveness.next_step(Moment(1_300_000), true), Step::Wait { .. }));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Liveness {
    round_trip: RoundTrip,
    received_at: Moment,
    /// When the ping that is not answered yet was sent.
    ping_sent_at: Option<Moment>,
    /// When the same node answered over a newer connection.
    replaced_at: Option<Moment>,
}

impl Liveness {
    /// Creates the state of a connection that was opened now.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::Liveness};
    /// assert!(!Liveness::new(Moment(0)).is_suspect(Moment(9_000_000)));
    /// ```
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            round_trip: RoundTrip::default(),
            received_at: now,
            ping_sent_at: None,
            replaced_at: None,
        }
    }

    /// Adds a round trip that was measured otherwise than by a ping, as that of the handshake.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use crank_engine::{Moment, liveness::Liveness};
    /// let mut liveness = Liveness::new(Moment(0));
    /// liveness.add_round_trip(Duration::from_millis(2));
    /// liveness.record_ping(Moment(0));
    /// assert!(liveness.is_suspect(Moment(300_000)));
    /// ```
    pub fn add_round_trip(&mut self, measured: Duration) {
        self.round_trip.add(measured);
    }

    /// Records that a message arrived; a ping that is on its way gets its time anew.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::Liveness};
    /// let mut liveness = Liveness::new(Moment(0));
    /// liveness.record_ping(Moment(0));
    /// liveness.record_message(Moment(900_000));
    /// assert!(!liveness.is_suspect(Moment(1_500_000)));
    /// ```
    pub fn record_message(&mut self, now: Moment) {
        self.received_at = now;
        self.ping_sent_at = self.ping_sent_at.map(|_| now);
    }

    /// Records that a ping was sent.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::{Liveness, Step}};
    /// let mut liveness = Liveness::new(Moment(0));
    /// liveness.record_ping(Moment(0));
    /// assert_ne!(liveness.next_step(Moment(400_000), true), Step::Ping);
    /// ```
    pub fn record_ping(&mut self, now: Moment) {
        self.ping_sent_at.get_or_insert(now);
    }

    /// Records the answer to a ping.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::Liveness};
    /// let mut liveness = Liveness::new(Moment(0));
    /// liveness.record_ping(Moment(0));
    /// liveness.record_pong(Moment(2_000_000));
    /// assert!(!liveness.is_suspect(Moment(2_000_000)));
    /// ```
    pub fn record_pong(&mut self, now: Moment) {
        if let Some(sent_at) = self.ping_sent_at.take() {
            let micros = now.0.saturating_sub(sent_at.0);
            self.round_trip.add(Duration::from_micros(micros));
        }
        self.received_at = now;
    }

    /// Records that the same node has answered over a newer connection.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::{Liveness, Step}};
    /// let mut liveness = Liveness::new(Moment(0));
    /// liveness.record_ping(Moment(0));
    /// liveness.record_replacement(Moment(1_000_000));
    /// assert_eq!(liveness.next_step(Moment(2_000_000), true), Step::Close);
    /// ```
    pub fn record_replacement(&mut self, now: Moment) {
        self.replaced_at.get_or_insert(now);
    }

    /// Returns how long nothing has arrived.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::Liveness};
    /// # use crank_protocol::Millis;
    /// assert_eq!(Liveness::new(Moment(0)).silence(Moment(7_000)), Millis(7));
    /// ```
    #[must_use]
    pub fn silence(&self, now: Moment) -> Millis {
        now.since(self.received_at)
    }

    /// Returns whether new requests should go over another connection.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::Liveness};
    /// let mut liveness = Liveness::new(Moment(0));
    /// liveness.record_ping(Moment(0));
    /// assert!(liveness.is_suspect(Moment(1_000_000)));
    /// ```
    #[must_use]
    pub fn is_suspect(&self, now: Moment) -> bool {
        self.suspect_from().is_some_and(|from| from <= now)
    }

    /// Returns whether a request that is sent now should be followed by a ping.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::Liveness};
    /// assert!(Liveness::new(Moment(0)).needs_ping(Moment(250_000)));
    /// ```
    #[must_use]
    pub fn needs_ping(&self, now: Moment) -> bool {
        self.ping_sent_at.is_none() && after(self.received_at, QUIET_TIME) <= now
    }

    /// Decides what to do, given whether requests wait for an answer.
    ///
    /// ```
    /// # use crank_engine::{Moment, liveness::{Liveness, Step}};
    /// let liveness = Liveness::new(Moment(0));
    /// assert_eq!(liveness.next_step(Moment(9), false), Step::Wait { until: Moment(u64::MAX) });
    /// ```
    #[must_use]
    pub fn next_step(&self, now: Moment, has_waiting: bool) -> Step {
        if !has_waiting {
            return Step::Wait {
                until: Moment(u64::MAX),
            };
        }
        let (Some(sent_at), Some(suspect_from)) = (self.ping_sent_at, self.suspect_from()) else {
            let quiet_at = after(self.received_at, QUIET_TIME);
            return if quiet_at <= now {
                Step::Ping
            } else {
                Step::Wait { until: quiet_at }
            };
        };
        let given_up_at = self.given_up_at(sent_at);
        if given_up_at <= now {
            Step::Close
        } else if suspect_from <= now {
            Step::Suspect { until: given_up_at }
        } else {
            Step::Wait {
                until: suspect_from,
            }
        }
    }

    fn suspect_from(&self) -> Option<Moment> {
        let sent_at = self.ping_sent_at?;
        Some(after(sent_at, self.round_trip.timeout()))
    }

    fn given_up_at(&self, ping_sent_at: Moment) -> Moment {
        let last = after(ping_sent_at, MAX_SILENCE);
        let replaced_at = self.replaced_at.map(|at| at.max(ping_sent_at));
        replaced_at.map_or(last, |at| after(at, self.round_trip.timeout()).min(last))
    }
}

fn after(moment: Moment, wait: Duration) -> Moment {
    let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
    Moment(moment.0.saturating_add(micros))
}
