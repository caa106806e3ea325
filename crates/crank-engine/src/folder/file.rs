//! Files of the folder, and which of them are passed over.

use std::sync::Arc;

/// One file of the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct File {
    /// Its name, without the folder's.
    pub name: Arc<str>,
    /// Its content.
    pub content: Vec<u8>,
}

/// Whether a name is that of an editor's leaving, which the merge passes over.
///
/// ```
/// use crank_engine::folder::is_ignored_file;
/// assert!(is_ignored_file(".recipes.ini.swp") && is_ignored_file("recipes.ini~"));
/// assert!(!is_ignored_file("recipes.ini"));
/// ```
#[must_use]
pub fn is_ignored_file(name: &str) -> bool {
    name.starts_with(['.', '#'])
        || name.ends_with('~')
        || name.ends_with(".swp")
        || name.ends_with(".swo")
}
