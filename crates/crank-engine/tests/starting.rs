//! When a starting node may claim to be current: with the store, with other nodes only, and with
//! neither.
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

/// Returns members with these names; the first letter of a name is the data centre.
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

fn report(start: &mut StartupCheck, id: &str, version: Option<u64>, current: bool) {
    let report = PeerReport {
        data_centre: name(&id[..1]),
        stamp: version.map(stamp),
        current,
    };
    start.record_report(&name(id), report);
}

#[test]
fn with_the_store_up_the_accepted_version_must_be_in_force() {
    let others = others(&["a1", "b1"]);
    let mut start = StartupCheck::default();
    assert!(
        !start.is_current(Some(&stamp(3)), &others),
        "the head row was not read"
    );
    start.record_head(StoreHead::Empty);
    assert!(!start.is_current(None, &others), "no version is in force");
    start.record_head(StoreHead::Accepted(stamp(3)));
    assert!(
        !start.is_current(Some(&stamp(2)), &others),
        "older than the accepted version"
    );
    start.record_head(StoreHead::Unavailable);
    assert!(
        !start.is_current(Some(&stamp(2)), &others),
        "the version read before remains a lower bound"
    );
    assert!(start.is_current(Some(&stamp(3)), &others));
    assert!(
        start.is_current(Some(&stamp(3)), &[]),
        "a current node stays current"
    );
}

#[test]
fn with_the_store_down_several_current_nodes_of_two_data_centres_must_agree() {
    let others = others(&["a1", "a2", "a3", "b1", "b2"]);
    let mut start = StartupCheck::default();
    start.record_head(StoreHead::Unavailable);
    for id in ["a1", "a2", "a3"] {
        report(&mut start, id, Some(4), true);
    }
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "only one data centre has reported"
    );
    report(&mut start, "b1", Some(5), true);
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "older than a reported version"
    );
    assert!(!start.is_current(None, &others), "no version is in force");
    assert!(start.is_current(Some(&stamp(5)), &others));
}

#[test]
fn starting_nodes_of_a_data_centre_are_not_waited_for() {
    let others = others(&["a1", "a2", "a3", "b1", "b2"]);
    let mut start = StartupCheck::default();
    start.record_head(StoreHead::Unavailable);
    for id in ["a1", "a2", "a3"] {
        report(&mut start, id, Some(4), true);
    }
    report(&mut start, "b1", Some(2), false);
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "b2 may have a newer version"
    );
    report(&mut start, "b2", None, false);
    assert!(start.is_current(Some(&stamp(4)), &others));
}

#[test]
fn with_neither_store_nor_current_nodes_the_node_is_not_current() {
    let others = others(&["a1", "b1"]);
    let mut start = StartupCheck::default();
    start.record_head(StoreHead::Unavailable);
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "no node has reported"
    );
    report(&mut start, "a1", Some(4), false);
    report(&mut start, "b1", Some(4), false);
    assert!(
        !start.is_current(Some(&stamp(4)), &others),
        "no node is current"
    );
    assert!(
        !start.is_current(Some(&stamp(4)), &[]),
        "there are no other nodes"
    );
}
