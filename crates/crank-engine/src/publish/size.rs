//! The size of a folder, before anything of it is read.

use std::sync::Arc;

use crank_protocol::status;

use super::ListedFile;
use crate::folder::{
    LARGEST_FILE_BYTES, LARGEST_FOLDER_BYTES, MOST_FILES, Problem, is_ignored_file,
};
use crate::ini::Fault;

/// Why a folder is too large to be read; empty where it is not.
///
/// ```
/// use crank_engine::publish::{ListedFile, size_faults};
/// let file = |size| ListedFile { name: "a.ini".into(), etag: "1".into(), size };
/// assert!(size_faults(&[file(100)]).is_empty());
/// assert_eq!(size_faults(&[file(1 << 30)]).len(), 2);
/// ```
#[must_use]
pub fn size_faults(listing: &[ListedFile]) -> Vec<status::Fault> {
    let kept: Vec<&ListedFile> = listing
        .iter()
        .filter(|file| !is_ignored_file(&file.name))
        .collect();
    let mut faults = Vec::new();
    let mut refuse = |file: &Arc<str>, problem: Problem| {
        faults.push(status::Fault::from(Fault::new(
            file.clone(),
            problem.into(),
        )));
    };
    let whole = Arc::default();
    let (files, most) = (kept.len(), MOST_FILES);
    if files > most {
        refuse(&whole, Problem::TooManyFiles { files, most });
    }
    let bytes = kept
        .iter()
        .map(|file| bytes_of(file))
        .fold(0, usize::saturating_add);
    if bytes > LARGEST_FOLDER_BYTES {
        let most = LARGEST_FOLDER_BYTES;
        refuse(&whole, Problem::FolderTooLarge { bytes, most });
    }
    let most = LARGEST_FILE_BYTES;
    for file in kept
        .iter()
        .filter(|file| bytes_of(file) > most)
        .take(MOST_FILES)
    {
        let bytes = bytes_of(file);
        refuse(&file.name, Problem::FileTooLarge { bytes, most });
    }
    faults
}

fn bytes_of(file: &ListedFile) -> usize {
    usize::try_from(file.size).unwrap_or(usize::MAX)
}
