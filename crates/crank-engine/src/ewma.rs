//! A running mean of durations.

use serde::{Deserialize, Serialize};

/// The weight of a new duration.
const WEIGHT: f64 = 0.2;

/// A running mean of durations, in microseconds.
///
/// ```
/// use crank_engine::ewma::Ewma;
/// let mut mean = Ewma::default();
/// assert_eq!(mean.micros(), None);
/// mean.add(1_000);
/// assert_eq!(mean.micros(), Some(1_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ewma {
    samples: u32,
    micros: f64,
}

impl Ewma {
    /// Takes one more duration in.
    ///
    /// ```
    /// # let mut mean = crank_engine::ewma::Ewma::default();
    /// mean.add(1_000);
    /// mean.add(2_000);
    /// assert_eq!(mean.micros(), Some(1_200));
    /// ```
    pub fn add(&mut self, micros: u64) {
        let micros = micros as f64;
        if self.samples == 0 {
            self.micros = micros;
        } else {
            self.micros += (micros - self.micros) * WEIGHT;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// The mean; nothing before the first duration.
    ///
    /// ```
    /// assert!(crank_engine::ewma::Ewma::default().micros().is_none());
    /// ```
    #[must_use]
    pub fn micros(&self) -> Option<u64> {
        (self.samples > 0).then_some(self.micros as u64)
    }

    /// How many durations it was made of.
    ///
    /// ```
    /// assert_eq!(crank_engine::ewma::Ewma::default().samples(), 0);
    /// ```
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }
}
