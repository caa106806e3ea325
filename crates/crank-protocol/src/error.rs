//! The one error type of this package.

use thiserror::Error as ThisError;

/// A value that does not fit its type.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// A name is empty, too long, or holds a character that names may not have.
    #[error(
        "'{given}' is not a name: use 1 to 64 letters, digits, '-', '_' or '.', starting with a letter or a digit"
    )]
    BadName {
        /// What was given.
        given: String,
    },
    /// A digest is not 64 hexadecimal digits.
    #[error("'{given}' is not a digest: use 64 hexadecimal digits")]
    BadDigest {
        /// What was given.
        given: String,
    },
    /// A member in a short encoding does not make sense.
    #[error("a member in a datagram or frame is malformed: run the same release on all nodes")]
    BadMember,
    /// A probe in a short encoding does not make sense.
    #[error("a probe in a datagram is malformed: run the same release on all nodes")]
    BadProbe,
}
