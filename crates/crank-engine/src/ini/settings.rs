//! Typed reading of a whole file, which gathers the faults of all its sections.

use super::{Document, Fault, Problem, Section, SectionReader};

/// The sections of a settings file, and what is wrong with them so far.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    file: &'a str,
    document: &'a Document,
    faults: Vec<Fault>,
}

impl<'a> SettingsReader<'a> {
    /// The sections of a document; one that is not among the known ones is a fault.
    ///
    /// `hint` names the known ones in messages.
    ///
    /// ```
    /// use crank_engine::ini::{Document, SettingsReader};
    /// let document = Document::parse("a.ini".into(), b"[nod]\n").unwrap();
    /// let sections = SettingsReader::new("a.ini", &document, &["node"], "[node]");
    /// assert_eq!(sections.finish().len(), 1);
    /// ```
    #[must_use]
    pub fn new(file: &'a str, document: &'a Document, known: &[&str], hint: &'static str) -> Self {
        let unknown = |section: &&Section| !known.contains(&&*section.heading);
        let fault = |section: &Section| section.fault(Problem::UnknownSection { known: hint });
        let sections = document.sections.values();
        Self {
            file,
            document,
            faults: sections.filter(unknown).map(fault).collect(),
        }
    }

    /// Reads a section that must be there.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, SettingsReader, value};
    /// let document = Document::parse("a.ini".into(), b"").unwrap();
    /// let mut sections = SettingsReader::new("a.ini", &document, &["node"], "[node]");
    /// let name = sections.required("node", |reader| reader.required("name", "a name", value::name));
    /// assert!(name.is_none());
    /// assert!(sections.finish()[0].to_string().contains("node"));
    /// ```
    pub fn required<T>(
        &mut self,
        heading: &'static str,
        read: impl FnOnce(&mut SectionReader<'_>) -> Option<T>,
    ) -> Option<T> {
        if !self.document.sections.contains_key(heading) {
            let problem = Problem::MissingSection { section: heading };
            self.faults.push(Fault::new(self.file.into(), problem));
        }
        self.optional(heading, read)
    }

    /// Reads a section, if it is there.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, SettingsReader, value};
    /// let document = Document::parse("a.ini".into(), b"[node]\nname = n1\n").unwrap();
    /// let mut sections = SettingsReader::new("a.ini", &document, &["node"], "[node]");
    /// let name = sections.optional("node", |reader| reader.optional("name", value::name));
    /// assert_eq!(name.unwrap().as_str(), "n1");
    /// ```
    pub fn optional<T>(
        &mut self,
        heading: &str,
        read: impl FnOnce(&mut SectionReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let mut reader = SectionReader::new(self.document.sections.get(heading)?);
        let read = read(&mut reader);
        self.faults.extend(reader.finish());
        read
    }

    /// All faults.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, SettingsReader};
    /// let document = Document::parse("a.ini".into(), b"").unwrap();
    /// assert!(SettingsReader::new("a.ini", &document, &[], "none").finish().is_empty());
    /// ```
    #[must_use]
    pub fn finish(self) -> Vec<Fault> {
        self.faults
    }
}
