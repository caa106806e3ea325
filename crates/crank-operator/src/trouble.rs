//! What a node says when it cannot answer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Why a node could not answer an operator's question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorResponse {
    /// What is wrong and what to do.
    pub detail: Arc<str>,
}
