//! Random values by which a writer recognizes its own write.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// A random value that identifies one write to the store.
///
/// It is drawn for each write whose response may get lost, and stored in the written row. The
/// writer then reads the row back and compares nonces to find out whether the write took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u128);

impl Nonce {
    /// Draws a random nonce.
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
