//! The service-level burn report.

mod ask;
mod error;
mod page;
mod report;
mod run;
mod text;

pub use ask::ask;
pub use error::Error;
pub use page::page;
pub use report::{Report, UnreachedNode};
pub use run::{main, run};
pub use text::table;
