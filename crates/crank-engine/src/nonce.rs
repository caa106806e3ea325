//! Marks by which a writer knows its own write again.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Drawn for each write whose answer may be lost, and kept in the row that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u128);

impl Nonce {
    /// Draws a nonce.
    ///
    /// ```
    /// # use rand::SeedableRng;
    /// use crank_engine::Nonce;
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// assert_ne!(Nonce::draw(&mut rng), Nonce::draw(&mut rng));
    /// ```
    #[must_use]
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}
