//! The folder's listing, watched until it has settled.

use std::sync::Arc;

use crank_protocol::Millis;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// One file in a listing of the folder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedFile {
    /// Its name, without the folder's.
    pub name: Arc<str>,
    /// The mark by which the store tells one content from another.
    pub etag: Arc<str>,
    /// Its size in bytes.
    pub size: u64,
}

/// The file that stands in the folder while somebody writes several others; the merge passes it
/// over, as it does every dot file.
pub const PUSH_MARKER: &str = ".crank-push";

/// How long such a mark holds up the reading of the folder, unless it is written anew.
pub const PUSH_MARKER_TIMEOUT: Millis = Millis(30_000);

/// What a listing calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// It was dealt with before.
    Processed,
    /// It may still be in the middle of an edit; list again later.
    Settling,
    /// Read the files, list again, and go on only if the listing is still the same.
    Ready,
}

/// Remembers which listing was seen since when, and which was dealt with.
#[derive(Debug, Clone)]
pub struct FolderWatch {
    window: Millis,
    mark: Option<Mark>,
    seen: Option<Seen>,
    done: Option<Vec<ListedFile>>,
}

#[derive(Debug, Clone)]
struct Seen {
    listing: Vec<ListedFile>,
    since: Moment,
}

#[derive(Debug, Clone)]
struct Mark {
    etag: Arc<str>,
    since: Moment,
}

impl FolderWatch {
    /// A watch for which a listing has settled when it stayed the same for this long.
    ///
    /// ```
    /// use crank_engine::{Moment, publish::{ListingState, FolderWatch}};
    /// use crank_protocol::Millis;
    /// let mut watch = FolderWatch::new(Millis(500));
    /// assert_eq!(watch.observe(&[], Moment(0)), ListingState::Settling);
    /// assert_eq!(watch.observe(&[], Moment(0).after(Millis(500))), ListingState::Ready);
    /// ```
    #[must_use]
    pub fn new(window: Millis) -> Self {
        Self {
            window,
            mark: None,
            seen: None,
            done: None,
        }
    }

    /// Takes a listing and says what it calls for.
    ///
    /// ```
    /// # use crank_engine::{Moment, publish::{ListingState, FolderWatch}};
    /// # use crank_protocol::Millis;
    /// let mut watch = FolderWatch::new(Millis(0));
    /// assert_eq!(watch.observe(&[], Moment(0)), ListingState::Ready);
    /// watch.mark_processed(&[]);
    /// assert_eq!(watch.observe(&[], Moment(1)), ListingState::Processed);
    /// ```
    pub fn observe(&mut self, listing: &[ListedFile], now: Moment) -> ListingState {
        let since = match &self.seen {
            Some(seen) if seen.listing == listing => seen.since,
            _ => now,
        };
        self.seen = Some(Seen {
            listing: listing.to_vec(),
            since,
        });
        let is_pushed = self.is_pushed(listing, now);
        if self.done.as_deref() == Some(listing) {
            ListingState::Processed
        } else if is_pushed || now.since(since) < self.window {
            ListingState::Settling
        } else {
            ListingState::Ready
        }
    }

    /// Whether somebody writes several files at this moment; a mark that was left behind is
    /// believed for a while only.
    fn is_pushed(&mut self, listing: &[ListedFile], now: Moment) -> bool {
        let found = listing.iter().find(|file| &*file.name == PUSH_MARKER);
        let Some(found) = found else {
            self.mark = None;
            return false;
        };
        let since = match &self.mark {
            Some(mark) if mark.etag == found.etag => mark.since,
            _ => now,
        };
        let etag = Arc::clone(&found.etag);
        self.mark = Some(Mark { etag, since });
        now.since(since) < PUSH_MARKER_TIMEOUT
    }

    /// Remembers that this listing was accepted or refused.
    ///
    /// ```
    /// # use crank_engine::publish::FolderWatch;
    /// # use crank_protocol::Millis;
    /// FolderWatch::new(Millis(500)).mark_processed(&[]);
    /// ```
    pub fn mark_processed(&mut self, listing: &[ListedFile]) {
        self.done = Some(listing.to_vec());
    }

    /// Forgets what was dealt with, so that the folder is read again.
    ///
    /// ```
    /// # use crank_engine::publish::FolderWatch;
    /// # use crank_protocol::Millis;
    /// FolderWatch::new(Millis(500)).forget();
    /// ```
    pub fn forget(&mut self) {
        self.done = None;
    }
}
