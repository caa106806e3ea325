//! Size limits of the folder, checked from its listing before any file is read.

use std::sync::Arc;

use crank_protocol::status;

use super::ListedFile;
use crate::folder::{MAX_FILE_BYTES, MAX_FILES, MAX_FOLDER_BYTES, Problem, is_ignored_file};
use crate::ini::Fault;

/// Returns a fault for each size limit that the listed files exceed.
///
/// ```
/// use crank_engine::publish::{ListedFile, size_faults};
/// let file = |size| ListedFile { name: "a.ini".into(), etag: "1".into(), size };
/// assert!(size_faults(&[file(100)]).is_empty());
/// assert_eq!(size_faults(&[file(1 << 30)]).len(), 2);
/// ```
#[must_use]
pub fn size_faults(listing: &[ListedFile]) -> Vec<status::Fault> {
    let config_files: Vec<&ListedFile> = listing
        .iter()
        .filter(|file| !is_ignored_file(&file.name))
        .collect();
    let mut faults = Vec::new();
    let mut report = |file: &Arc<str>, problem: Problem| {
        faults.push(status::Fault::from(Fault::new(
            file.clone(),
            problem.into(),
        )));
    };
    let no_file = Arc::default();
    let (files, max) = (config_files.len(), MAX_FILES);
    if files > max {
        report(&no_file, Problem::TooManyFiles { files, max });
    }
    let bytes = config_files
        .iter()
        .map(|file| size_in_bytes(file))
        .fold(0, usize::saturating_add);
    if bytes > MAX_FOLDER_BYTES {
        let max = MAX_FOLDER_BYTES;
        report(&no_file, Problem::FolderTooLarge { bytes, max });
    }
    let max = MAX_FILE_BYTES;
    for file in config_files
        .iter()
        .filter(|file| size_in_bytes(file) > max)
        .take(MAX_FILES)
    {
        let bytes = size_in_bytes(file);
        report(&file.name, Problem::FileTooLarge { bytes, max });
    }
    faults
}

fn size_in_bytes(file: &ListedFile) -> usize {
    usize::try_from(file.size).unwrap_or(usize::MAX)
}
