//! The settle window and the publisher's lease, with generated times and other lease holders.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

use crank_engine::publish::{
    FolderWatch, LEASE_DURATION, LEASE_RENEWAL_AGE, Lease, LeaseAction, LeaseManager, ListedFile,
    ListingState,
};
use crank_engine::{Moment, backoff};
use crank_protocol::{Millis, Name};
use proptest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const WINDOW: Millis = Millis(500);
const MAX_DELAY: Millis = Millis(5_000);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn listing(etag: u8) -> Vec<ListedFile> {
    vec![ListedFile {
        name: "a.ini".into(),
        etag: etag.to_string().into(),
        size: 1,
    }]
}

/// Returns the state of a node that took the lease with its first write, started at `started`.
fn holding(started: Moment) -> LeaseManager {
    let mut lease_manager = LeaseManager::new(name("n1"));
    let LeaseAction::Write(write) = lease_manager.after_read(None, started) else {
        unreachable!("a free lease is taken");
    };
    lease_manager.after_write(write, true, started);
    lease_manager
}

proptest! {
    #[test]
    fn a_folder_is_read_only_after_it_was_unchanged_for_the_window(
        polls in prop::collection::vec((1_u64..400, 0_u8..3), 1..60),
    ) {
        let mut watch = FolderWatch::new(WINDOW);
        let (mut now, mut unchanged_since, mut last) = (Moment(0), Moment(0), None);
        for (wait, etag) in polls {
            now = now.after(Millis(wait));
            if last != Some(etag) {
                (last, unchanged_since) = (Some(etag), now);
            }
            let state = watch.observe(&listing(etag), now);
            let is_settled = now.since(unchanged_since) >= WINDOW;
            prop_assert_eq!(state == ListingState::Ready, is_settled);
        }
    }

    #[test]
    fn a_lease_is_taken_only_from_a_holder_that_did_not_renew_it_for_its_duration(
        reads in prop::collection::vec((1_u64..2_000, prop::bool::ANY), 1..60),
    ) {
        let mut lease_manager = LeaseManager::new(name("n1"));
        let (mut now, mut unrenewed_since) = (Moment(0), None);
        let mut lease = Lease { holder: name("n2"), beat: 1, released: false };
        for (wait, renewed) in reads {
            now = now.after(Millis(wait));
            if renewed {
                lease.beat += 1;
                unrenewed_since = None;
            }
            let since = *unrenewed_since.get_or_insert(now);
            let step = lease_manager.after_read(Some(lease.clone()), now);
            let taken = matches!(step, LeaseAction::Write(_));
            prop_assert_eq!(taken, now.since(since) >= LEASE_DURATION);
        }
    }

    #[test]
    fn a_holder_paused_for_the_lease_duration_reads_before_it_publishes(paused in 0_u64..20_000) {
        let mut lease_manager = holding(Moment(0));
        let step = lease_manager.next_action(true, Moment(0).after(Millis(paused)));
        match Millis(paused) {
            short if short < LEASE_RENEWAL_AGE => prop_assert_eq!(step, LeaseAction::Hold),
            longer if longer < LEASE_DURATION => {
                prop_assert!(matches!(step, LeaseAction::Write(_)));
            }
            _ => {
                prop_assert_eq!(step, LeaseAction::Read);
                prop_assert!(!lease_manager.is_held());
            }
        }
    }

    #[test]
    fn the_delay_grows_with_failures_up_to_a_cap(failures in 1_u32..1_000, seed in any::<u64>()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let wait = backoff::delay(failures, &mut rng);
        let full = Millis((50 << (failures - 1).min(10)).min(MAX_DELAY.0));
        prop_assert!(wait >= Millis(full.0 / 2) && wait <= full);
    }
}

#[test]
fn a_node_that_is_no_longer_a_candidate_releases_the_lease_and_another_takes_it_at_once() {
    let mut leaving = holding(Moment(0));
    let LeaseAction::Write(release) = leaving.next_action(false, Moment(1)) else {
        unreachable!("the lease is held");
    };
    leaving.after_write(release.clone(), true, Moment(1));
    assert!(!leaving.is_held());
    assert_eq!(leaving.next_action(false, Moment(2)), LeaseAction::Wait);
    let mut other = LeaseManager::new(name("n2"));
    let step = other.after_read(Some(release.to), Moment(3));
    assert!(matches!(step, LeaseAction::Write(write) if !write.to.released));
}
