//! INI documents with the file and line of each key, for the folder and for settings.

mod document;
mod fault;
mod quote;
mod reader;
mod sections;
pub mod value;

pub use document::{Document, Entry, Section};
pub use fault::{Fault, Problem};
pub use quote::Quote;
pub use reader::Reader;
pub use sections::Sections;
