//! When a node checks the store: not while confirmations arrive, and in time once they do not.
#![allow(clippy::unwrap_used)]

use crank_engine::Moment;
use crank_engine::spread::{Freshness, StoreCheck};
use crank_protocol::Millis;
use crank_protocol::config::{Revision, StorePosition, Version};
use crank_protocol::wire::Confirmation;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HELD: Option<Version> = Some(Version(3));
/// The time within which a change must be in force, of which reading it may take a part.
const MAX_APPLY_TIME: Millis = Millis(3_000);
const READ_TIME: Millis = Millis(1_000);

fn at(millis: u64) -> Moment {
    Moment(0).after(Millis(millis))
}

fn confirmation(version: u64, revision: u64, age: u64) -> Confirmation {
    Confirmation {
        version: Version(version),
        position: StorePosition::new(0, Revision(revision)),
        age: Millis(age),
    }
}

#[test]
fn nothing_is_checked_before_the_first_confirmation() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.check_due(HELD, false, at(60_000)), None);
    assert_eq!(freshness.age(at(60_000)), None);
}

proptest! {
    #[test]
    fn a_node_without_confirmations_checks_in_time(seed: u64, age in 0..800_u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut freshness = Freshness::default();
        freshness.record(&confirmation(3, 7, age), at(10_000), &mut rng);
        prop_assert_eq!(freshness.check_due(HELD, false, at(10_000)), None);
        let check = StoreCheck::Changes { since: StorePosition::new(0, Revision(7)), version: Version(3) };
        let latest = at(10_000 - age + MAX_APPLY_TIME.0 - READ_TIME.0);
        prop_assert_eq!(freshness.check_due(HELD, false, latest), Some(check));
    }

    #[test]
    fn a_node_with_confirmations_of_other_nodes_never_checks(seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut freshness = Freshness::default();
        for tick in 0..200 {
            let now = at(tick * 200);
            if tick % 3 == 0 {
                freshness.record(&confirmation(3, 7 + tick, 20), now, &mut rng);
            }
            prop_assert_eq!(freshness.check_due(HELD, false, now), None);
        }
    }
}

#[test]
fn an_answer_that_describes_an_earlier_state_of_the_store_confirms_nothing() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut freshness = Freshness::default();
    freshness.record(&confirmation(3, 7, 0), at(0), &mut rng);
    freshness.record(&confirmation(2, 5, 0), at(1_900), &mut rng);
    assert_eq!(freshness.age(at(2_000)), Some(Millis(2_000)));
    let check = StoreCheck::Changes {
        since: StorePosition::new(0, Revision(7)),
        version: Version(3),
    };
    assert_eq!(freshness.check_due(HELD, false, at(2_000)), Some(check));
}

#[test]
fn a_version_that_is_known_and_does_not_arrive_is_read_from_the_store() {
    let mut rng = StdRng::seed_from_u64(1);
    for knows_newer in [true, false] {
        let mut freshness = Freshness::default();
        let confirmed = if knows_newer { 3 } else { 4 };
        freshness.record(&confirmation(confirmed, 7, 0), at(0), &mut rng);
        assert_eq!(freshness.check_due(HELD, knows_newer, at(0)), None);
        freshness.record(&confirmation(confirmed, 7, 0), at(500), &mut rng);
        let check = freshness.check_due(HELD, knows_newer, at(500));
        assert_eq!(check, Some(StoreCheck::Latest));
        assert_eq!(freshness.check_due(Some(Version(4)), false, at(500)), None);
    }
}

#[test]
fn a_confirmation_is_passed_on_once_and_behind_its_version() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut freshness = Freshness::default();
    freshness.record(&confirmation(4, 9, 10), at(100), &mut rng);
    assert_eq!(freshness.take_unsent(HELD, at(120)), None);
    let passed_on = freshness.take_unsent(Some(Version(4)), at(120));
    assert_eq!(passed_on, Some(confirmation(4, 9, 31)));
    assert_eq!(freshness.take_unsent(Some(Version(4)), at(140)), None);
    // The same confirmation over another way, and one that is hardly newer.
    freshness.record(&confirmation(4, 9, 60), at(150), &mut rng);
    freshness.record(&confirmation(4, 9, 0), at(200), &mut rng);
    assert_eq!(freshness.take_unsent(Some(Version(4)), at(200)), None);
    freshness.record(&confirmation(4, 9, 0), at(600), &mut rng);
    assert!(freshness.take_unsent(Some(Version(4)), at(600)).is_some());
}

// The store has come back from an older copy: its revisions are lower, and what is older arrives late.
#[test]
fn a_confirmation_of_a_later_era_counts_though_its_revision_is_lower() {
    let at_era = |era, revision| Confirmation {
        position: StorePosition::new(era, Revision(revision)),
        ..confirmation(3, 0, 0)
    };
    let mut rng = StdRng::seed_from_u64(1);
    let mut freshness = Freshness::default();
    freshness.record(&at_era(0, 39), Moment(0), &mut rng);
    freshness.record(&at_era(1, 8), Moment(1_000), &mut rng);
    freshness.record(&at_era(0, 40), Moment(2_000), &mut rng);
    assert_eq!(freshness.era(), 1);
    let late = Moment(0).after(Millis(9_000));
    let since = StorePosition::new(1, Revision(8));
    let version = Version(3);
    let check = freshness.check_due(Some(version), false, late);
    assert_eq!(check, Some(StoreCheck::Changes { since, version }));
}

proptest::proptest! {
    // A position is one number between nodes; one of the first era is the revision that older nodes know.
    #[test]
    fn positions_keep_their_order_between_nodes(
        (era, other_era) in (0_u16.., 0_u16..),
        (revision, other_revision) in (0_u64..1 << 48, 0_u64..1 << 48),
    ) {
        let position = StorePosition::new(era, Revision(revision));
        let other = StorePosition::new(other_era, Revision(other_revision));
        proptest::prop_assert_eq!(StorePosition::from(u64::from(position)), position);
        proptest::prop_assert_eq!(position.cmp(&other), u64::from(position).cmp(&u64::from(other)));
        proptest::prop_assert_eq!(u64::from(StorePosition::new(0, Revision(revision))), revision);
    }
}
