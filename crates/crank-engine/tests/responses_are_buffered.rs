//! Which part of a response is buffered before it is passed on.

use crank_engine::Moment;
use crank_engine::buffer::{
    Limit, MAX_BODY_BYTES, MAX_BYTES_OF_NODE, MAX_START_BYTES, MAX_START_TIME, MAX_TIME,
};
use crank_protocol::Millis;

const NOW: Moment = Moment(1_000_000);

fn in_time(millis: u64) -> Moment {
    NOW.after(Millis(millis))
}

#[test]
fn a_body_up_to_the_bound_or_of_unknown_length_is_buffered_whole() {
    for length in [None, Some(0), Some(200_000), Some(MAX_BODY_BYTES)] {
        let limit = Limit::new(NOW, length, in_time(60_000));
        assert!(!limit.is_reached(NOW, MAX_BODY_BYTES - 1), "{length:?}");
        assert!(limit.is_reached(NOW, MAX_BODY_BYTES), "{length:?}");
        assert_eq!(limit.until, NOW.after(MAX_TIME));
    }
}

#[test]
fn of_a_larger_body_only_the_start_is_buffered_and_only_briefly() {
    let limit = Limit::new(NOW, Some(MAX_BODY_BYTES + 1), in_time(60_000));
    assert!(limit.is_reached(NOW, MAX_START_BYTES));
    assert!(!limit.is_reached(NOW, MAX_START_BYTES - 1));
    assert_eq!(limit.until, NOW.after(MAX_START_TIME));
}

#[test]
fn half_of_the_time_left_remains_for_passing_the_response_on() {
    for left in [0, 1, 50, 150, 3_000] {
        for length in [Some(100), Some(MAX_BODY_BYTES + 1)] {
            let limit = Limit::new(NOW, length, in_time(left));
            assert!(limit.until <= in_time(left / 2), "{left} {length:?}");
            assert!(limit.is_reached(limit.until, 0));
        }
    }
    let past = Limit::new(NOW, None, Moment(0));
    assert!(past.is_reached(NOW, 0));
}

/// A twentieth of the memory of a machine with 160 MiB.
const MAX_SHARE_BYTES: u64 = 160 * 1_024 * 1_024 / 20;

const _: () = assert!(
    MAX_BYTES_OF_NODE <= MAX_SHARE_BYTES,
    "the buffers of a node take more than a twentieth of a small machine"
);
