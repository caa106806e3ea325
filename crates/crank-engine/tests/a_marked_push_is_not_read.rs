//! The publisher waits for a push of several files, but not for one that was given up.

use crank_engine::Moment;
use crank_engine::publish::{Listed, Look, PUSH_LIMIT, PUSH_MARK, Watch};
use crank_protocol::Millis;

fn listed(name: &str, etag: &str) -> Listed {
    Listed {
        name: name.into(),
        etag: etag.into(),
        size: 1,
    }
}

fn at(millis: u64) -> Moment {
    Moment(0).after(Millis(millis))
}

#[test]
fn a_marked_folder_is_not_read_however_still_it_is() {
    let mut watch = Watch::new(Millis(500));
    let torn = [listed(PUSH_MARK, "1"), listed("a.ini", "1")];
    let last = PUSH_LIMIT.0 - 1;
    for millis in [0, 500, 10_000, last] {
        assert_eq!(
            watch.look(&torn, at(millis)),
            Look::Settling,
            "after {millis} ms"
        );
    }
    let whole = [listed("a.ini", "1"), listed("b.ini", "1")];
    assert_eq!(watch.look(&whole, at(last)), Look::Settling);
    assert_eq!(watch.look(&whole, at(last + 500)), Look::Read);
}

#[test]
fn a_mark_that_was_left_behind_does_not_hold_up_later_edits() {
    let mut watch = Watch::new(Millis(500));
    let left = [listed(PUSH_MARK, "1"), listed("a.ini", "1")];
    watch.look(&left, at(0));
    assert_eq!(watch.look(&left, at(PUSH_LIMIT.0)), Look::Read);
    let edited = [listed(PUSH_MARK, "1"), listed("a.ini", "2")];
    assert_eq!(watch.look(&edited, at(PUSH_LIMIT.0 + 1)), Look::Settling);
    assert_eq!(watch.look(&edited, at(PUSH_LIMIT.0 + 501)), Look::Read);
    let anew = [listed(PUSH_MARK, "2"), listed("a.ini", "2")];
    watch.look(&anew, at(PUSH_LIMIT.0 + 502));
    assert_eq!(watch.look(&anew, at(PUSH_LIMIT.0 + 2_000)), Look::Settling);
}
