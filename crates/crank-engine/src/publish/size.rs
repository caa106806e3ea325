//! The size of a folder, before anything of it is read.

use std::sync::Arc;

use crank_protocol::status;

use super::Listed;
use crate::folder::{LARGEST_FILE_BYTES, LARGEST_FOLDER_BYTES, MOST_FILES, Problem, is_leaving};
use crate::ini::Fault;

/// Why a folder is too large to be read; empty where it is not.
///
/// ```
/// use crank_engine::publish::{Listed, oversize};
/// let file = |size| Listed { name: "a.ini".into(), etag: "1".into(), size };
/// assert!(oversize(&[file(100)]).is_empty());
/// assert_eq!(oversize(&[file(1 << 30)]).len(), 2);
/// ```
#[must_use]
pub fn oversize(listing: &[Listed]) -> Vec<status::Fault> {
    let kept: Vec<&Listed> = listing
        .iter()
        .filter(|file| !is_leaving(&file.name))
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

fn bytes_of(file: &Listed) -> usize {
    usize::try_from(file.size).unwrap_or(usize::MAX)
}
