//! Detection of changes in the folder: a changed listing must settle before the files are read.

use std::sync::Arc;

use crank_protocol::Millis;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// One file in a listing of the folder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedFile {
    /// The file name, without the path of the folder.
    pub name: Arc<str>,
    /// The entity tag by which the store distinguishes versions of the content.
    pub etag: Arc<str>,
    /// The size in bytes.
    pub size: u64,
}

/// The name of the marker file that is in the folder while a push writes several files.
///
/// The merge ignores it, like every file whose name starts with a dot.
pub const PUSH_MARKER: &str = ".crank-push";

/// How long a marker file delays reading the folder, unless it is written again.
///
/// A push that was aborted may leave its marker behind, so a marker is not respected for longer.
pub const PUSH_MARKER_TIMEOUT: Millis = Millis(30_000);

/// The state of a listing, which determines what the publisher does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// This listing was already accepted or refused; there is nothing to do.
    Processed,
    /// An edit may be in progress; list the folder again later.
    Settling,
    /// The listing has settled: read the files, list the folder again, and continue only if the
    /// listing is still the same.
    Ready,
}

/// Tracks how long the current listing has been unchanged and which listing was processed last.
#[derive(Debug, Clone)]
pub struct FolderWatch {
    window: Millis,
    marker: Option<Marker>,
    observed: Option<ObservedListing>,
    processed: Option<Vec<ListedFile>>,
}

#[derive(Debug, Clone)]
struct ObservedListing {
    listing: Vec<ListedFile>,
    since: Moment,
}

#[derive(Debug, Clone)]
struct Marker {
    etag: Arc<str>,
    since: Moment,
}

impl FolderWatch {
    /// Creates a watch that considers a listing settled once it was unchanged for `window`.
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
            marker: None,
            observed: None,
            processed: None,
        }
    }

    /// Records a listing of the folder and returns its state.
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
        let since = match &self.observed {
            Some(observed) if observed.listing == listing => observed.since,
            _ => now,
        };
        self.observed = Some(ObservedListing {
            listing: listing.to_vec(),
            since,
        });
        let is_push_in_progress = self.is_push_in_progress(listing, now);
        if self.processed.as_deref() == Some(listing) {
            ListingState::Processed
        } else if is_push_in_progress || now.since(since) < self.window {
            ListingState::Settling
        } else {
            ListingState::Ready
        }
    }

    /// Returns whether a push of several files is in progress.
    ///
    /// A marker that has been unchanged for [`PUSH_MARKER_TIMEOUT`] was left behind by an aborted
    /// push and is ignored.
    fn is_push_in_progress(&mut self, listing: &[ListedFile], now: Moment) -> bool {
        let file = listing.iter().find(|file| &*file.name == PUSH_MARKER);
        let Some(file) = file else {
            self.marker = None;
            return false;
        };
        let since = match &self.marker {
            Some(marker) if marker.etag == file.etag => marker.since,
            _ => now,
        };
        let etag = Arc::clone(&file.etag);
        self.marker = Some(Marker { etag, since });
        now.since(since) < PUSH_MARKER_TIMEOUT
    }

    /// Records that this listing was accepted or refused.
    ///
    /// ```
    /// # use crank_engine::publish::FolderWatch;
    /// # use crank_protocol::Millis;
    /// FolderWatch::new(Millis(500)).mark_processed(&[]);
    /// ```
    pub fn mark_processed(&mut self, listing: &[ListedFile]) {
        self.processed = Some(listing.to_vec());
    }

    /// Forgets the processed listing, so that the folder is read again.
    ///
    /// ```
    /// # use crank_engine::publish::FolderWatch;
    /// # use crank_protocol::Millis;
    /// FolderWatch::new(Millis(500)).forget();
    /// ```
    pub fn forget(&mut self) {
        self.processed = None;
    }
}
