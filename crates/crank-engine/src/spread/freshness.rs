//! How recently the configuration was confirmed to be the newest in the store, and when a node
//! checks the store itself.

use crank_protocol::Millis;
use crank_protocol::config::{StorePosition, Version};
use crank_protocol::wire::Confirmation;
use rand::{Rng, RngExt};

use crate::Moment;

/// A node checks the store when the last confirmation is older than this plus jitter.
const MAX_CONFIRMATION_AGE: Millis = Millis(1_000);
/// The longest jitter of a check.
const MAX_CHECK_JITTER: Millis = Millis(600);
/// A confirmation is passed on only if it is this much later than the one passed on before.
const MIN_FORWARD_GAP: Millis = Millis(250);
/// Added to an age when it is forwarded, to cover the transmission time.
const FORWARDING_DELAY: Millis = Millis(1);
/// How long a newer version may still arrive from other nodes before the store is read for it.
const MAX_LACKING_TIME: Millis = Millis(400);

/// How a node has to check the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCheck {
    /// Reads the changes since the last confirmation, of which there are mostly none.
    Changes {
        /// The confirmed position of the store.
        since: StorePosition,
        /// The newest version at that position, which this node holds.
        version: Version,
    },
    /// Reads the newest configuration, which this node is known to lack.
    Latest,
}

/// Tracks the confirmations that no newer configuration is in the store.
///
/// Hearing from other nodes does not show that the configuration is current: they may all be
/// behind. A confirmation does. It comes from the store's answer to any node, and nodes pass it on.
/// Where none arrives, the node checks the store itself.
///
/// ```
/// use crank_engine::{Moment, spread::{Freshness, StoreCheck}};
/// use crank_protocol::{Millis, config::{Revision, StorePosition, Version}, wire::Confirmation};
/// use rand::SeedableRng;
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let mut freshness = Freshness::default();
/// let position = StorePosition::new(0, Revision(7));
/// let confirmation = Confirmation { version: Version(3), position, age: Millis(0) };
/// freshness.record(&confirmation, Moment(0), &mut rng);
/// let held = Some(Version(3));
/// assert_eq!(freshness.check_due(held, false, Moment(0)), None);
/// let later = Moment(0).after(Millis(5_000));
/// let check = StoreCheck::Changes { since: position, version: Version(3) };
/// assert_eq!(freshness.check_due(held, false, later), Some(check));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    latest: Option<Confirmed>,
    /// When the next check is due.
    check_at: Moment,
    /// The version and time of the confirmation that was last passed on.
    passed_on: Option<(Version, Moment)>,
    /// Since when a newer version has been known that this node lacks.
    lacking_since: Option<Moment>,
}

/// The newest state of the store that is known, and when it was last confirmed.
#[derive(Debug, Clone, Copy)]
struct Confirmed {
    version: Version,
    position: StorePosition,
    at: Moment,
}

impl Freshness {
    /// Records a confirmation; one that describes an earlier state of the store is ignored.
    pub fn record(&mut self, confirmation: &Confirmation, now: Moment, rng: &mut impl Rng) {
        let at = now.before(confirmation.age);
        let latest = self.latest;
        if latest.is_some_and(|latest| confirmation.position < latest.position) {
            return;
        }
        let is_later = latest.is_none_or(|latest| at > latest.at);
        self.latest = Some(Confirmed {
            version: confirmation.version,
            position: confirmation.position,
            at: latest.map_or(at, |latest| at.max(latest.at)),
        });
        if is_later {
            self.check_at = at.after(MAX_CONFIRMATION_AGE).after(check_jitter(rng));
        }
    }

    /// Returns the confirmation to pass on to other nodes, if there is a new one.
    ///
    /// A node that does not hold the confirmed version yet passes it on later, behind that version.
    ///
    /// ```
    /// # use crank_engine::{Moment, spread::Freshness};
    /// assert_eq!(Freshness::default().take_unsent(None, Moment(0)), None);
    /// ```
    pub fn take_unsent(&mut self, held: Option<Version>, now: Moment) -> Option<Confirmation> {
        let latest = self.latest?;
        if held < Some(latest.version) {
            return None;
        }
        let is_new = self.passed_on.is_none_or(|(version, at)| {
            version < latest.version || latest.at.since(at) >= MIN_FORWARD_GAP
        });
        if !is_new {
            return None;
        }
        self.passed_on = Some((latest.version, latest.at));
        Some(Confirmation {
            version: latest.version,
            position: latest.position,
            age: Millis(now.since(latest.at).0 + FORWARDING_DELAY.0),
        })
    }

    /// Returns how to check the store, if a check is due.
    ///
    /// A check is due if the last confirmation is too old, or if this node has lacked a newer version,
    /// known from a confirmation or from another node (`knows_newer`), for too long. Returns `None`
    /// before the first confirmation.
    pub fn check_due(
        &mut self,
        held: Option<Version>,
        knows_newer: bool,
        now: Moment,
    ) -> Option<StoreCheck> {
        let latest = self.latest?;
        if knows_newer || held < Some(latest.version) {
            let since = *self.lacking_since.get_or_insert(now);
            return (now.since(since) >= MAX_LACKING_TIME).then_some(StoreCheck::Latest);
        }
        self.lacking_since = None;
        (now >= self.check_at).then_some(StoreCheck::Changes {
            since: latest.position,
            version: latest.version,
        })
    }

    /// Returns how often the store has come back from an older copy, as far as was confirmed.
    ///
    /// ```
    /// # use crank_engine::spread::Freshness;
    /// assert_eq!(Freshness::default().era(), 0);
    /// ```
    #[must_use]
    pub fn era(&self) -> u16 {
        self.latest.map_or(0, |latest| latest.position.era)
    }

    /// Returns how long ago the store's state was last confirmed.
    ///
    /// ```
    /// # use crank_engine::{Moment, spread::Freshness};
    /// assert_eq!(Freshness::default().age(Moment(0)), None);
    /// ```
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Millis> {
        self.latest.map(|latest| now.since(latest.at))
    }
}

/// Draws the jitter of a check.
///
/// Few draws are short and most are near the maximum, so that of many nodes few check before the
/// confirmation of the first has spared the others the check.
fn check_jitter(rng: &mut impl Rng) -> Millis {
    let share = rng.random::<f64>().cbrt();
    Millis((MAX_CHECK_JITTER.0 as f64 * share) as u64)
}
