//! The error type of this crate.

use thiserror::Error as ThisError;

/// A value that is invalid for its type.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// A name is empty, too long, or contains a character that is not allowed.
    #[error(
        "'{given}' is not a name: use 1 to 64 letters, digits, '-', '_' or '.', starting with a letter or a digit"
    )]
    BadName {
        /// The rejected text.
        given: String,
    },
    /// A digest is not 64 hexadecimal digits.
    #[error("'{given}' is not a digest: use 64 hexadecimal digits")]
    BadDigest {
        /// The rejected text.
        given: String,
    },
    /// A member in the compact encoding is malformed.
    #[error("a member in a datagram or frame is malformed: run the same release on all nodes")]
    BadMember,
    /// A probe in the compact encoding is malformed.
    #[error("a probe in a datagram is malformed: run the same release on all nodes")]
    BadProbe,
}
