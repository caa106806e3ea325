//! Problems of a folder beyond the syntax of its files.

use std::sync::Arc;

use thiserror::Error as ThisError;

/// What is wrong with a folder. The message also says how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Problem {
    /// A file exceeds the maximum size.
    #[error("the file has {bytes} bytes, but the maximum is {max}: split it")]
    FileTooLarge {
        /// The size of the file in bytes.
        bytes: usize,
        /// The maximum size of a file in bytes.
        max: usize,
    },
    /// All files together exceed the maximum size.
    #[error("the folder has {bytes} bytes, but the maximum is {max}: remove what is not needed")]
    FolderTooLarge {
        /// The size of the folder in bytes.
        bytes: usize,
        /// The maximum size of a folder in bytes.
        max: usize,
    },
    /// The folder contains too many files.
    #[error("the folder has {files} files, but the maximum is {max}: merge some of them")]
    TooManyFiles {
        /// The number of files.
        files: usize,
        /// The maximum number of files.
        max: usize,
    },
    /// A file name contains characters that are not allowed, or is too long.
    #[error(
        "the file name is invalid: use 1 to 64 letters, digits, '-', '_' or '.', and no subfolder"
    )]
    InvalidFileName,
    /// A section header lacks the name after the kind.
    #[error("the section has no name: write '[{kind} NAME]'")]
    MissingName {
        /// The kind of the section, such as `service`.
        kind: &'static str,
    },
    /// A route refers to a service that is not defined.
    #[error("the service '{service}' is not defined: add '[service {service}]' or use another")]
    UnknownService {
        /// The name of the service.
        service: Arc<str>,
    },
    /// Two routes have the same host, method and path.
    #[error("the route '{other}' already matches {method} {path}: change one of the two")]
    DuplicateRoute {
        /// The name of the other route.
        other: Arc<str>,
        /// The method that both routes match.
        method: &'static str,
        /// The path that both routes match.
        path: Arc<str>,
    },
    /// A route has two keys that contradict each other.
    #[error("the route has both 'once = yes' and 'idempotent = yes': set one of them to no")]
    OnceAndIdempotent,
    /// A client account has no key.
    #[error("the account has no key: add 'keys = ...' or 'key_digests = ...'")]
    NoKeys,
    /// A key, or the digest of one, does not have the required form. The message does not show it.
    #[error(
        "a key does not fit: write keys of 16 to 256 visible ASCII characters, or SHA-256 digests of \
         64 lower-case hexadecimal digits, separated by spaces"
    )]
    InvalidKey,
    /// Two client accounts have a key in common.
    #[error("the account '{other}' has one of these keys too: remove it from one of the two")]
    SharedKey {
        /// The name of the other account.
        other: Arc<str>,
    },
    /// A rate limit has only one of its two keys.
    #[error("'{present}' requires '{missing}': add it or remove '{present}'")]
    IncompleteRate {
        /// The key that is present.
        present: &'static str,
        /// The key that is missing.
        missing: &'static str,
    },
    /// An objective has only one of its two keys.
    #[error("'{present}' requires '{missing}': add it or remove '{present}'")]
    IncompleteObjective {
        /// The key that is present.
        present: &'static str,
        /// The key that is missing.
        missing: &'static str,
    },
}

impl Problem {
    /// Returns whether the problem is that something is missing.
    ///
    /// The missing item may be in a line or file that could not be parsed.
    ///
    /// ```
    /// use crank_engine::folder::Problem;
    /// assert!(Problem::UnknownService { service: "batches".into() }.is_missing_item());
    /// assert!(!Problem::InvalidFileName.is_missing_item());
    /// ```
    #[must_use]
    pub fn is_missing_item(&self) -> bool {
        matches!(
            self,
            Self::UnknownService { .. }
                | Self::IncompleteObjective { .. }
                | Self::IncompleteRate { .. }
                | Self::NoKeys
        )
    }
}
