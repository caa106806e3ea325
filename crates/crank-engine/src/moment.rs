//! Monotonic time that callers pass as an argument.

use crank_protocol::Millis;
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: u64 = 1_000;

/// A point in time on the monotonic clock of one process, in microseconds since its start.
///
/// Values from different processes cannot be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the point in time that is `wait` later, saturating at the maximum.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_protocol::Millis;
    /// assert_eq!(Moment(5).after(Millis(2)), Moment(2_005));
    /// ```
    #[must_use]
    pub fn after(self, wait: Millis) -> Self {
        Self(
            self.0
                .saturating_add(wait.0.saturating_mul(MICROS_PER_MILLI)),
        )
    }

    /// Returns the point in time that is `age` earlier, saturating at the start of the process.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_protocol::Millis;
    /// assert_eq!(Moment(2_005).before(Millis(2)), Moment(5));
    /// ```
    #[must_use]
    pub fn before(self, age: Millis) -> Self {
        Self(
            self.0
                .saturating_sub(age.0.saturating_mul(MICROS_PER_MILLI)),
        )
    }

    /// Returns the time elapsed since `earlier`, rounded down to whole milliseconds.
    ///
    /// The result is zero if `earlier` is later than `self`.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_protocol::Millis;
    /// assert_eq!(Moment(2_005).since(Moment(5)), Millis(2));
    /// assert_eq!(Moment(5).since(Moment(2_005)), Millis(0));
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0) / MICROS_PER_MILLI)
    }
}
