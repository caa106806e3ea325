//! The one error type of this package.

use std::sync::Arc;

use thiserror::Error as ThisError;

/// What may go wrong between a node and the platform.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The condition of a write did not hold; nothing was written.
    #[error("another writer came first: read again before writing")]
    ConditionFailed,
    /// The platform did not take the request; nothing was written.
    #[error("the platform's store is not available ({detail}): wait, or see docs/OPERATORS.md")]
    Unavailable {
        /// What the client library said.
        detail: Arc<str>,
    },
    /// A write was sent and its answer never came; it may have taken effect.
    #[error("the answer to a write was lost ({detail}): read back what was written")]
    AnswerLost {
        /// What the client library said.
        detail: Arc<str>,
    },
    /// The platform gave something that does not have the expected form.
    #[error("{what} in the platform's store is not readable ({detail})")]
    Malformed {
        /// The object or row.
        what: Arc<str>,
        /// What is wrong with it.
        detail: Arc<str>,
    },
}
