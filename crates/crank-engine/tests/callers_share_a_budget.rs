//! What unfinished requests hold is bounded, and the stalled give way to the others.

#![allow(clippy::unwrap_used)]

use crank_engine::Moment;
use crank_engine::caller_budget::{
    Activity, Bounds, ConnectionUse, MachineLimits, Timeouts, Verdict, Wish, connection_to_close,
    decide,
};
use proptest::prelude::*;

const MIB: u64 = 1 << 20;
const SMALL_MACHINE: MachineLimits = MachineLimits {
    memory_bytes: Some(64 * MIB),
    descriptors: Some(256),
};
const NOW: Moment = Moment(60_000_000);

fn holder(id: u64, activity: Activity, age_ms: u64, held: u64) -> ConnectionUse {
    ConnectionUse {
        id,
        activity,
        since: Moment(NOW.0 - age_ms * 1_000),
        bytes: 0,
        last_byte_at: Moment(NOW.0 - age_ms * 1_000),
        held,
    }
}

fn wish(bytes: u64) -> Wish {
    Wish {
        id: 1_000,
        held: 0,
        bytes,
    }
}

// A crowd whose bodies stop short of their end fills the budget.
#[test]
fn bodies_that_stall_give_way_to_an_ordinary_one() {
    let bounds = Bounds::for_callers(SMALL_MACHINE);
    let crowd: Vec<_> = (0..8)
        .map(|id| holder(id, Activity::Body, 5_000, MIB))
        .collect();
    let verdict = decide(NOW, bounds, wish(MIB), &crowd);
    assert!(matches!(verdict, Verdict::Granted { closing } if closing.len() == 2));
}

#[test]
fn a_small_request_finds_room_beside_large_ones_that_run() {
    let bounds = Bounds::for_callers(SMALL_MACHINE);
    let large: Vec<_> = (0..7)
        .map(|id| holder(id, Activity::Answering, 100, MIB))
        .collect();
    assert_eq!(decide(NOW, bounds, wish(MIB), &large), Verdict::Refused);
    let granted = Verdict::Granted { closing: vec![] };
    assert_eq!(decide(NOW, bounds, wish(4_096), &large), granted);
}

#[test]
fn the_largest_receiver_gives_way_to_a_smaller_one() {
    let bounds = Bounds::for_callers(SMALL_MACHINE);
    let receivers = [
        holder(1, Activity::Body, 100, 5 * MIB),
        holder(2, Activity::Body, 100, 2 * MIB),
    ];
    let granted = Verdict::Granted { closing: vec![1] };
    assert_eq!(decide(NOW, bounds, wish(MIB), &receivers), granted);
    assert_eq!(
        decide(NOW, bounds, wish(7 * MIB), &receivers),
        Verdict::Refused
    );
}

#[test]
fn a_body_on_its_pace_is_not_behind() {
    let bounds = Bounds::for_callers(SMALL_MACHINE);
    let mut receiving = holder(1, Activity::Body, 5_000, 2 * MIB);
    receiving.bytes = MIB;
    receiving.last_byte_at = NOW;
    let running = holder(2, Activity::Answering, 100, 5 * MIB);
    let verdict = decide(NOW, bounds, wish(3 * MIB), &[receiving, running]);
    assert_eq!(verdict, Verdict::Refused);
    receiving.last_byte_at = Moment(NOW.0 - 2_000_000);
    let verdict = decide(NOW, bounds, wish(2 * MIB), &[receiving, running]);
    assert_eq!(verdict, Verdict::Granted { closing: vec![1] });
}

#[test]
fn a_full_table_makes_room_by_the_longest_stalled_then_the_longest_idle() {
    let connections = [
        holder(1, Activity::Answering, 9_000, 0),
        holder(2, Activity::Idle, 8_000, 0),
        holder(3, Activity::Idle, 9_000, 0),
        holder(4, Activity::Head, 3_000, 0),
        holder(5, Activity::Blocked, 4_000, 0),
    ];
    assert_eq!(connection_to_close(NOW, &connections), Some(5));
    assert_eq!(connection_to_close(NOW, &connections[..4]), Some(4));
    assert_eq!(connection_to_close(NOW, &connections[..3]), Some(3));
    assert_eq!(connection_to_close(NOW, &connections[..1]), None);
    let fresh = [holder(6, Activity::Idle, 100, 0)];
    assert_eq!(connection_to_close(NOW, &fresh), None);
}

#[test]
fn a_reader_that_takes_nothing_is_over_its_time_and_one_that_takes_is_not() {
    let timeouts = Timeouts::default();
    let mut reader = holder(1, Activity::Blocked, 20_000, 0);
    assert!(timeouts.is_over(&reader, NOW));
    reader.bytes = 10_000;
    assert!(!timeouts.is_over(&reader, NOW));
    assert!(!timeouts.is_over(&holder(2, Activity::Answering, 50_000, 0), NOW));
}

#[test]
fn a_deployment_that_states_no_limits_has_those_of_before() {
    let bounds = Bounds::for_callers(MachineLimits::default());
    assert_eq!(bounds.connections, 4_096);
    assert!(bounds.bytes >= 16 * MIB);
    assert_eq!(bounds.bytes_for_small, 0);
}

fn activity() -> impl Strategy<Value = Activity> {
    prop_oneof![
        Just(Activity::Idle),
        Just(Activity::Head),
        Just(Activity::Body),
        Just(Activity::Answering),
        Just(Activity::Blocked),
    ]
}

proptest! {
    #[test]
    fn what_is_granted_fits_and_requests_that_run_never_give_way(
        crowd in prop::collection::vec((activity(), 0_u64..30_000, 0_u64..MIB), 0..40),
        bytes in 1_u64..2 * MIB,
    ) {
        let bounds = Bounds::for_callers(SMALL_MACHINE);
        let crowd: Vec<_> = crowd
            .iter()
            .zip(0..)
            .map(|(&(activity, age_ms, held), id)| holder(id, activity, age_ms, held))
            .collect();
        if let Verdict::Granted { closing } = decide(NOW, bounds, wish(bytes), &crowd) {
            let stays = |holder: &&ConnectionUse| !closing.contains(&holder.id);
            let held: u64 = crowd.iter().filter(stays).map(|holder| holder.held).sum();
            prop_assert!(held + bytes <= bounds.bytes);
            let closed = crowd.iter().filter(|holder| closing.contains(&holder.id));
            for holder in closed {
                prop_assert!(!matches!(holder.activity, Activity::Answering | Activity::Idle));
            }
        }
    }
}
