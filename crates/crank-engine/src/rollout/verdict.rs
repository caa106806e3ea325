//! Which verdict a finding leads to, and when.

use crank_protocol::Millis;
use crank_protocol::rollout::Phase;

use super::{Finding, MOVE_TIME, completes_at};

/// A suspect release is decided this long before [`MOVE_TIME`] and its deadline at the latest.
const LAST_TIME: Millis = Millis(500);

/// Returns the verdict that is due at this age of an order, if one is.
///
/// ```
/// use crank_engine::rollout::{Finding, verdict};
/// use crank_protocol::{Millis, rollout::Phase};
/// let verdict = |finding, age| verdict(finding, Millis(age), Millis(12_000));
/// assert_eq!(verdict(Finding::Clear, 2_000), None);
/// assert_eq!(verdict(Finding::Clear, 7_000), Some(Phase::Completed));
/// assert_eq!(verdict(Finding::Bad, 2_000), Some(Phase::RolledBack));
/// ```
#[must_use]
pub fn verdict(finding: Finding, age: Millis, duration: Millis) -> Option<Phase> {
    let is_last = age.0 + MOVE_TIME.0 + LAST_TIME.0 >= duration.0;
    match finding {
        Finding::Bad => Some(Phase::RolledBack),
        Finding::Clear if age >= completes_at(duration) => Some(Phase::Completed),
        Finding::Suspect if is_last => Some(Phase::Completed),
        Finding::Likely if is_last => Some(Phase::RolledBack),
        Finding::Unknown if age >= duration => Some(Phase::RolledBack),
        Finding::Clear | Finding::Suspect | Finding::Likely | Finding::Unknown => None,
    }
}
