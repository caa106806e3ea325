//! Exponential backoff with jitter and a cap.

use crank_protocol::Millis;
use rand::{Rng, RngExt};

const INITIAL_DELAY: Millis = Millis(50);
const MAX_DELAY: Millis = Millis(5_000);
const MAX_DOUBLINGS: u32 = 10;

/// Returns the delay before the next attempt after `failures` failed attempts in a row.
///
/// The upper bound of the delay doubles with each failure up to a cap. The delay is drawn at
/// random between half of the bound and the bound.
///
/// ```
/// use rand::SeedableRng;
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// assert!(crank_engine::backoff::delay(1, &mut rng).0 <= 50);
/// assert!(crank_engine::backoff::delay(100, &mut rng).0 >= 2_500);
/// ```
#[must_use]
pub fn delay(failures: u32, rng: &mut impl Rng) -> Millis {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let upper_bound = (INITIAL_DELAY.0 << doublings).min(MAX_DELAY.0);
    Millis(rng.random_range(upper_bound / 2..=upper_bound))
}
