//! Typed reading of one section that collects all faults.

use std::sync::Arc;

use super::{Fault, Problem, Section};

/// Reads the keys of a section and collects the faults of their values.
///
/// ```
/// use crank_engine::ini::{Document, SectionReader, value};
/// let document = Document::parse("node.ini".into(), b"[node]\nname = a\nslots = 6\n").unwrap();
/// let mut reader = SectionReader::new(&document.sections["node"]);
/// let name = reader.required("name", "a name", value::name);
/// let wait = reader.optional("wait", |text| value::duration(text, 1, 1_000));
/// let faults = reader.finish();
/// assert!(name.is_some() && wait.is_none());
/// assert!(faults[0].to_string().starts_with("node.ini:3: node slots: unknown key"));
/// ```
pub struct SectionReader<'a> {
    section: &'a Section,
    known: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of a section.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, SectionReader};
    /// # let document = Document::parse("a.ini".into(), b"[node]\n").unwrap();
    /// assert!(SectionReader::new(&document.sections["node"]).finish().is_empty());
    /// ```
    #[must_use]
    pub fn new(section: &'a Section) -> Self {
        Self {
            section,
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Reads a required key.
    ///
    /// Returns `None` if the key is missing or its value is invalid, and records a fault.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, SectionReader, value};
    /// # let document = Document::parse("a.ini".into(), b"[node]\n").unwrap();
    /// let mut reader = SectionReader::new(&document.sections["node"]);
    /// assert!(reader.required("name", "a name", value::name).is_none());
    /// assert_eq!(reader.finish().len(), 1);
    /// ```
    pub fn required<T>(
        &mut self,
        key: &'static str,
        hint: &'static str,
        read: impl FnOnce(&str) -> Result<T, Problem>,
    ) -> Option<T> {
        if !self.section.entries.contains_key(key) {
            self.known.push(key);
            self.report(key, Problem::MissingKey { key, hint });
            return None;
        }
        self.optional(key, read)
    }

    /// Reads an optional key.
    ///
    /// Returns `None` if the key is missing, or if its value is invalid, which records a fault.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, SectionReader, value};
    /// # let document = Document::parse("a.ini".into(), b"[node]\nslots = 6\n").unwrap();
    /// let mut reader = SectionReader::new(&document.sections["node"]);
    /// assert_eq!(reader.optional("slots", |text| value::count(text, 1, 100)), Some(6));
    /// ```
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&str) -> Result<T, Problem>,
    ) -> Option<T> {
        self.known.push(key);
        let entry = self.section.entries.get(key)?;
        match read(&entry.value) {
            Ok(value) => Some(value),
            Err(problem) => {
                self.report(key, problem);
                None
            }
        }
    }

    /// Records a fault of a key.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, Problem, SectionReader};
    /// # let document = Document::parse("a.ini".into(), b"[node]\n").unwrap();
    /// let mut reader = SectionReader::new(&document.sections["node"]);
    /// reader.report("name", Problem::EmptyKey);
    /// assert_eq!(&*reader.finish()[0].key, "name");
    /// ```
    pub fn report(&mut self, key: &str, problem: Problem) {
        self.faults.push(self.section.key_fault(key, problem));
    }

    /// Returns all faults, including one for each unknown key, which is one that was not read.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, SectionReader};
    /// # let document = Document::parse("a.ini".into(), b"[node]\nnmae = a\n").unwrap();
    /// assert_eq!(SectionReader::new(&document.sections["node"]).finish().len(), 1);
    /// ```
    #[must_use]
    pub fn finish(mut self) -> Vec<Fault> {
        let known: Arc<str> = self.known.join(", ").into();
        for key in self.section.entries.keys() {
            if !self.known.contains(&&**key) {
                let known = Arc::clone(&known);
                self.faults
                    .push(self.section.key_fault(key, Problem::UnknownKey { known }));
            }
        }
        self.faults
    }
}
