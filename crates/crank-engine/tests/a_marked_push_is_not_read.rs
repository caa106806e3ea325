//! The publisher waits for a push of several files, but not for one that was given up.

use crank_engine::Moment;
use crank_engine::publish::{
    FolderWatch, ListedFile, ListingState, PUSH_MARKER, PUSH_MARKER_TIMEOUT,
};
use crank_protocol::Millis;

fn listed(name: &str, etag: &str) -> ListedFile {
    ListedFile {
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
    let mut watch = FolderWatch::new(Millis(500));
    let torn = [listed(PUSH_MARKER, "1"), listed("a.ini", "1")];
    let last = PUSH_MARKER_TIMEOUT.0 - 1;
    for millis in [0, 500, 10_000, last] {
        assert_eq!(
            watch.observe(&torn, at(millis)),
            ListingState::Settling,
            "after {millis} ms"
        );
    }
    let whole = [listed("a.ini", "1"), listed("b.ini", "1")];
    assert_eq!(watch.observe(&whole, at(last)), ListingState::Settling);
    assert_eq!(watch.observe(&whole, at(last + 500)), ListingState::Ready);
}

#[test]
fn a_mark_that_was_left_behind_does_not_hold_up_later_edits() {
    let mut watch = FolderWatch::new(Millis(500));
    let left = [listed(PUSH_MARKER, "1"), listed("a.ini", "1")];
    watch.observe(&left, at(0));
    assert_eq!(
        watch.observe(&left, at(PUSH_MARKER_TIMEOUT.0)),
        ListingState::Ready
    );
    let edited = [listed(PUSH_MARKER, "1"), listed("a.ini", "2")];
    assert_eq!(
        watch.observe(&edited, at(PUSH_MARKER_TIMEOUT.0 + 1)),
        ListingState::Settling
    );
    assert_eq!(
        watch.observe(&edited, at(PUSH_MARKER_TIMEOUT.0 + 501)),
        ListingState::Ready
    );
    let anew = [listed(PUSH_MARKER, "2"), listed("a.ini", "2")];
    watch.observe(&anew, at(PUSH_MARKER_TIMEOUT.0 + 502));
    assert_eq!(
        watch.observe(&anew, at(PUSH_MARKER_TIMEOUT.0 + 2_000)),
        ListingState::Settling
    );
}
