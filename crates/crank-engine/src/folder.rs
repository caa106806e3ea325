//! The operators' folder: merging its files into a configuration and checking it.

mod account;
mod client;
mod compare;
mod file;
mod limits;
mod merge;
mod problem;
mod route;
mod service;

pub use compare::{FileComparison, PullRecord, PulledFile, compare_file, content_digest};
pub use file::{File, is_ignored_file};
pub(crate) use merge::{MAX_FILE_BYTES, MAX_FILES, MAX_FOLDER_BYTES};
pub use merge::{Merged, merge};
pub use problem::Problem;
