//! The body of an error response to an operator.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The JSON body of a node's response with status 503.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorResponse {
    /// The reason, and what the operator can do.
    pub detail: Arc<str>,
}
