//! INI documents that keep the file and line of each key, used for the folder and for settings.

mod document;
mod excerpt;
mod fault;
mod reader;
mod settings;
pub mod value;

pub use document::{Document, Entry, Section};
pub use excerpt::Excerpt;
pub use fault::{Fault, Problem};
pub use reader::SectionReader;
pub use settings::SettingsReader;
