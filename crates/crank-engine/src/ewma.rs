//! An exponentially weighted moving average (EWMA) of measurements.

use serde::{Deserialize, Serialize};

/// The weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.2;

/// An exponentially weighted moving average of measurements in one unit, such as microseconds.
///
/// ```
/// use crank_engine::ewma::Ewma;
/// let mut ewma = Ewma::default();
/// assert_eq!(ewma.mean(), None);
/// ewma.add(1_000);
/// assert_eq!(ewma.mean(), Some(1_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ewma {
    samples: u32,
    #[serde(rename = "micros")]
    mean: f64,
}

impl Ewma {
    /// Adds a measurement.
    ///
    /// ```
    /// # let mut ewma = crank_engine::ewma::Ewma::default();
    /// ewma.add(1_000);
    /// ewma.add(2_000);
    /// assert_eq!(ewma.mean(), Some(1_200));
    /// ```
    pub fn add(&mut self, value: u64) {
        let value = value as f64;
        if self.samples == 0 {
            self.mean = value;
        } else {
            self.mean += (value - self.mean) * SAMPLE_WEIGHT;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the average, or `None` before the first sample.
    ///
    /// ```
    /// assert!(crank_engine::ewma::Ewma::default().mean().is_none());
    /// ```
    #[must_use]
    pub fn mean(&self) -> Option<u64> {
        (self.samples > 0).then_some(self.mean as u64)
    }

    /// Returns the number of samples so far.
    ///
    /// ```
    /// assert_eq!(crank_engine::ewma::Ewma::default().samples(), 0);
    /// ```
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
