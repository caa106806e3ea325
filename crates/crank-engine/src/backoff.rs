//! How long to wait before the next try: jittered, growing and capped.

use crank_protocol::Millis;
use rand::{Rng, RngExt};

const FIRST_WAIT: Millis = Millis(50);
const LONGEST_WAIT: Millis = Millis(5_000);
const MOST_DOUBLINGS: u32 = 10;

/// The wait after this many failures in a row, drawn from the upper half of a growing range.
///
/// ```
/// use rand::SeedableRng;
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// assert!(crank_engine::backoff::delay(1, &mut rng).0 <= 50);
/// assert!(crank_engine::backoff::delay(100, &mut rng).0 >= 2_500);
/// ```
#[must_use]
pub fn delay(failures: u32, rng: &mut impl Rng) -> Millis {
    let doublings = failures.saturating_sub(1).min(MOST_DOUBLINGS);
    let longest = (FIRST_WAIT.0 << doublings).min(LONGEST_WAIT.0);
    Millis(rng.random_range(longest / 2..=longest))
}
