//! The operators' folder: merge and checks.

mod account;
mod compare;
mod file;
mod merge;
mod problem;
mod route;
mod service;

pub use compare::{FileComparison, PullRecord, PulledFile, compare_file, content_digest};
pub use file::{File, is_ignored_file};
pub(crate) use merge::{LARGEST_FILE_BYTES, LARGEST_FOLDER_BYTES, MOST_FILES};
pub use merge::{Merged, merge};
pub use problem::Problem;
