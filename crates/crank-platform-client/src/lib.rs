//! The platform's table service and object store: edge trait, client, in-memory fake.

mod error;
mod platform;
mod settings;
mod value;

pub use error::Error;
pub use platform::Platform;
pub use settings::Settings;
pub use value::{Condition, Etag, Key, Listing, Object, Row, RowCondition, RowWrite, Value};
