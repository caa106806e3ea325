//! What may be wrong with a folder beyond the syntax of its files.

use std::sync::Arc;

use thiserror::Error as ThisError;

/// What is wrong with a folder, and what to do.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Problem {
    /// A file is too large.
    #[error("the file has {bytes} bytes and may have {most}: split it")]
    FileTooLarge {
        /// Its size.
        bytes: usize,
        /// The most that is taken.
        most: usize,
    },
    /// The files together are too large.
    #[error("the folder has {bytes} bytes and may have {most}: remove what is not needed")]
    FolderTooLarge {
        /// Its size.
        bytes: usize,
        /// The most that is taken.
        most: usize,
    },
    /// There are too many files.
    #[error("the folder has {files} files and may have {most}: join some")]
    TooManyFiles {
        /// Their number.
        files: usize,
        /// The most that is taken.
        most: usize,
    },
    /// A file's name is not one.
    #[error(
        "the file's name does not fit: use 1 to 64 letters, digits, '-', '_' or '.', and no subfolder"
    )]
    BadFileName,
    /// A section needs a name after its kind.
    #[error("the section has no name: write '[{kind} NAME]'")]
    Nameless {
        /// Its kind.
        kind: &'static str,
    },
    /// A route leads to a service that is not there.
    #[error("there is no service '{service}': add '[service {service}]' or name another")]
    NoService {
        /// The service.
        service: Arc<str>,
    },
    /// Two routes claim the same requests.
    #[error("route '{other}' already claims {method} {path}: change one of the two")]
    Claimed {
        /// The other route.
        other: Arc<str>,
        /// The method.
        method: &'static str,
        /// The path.
        path: Arc<str>,
    },
    /// Two keys contradict each other.
    #[error("the route is both 'once = yes' and 'idempotent = yes': set one of them to no")]
    OnceAndIdempotent,
    /// One key of a pair is missing.
    #[error("'{present}' needs '{missing}' beside it: add it or remove '{present}'")]
    HalfObjective {
        /// The one that is there.
        present: &'static str,
        /// The one that is not.
        missing: &'static str,
    },
}

impl Problem {
    /// Whether something is missing; it may stand in a line or file that could not be read.
    ///
    /// ```
    /// use crank_engine::folder::Problem;
    /// assert!(Problem::NoService { service: "batches".into() }.is_missing_item());
    /// assert!(!Problem::BadFileName.is_missing_item());
    /// ```
    #[must_use]
    pub fn is_missing_item(&self) -> bool {
        matches!(self, Self::NoService { .. } | Self::HalfObjective { .. })
    }
}
