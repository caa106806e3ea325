//! Typed reading of a settings file that collects the faults of all sections.

use super::{Document, Fault, Problem, Section, SectionReader};

/// Reads the sections of a settings file and collects their faults.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    file: &'a str,
    document: &'a Document,
    faults: Vec<Fault>,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader and records a fault for each section that is not in `known`.
    ///
    /// `hint` lists the known sections for messages.
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

    /// Reads a required section. Records a fault if it is missing.
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

    /// Reads an optional section.
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

    /// Returns all faults found in the file.
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
