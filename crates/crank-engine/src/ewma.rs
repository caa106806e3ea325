//! An exponentially weighted moving average (EWMA) of measurements.

use serde::{Deserialize, Serialize};

/// The weight of a new sample of [`Ewma`].
const SAMPLE_WEIGHT: f64 = 0.2;
/// The weight of a new sample of [`SteadyMean`] once it has many.
const STEADY_SAMPLE_WEIGHT: f64 = 0.03;

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

/// A moving average that a single outlier hardly moves; the first samples count equally.
///
/// ```
/// use crank_engine::ewma::SteadyMean;
/// let mut mean = SteadyMean::default();
/// mean.add(1_000);
/// mean.add(2_000);
/// assert_eq!(mean.mean(), Some(1_500));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SteadyMean {
    samples: u32,
    mean: f64,
}

impl SteadyMean {
    /// Adds a measurement.
    ///
    /// ```
    /// # let mut mean = crank_engine::ewma::SteadyMean::default();
    /// mean.add(1_000);
    /// assert_eq!(mean.mean(), Some(1_000));
    /// ```
    pub fn add(&mut self, value: u64) {
        self.samples = self.samples.saturating_add(1);
        let weight = STEADY_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += (value as f64 - self.mean) * weight;
    }

    /// Returns the average, or `None` before the first sample.
    ///
    /// ```
    /// assert!(crank_engine::ewma::SteadyMean::default().mean().is_none());
    /// ```
    #[must_use]
    pub fn mean(&self) -> Option<u64> {
        (self.samples > 0).then_some(self.mean as u64)
    }
}
