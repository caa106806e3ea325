//! The folder's listing, watched until it has settled.

use std::sync::Arc;

use crank_protocol::Millis;
use serde::{Deserialize, Serialize};

use crate::Moment;

/// One file in a listing of the folder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// Its name, without the folder's.
    pub name: Arc<str>,
    /// The mark by which the store tells one content from another.
    pub etag: Arc<str>,
    /// Its size in bytes.
    pub size: u64,
}

/// What a listing calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Look {
    /// It was dealt with before.
    Known,
    /// It may still be in the middle of an edit; list again later.
    Settling,
    /// Read the files, list again, and go on only if the listing is still the same.
    Read,
}

/// Remembers which listing was seen since when, and which was dealt with.
#[derive(Debug, Clone)]
pub struct Watch {
    window: Millis,
    seen: Option<Seen>,
    done: Option<Vec<Listed>>,
}

#[derive(Debug, Clone)]
struct Seen {
    listing: Vec<Listed>,
    since: Moment,
}

impl Watch {
    /// A watch for which a listing has settled when it stayed the same for this long.
    ///
    /// ```
    /// use crank_engine::{Moment, publish::{Look, Watch}};
    /// use crank_protocol::Millis;
    /// let mut watch = Watch::new(Millis(500));
    /// assert_eq!(watch.look(&[], Moment(0)), Look::Settling);
    /// assert_eq!(watch.look(&[], Moment(0).after(Millis(500))), Look::Read);
    /// ```
    #[must_use]
    pub fn new(window: Millis) -> Self {
        Self {
            window,
            seen: None,
            done: None,
        }
    }

    /// Takes a listing and says what it calls for.
    ///
    /// ```
    /// # use crank_engine::{Moment, publish::{Look, Watch}};
    /// # use crank_protocol::Millis;
    /// let mut watch = Watch::new(Millis(0));
    /// assert_eq!(watch.look(&[], Moment(0)), Look::Read);
    /// watch.finish(&[]);
    /// assert_eq!(watch.look(&[], Moment(1)), Look::Known);
    /// ```
    pub fn look(&mut self, listing: &[Listed], now: Moment) -> Look {
        let since = match &self.seen {
            Some(seen) if seen.listing == listing => seen.since,
            _ => now,
        };
        self.seen = Some(Seen {
            listing: listing.to_vec(),
            since,
        });
        if self.done.as_deref() == Some(listing) {
            Look::Known
        } else if now.since(since) < self.window {
            Look::Settling
        } else {
            Look::Read
        }
    }

    /// Remembers that this listing was accepted or refused.
    ///
    /// ```
    /// # use crank_engine::publish::Watch;
    /// # use crank_protocol::Millis;
    /// Watch::new(Millis(500)).finish(&[]);
    /// ```
    pub fn finish(&mut self, listing: &[Listed]) {
        self.done = Some(listing.to_vec());
    }

    /// Forgets what was dealt with, so that the folder is read again.
    ///
    /// ```
    /// # use crank_engine::publish::Watch;
    /// # use crank_protocol::Millis;
    /// Watch::new(Millis(500)).forget();
    /// ```
    pub fn forget(&mut self) {
        self.done = None;
    }
}
