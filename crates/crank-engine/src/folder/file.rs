//! Files of the folder, and which of them are ignored.

use std::sync::Arc;

/// One file of the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct File {
    /// The file name, without the path of the folder.
    pub name: Arc<str>,
    /// The content of the file.
    pub content: Vec<u8>,
}

/// Returns whether the merge ignores a file because of its name.
///
/// These are the backup, swap and lock files of editors, and all other dot files.
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
