//! What must always hold.

use std::fmt;

/// A line that no step may cross.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// No proxy moves back to an older version.
    MovedBack,
    /// No proxy holds a route without its service.
    Dangling,
    /// Nothing is applied in part.
    InPart,
    /// A version has one digest.
    OneDigest,
    /// Only a folder that existed is accepted.
    NeverAFolder,
    /// An accepted folder is only replaced by a later one.
    Reverted,
    /// The object of an accepted version is there.
    MissingObject,
    /// A node only spreads what was accepted.
    NotAccepted,
    /// A request with an idempotency key runs at most once.
    RanTwice,
    /// A request that was refused as not run is not run.
    RanAfterRefusal,
    /// Nodes are told one verdict on an order.
    VerdictChanged,
    /// No more requests of an account are admitted than its limit allows.
    OverLimit,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MovedBack => "a proxy moved back to an older version",
            Self::Dangling => "a route points at a service that is not there",
            Self::InPart => "a version was applied in part",
            Self::OneDigest => "a version was accepted twice",
            Self::NeverAFolder => "a folder was accepted that never existed",
            Self::Reverted => "an older folder was accepted after a newer one",
            Self::MissingObject => "a version was accepted whose object is not there",
            Self::NotAccepted => "a version was spread that was not accepted",
            Self::RanTwice => "a request ran twice",
            Self::RanAfterRefusal => "a request ran that was refused as not run",
            Self::VerdictChanged => "the verdict on a roll-out changed",
            Self::OverLimit => "more requests were admitted than the limit allows",
        })
    }
}
