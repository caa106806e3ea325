//! The operators' folder: merge and checks.

mod account;
mod file;
mod merge;
mod problem;
mod route;
mod service;
mod settle;

pub use file::{File, is_leaving};
pub(crate) use merge::{LARGEST_FILE_BYTES, LARGEST_FOLDER_BYTES, MOST_FILES};
pub use merge::{Merged, merge};
pub use problem::Problem;
pub use settle::{Pulled, Read, Settled, content_digest, settle};
