//! The platform's table service and object store: edge trait, client, in-memory fake.
//!
//! [`Platform`] is the edge. [`Remote`] speaks to the real services, [`Memory`] stands in for them
//! in tests. The modules on top of the trait know the layout of the store: one partition a kind of
//! row, and one prefix a kind of object, all under the client account's name.

pub mod claims;
pub mod configs;
pub mod contacts;
pub mod folder;
pub mod head;
pub mod lease;
pub mod rollouts;
pub mod verdict;

mod error;
mod memory;
mod platform;
mod remote;
mod settings;
mod table;
mod value;

pub use error::Error;
pub use memory::{Counts, Memory};
pub use platform::{Platform, Rows};
pub use remote::{Access, Remote};
pub use settings::Settings;
pub use table::without_malformed;
pub use value::{Condition, Etag, Key, Listing, Object, Row, RowCondition, RowWrite, Value};
