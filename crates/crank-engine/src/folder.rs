//! The operators' folder: merge and checks.

use std::sync::Arc;

use crank_protocol::config::Config;
use crank_protocol::status::Fault;

/// One file of the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct File {
    /// Its name, without the folder's.
    pub name: Arc<str>,
    /// Its content.
    pub content: Vec<u8>,
}

/// Merges a folder's files in the byte order of their names, and checks the whole.
///
/// # Errors
/// Every fault found; one refuses the whole folder.
pub fn merge(files: &[File]) -> Result<Config, Vec<Fault>> {
    let _ = files;
    Err(Vec::new())
}
