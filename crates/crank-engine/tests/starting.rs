//! What a starting node may claim: store up, store down, and neither.
#![allow(clippy::unwrap_used)]

use crank_engine::spread::{PeerReport, StartupCheck, StoreHead};
use crank_protocol::Name;
use crank_protocol::config::{Digest, Stamp, Version};
use crank_protocol::member::{Member, Place, State};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn stamp(version: u64) -> Stamp {
    Stamp {
        version: Version(version),
        digest: Digest::new(&format!("{version:064x}")).unwrap(),
    }
}

/// Nodes a1, a2, … of data centre a, and b1, b2, … of data centre b.
fn others(ids: &[&str]) -> Vec<Member> {
    let member = |id: &&str| Member {
        id: name(id),
        place: Place {
            region: name("almaty"),
            data_centre: name(&id[..1]),
        },
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        link: 0,
        state: State::Alive,
        endpoint: None,
    };
    ids.iter().map(member).collect()
}

fn told(start: &mut StartupCheck, id: &str, version: Option<u64>, current: bool) {
    let report = PeerReport {
        data_centre: name(&id[..1]),
        stamp: version.map(stamp),
        current,
    };
    start.record_report(&name(id), report);
}

#[test]
fn with_the_store_up_the_head_must_be_in_force() {
    let others = others(&["a1", "b1"]);
    let mut start = StartupCheck::default();
    assert!(!start.is_current(Some(&stamp(3)), &others), "unread");
    start.record_head(StoreHead::Empty);
    assert!(!start.is_current(None, &others), "nothing is accepted");
    start.record_head(StoreHead::Accepted(stamp(3)));
    assert!(
        !start.is_current(Some(&stamp(2)), &others),
        "behind the head"
    );
    start.record_head(StoreHead::Unavailable);
    assert!(
        !start.is_current(Some(&stamp(2)), &others),
        "what was read stays true"
    );
    assert!(start.is_current(Some(&stamp(3)), &others));
    assert!(
        start.is_current(Some(&stamp(3)), &[]),
        "enough stays enough"
    );
}

#[test]
fn with_the_store_down_several_current_nodes_of_two_data_centres_must_agree() {
    let others = others(&["a1", "a2", "a3", "b1", "b2"]);
    let mut start = StartupCheck::default();
    start.record_head(StoreHead::Unavailable);
    for id in ["a1", "a2", "a3"] {
        told(&mut start, id, Some(4), true);
    }
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "one data centre"
    );
    told(&mut start, "b1", Some(5), true);
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "behind a witness"
    );
    assert!(!start.is_current(None, &others), "nothing held");
    assert!(start.is_current(Some(&stamp(5)), &others));
}

#[test]
fn a_data_centre_that_starts_as_a_whole_is_not_waited_for() {
    let others = others(&["a1", "a2", "a3", "b1", "b2"]);
    let mut start = StartupCheck::default();
    start.record_head(StoreHead::Unavailable);
    for id in ["a1", "a2", "a3"] {
        told(&mut start, id, Some(4), true);
    }
    told(&mut start, "b1", Some(2), false);
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "b2 may know more"
    );
    told(&mut start, "b2", None, false);
    assert!(start.is_current(Some(&stamp(4)), &others));
}

#[test]
fn with_neither_store_nor_current_nodes_nothing_is_claimed() {
    let others = others(&["a1", "b1"]);
    let mut start = StartupCheck::default();
    start.record_head(StoreHead::Unavailable);
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "nobody was heard"
    );
    told(&mut start, "a1", Some(4), false);
    told(&mut start, "b1", Some(4), false);
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "nobody is current"
    );
    assert!(!start.is_current(Some(&stamp(4)), &[]), "alone");
}
