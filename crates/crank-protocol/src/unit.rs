//! Number types with a unit.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Self {
        Self::from_millis(millis.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A share in thousandths, where 1000 is the whole.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Permille(pub u32);

/// A size in bytes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(pub u64);

/// A rate in thousandths of a request per second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Parses a decimal number of requests per second; digits after the third decimal are dropped.
    ///
    /// Returns `None` if the text is not a finite number, or is negative.
    ///
    /// ```
    /// use crank_protocol::RequestRate;
    /// assert_eq!(RequestRate::from_decimal("17.3"), Some(RequestRate(17_300)));
    /// assert_eq!(RequestRate::from_decimal("soon"), None);
    /// ```
    #[must_use]
    pub fn from_decimal(text: &str) -> Option<Self> {
        const THOUSANDTHS: f64 = 1_000.0;
        let per_second: f64 = text.trim().parse().ok()?;
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then_some(Self((per_second * THOUSANDTHS) as u64))
    }
}
