//! The publisher does not read the folder while a push of several files is in progress, but it does
//! not wait for a push that was aborted either.

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
fn a_folder_with_a_push_marker_is_not_read_even_if_it_is_unchanged() {
    let mut watch = FolderWatch::new(Millis(500));
    let partial = [listed(PUSH_MARKER, "1"), listed("a.ini", "1")];
    let last = PUSH_MARKER_TIMEOUT.0 - 1;
    for millis in [0, 500, 10_000, last] {
        assert_eq!(
            watch.observe(&partial, at(millis)),
            ListingState::Settling,
            "after {millis} ms"
        );
    }
    let complete = [listed("a.ini", "1"), listed("b.ini", "1")];
    assert_eq!(watch.observe(&complete, at(last)), ListingState::Settling);
    assert_eq!(
        watch.observe(&complete, at(last + 500)),
        ListingState::Ready
    );
}

#[test]
fn a_marker_that_was_left_behind_does_not_delay_later_edits() {
    let mut watch = FolderWatch::new(Millis(500));
    let abandoned = [listed(PUSH_MARKER, "1"), listed("a.ini", "1")];
    watch.observe(&abandoned, at(0));
    assert_eq!(
        watch.observe(&abandoned, at(PUSH_MARKER_TIMEOUT.0)),
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
    let marked_again = [listed(PUSH_MARKER, "2"), listed("a.ini", "2")];
    watch.observe(&marked_again, at(PUSH_MARKER_TIMEOUT.0 + 502));
    assert_eq!(
        watch.observe(&marked_again, at(PUSH_MARKER_TIMEOUT.0 + 2_000)),
        ListingState::Settling
    );
}
