//! Parsing and merging of INI documents.

use std::collections::BTreeMap;
use std::collections::btree_map;
use std::sync::Arc;

use ini_core::{Item, Parser};

use super::{Fault, Problem};

const BYTE_ORDER_MARK: char = '\u{feff}';
const COMMENT_PREFIXES: [char; 2] = [';', '#'];

/// A value and its position in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value, without surrounding whitespace.
    pub value: Arc<str>,
    /// The name of the file.
    pub file: Arc<str>,
    /// The line number, starting at 1.
    pub line: u32,
}

/// A section with its header and its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The words of the header, separated by single spaces.
    pub heading: Arc<str>,
    /// The name of the file with the section; after a merge, of the last such file.
    pub file: Arc<str>,
    /// The line number of the section's first header in that file, starting at 1.
    pub line: u32,
    /// The entries by key.
    pub entries: BTreeMap<Arc<str>, Entry>,
}

impl Section {
    /// Returns the first word of the heading and the rest, if any.
    ///
    /// ```
    /// use crank_engine::ini::Document;
    /// let document = Document::parse("a.ini".into(), b"[service recipes]\n").unwrap();
    /// let section = &document.sections["service recipes"];
    /// assert_eq!(section.kind_and_name(), ("service", Some("recipes")));
    /// ```
    #[must_use]
    pub fn kind_and_name(&self) -> (&str, Option<&str>) {
        match self.heading.split_once(' ') {
            Some((kind, name)) => (kind, Some(name)),
            None => (&self.heading, None),
        }
    }

    /// Creates a fault at the position of this section's header.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, Problem};
    /// # let document = Document::parse("a.ini".into(), b"\n[account]\n").unwrap();
    /// assert_eq!(document.sections["account"].fault(Problem::EmptyKey).line, 2);
    /// ```
    #[must_use]
    pub fn fault(&self, problem: Problem) -> Fault {
        Fault::new(Arc::clone(&self.file), problem)
            .with_line(self.line)
            .with_section(Arc::clone(&self.heading))
    }

    /// Creates a fault for a key of this section.
    ///
    /// Its position is that of the key, or that of the section's header if the key is missing.
    ///
    /// ```
    /// # use crank_engine::ini::{Document, Problem};
    /// # let document = Document::parse("a.ini".into(), b"[account]\n\nname = x\n").unwrap();
    /// assert_eq!(document.sections["account"].key_fault("name", Problem::EmptyKey).line, 3);
    /// ```
    #[must_use]
    pub fn key_fault(&self, key: &str, problem: Problem) -> Fault {
        let fault = self.fault(problem).with_key(key.into());
        match self.entries.get(key) {
            Some(entry) => Fault {
                file: Arc::clone(&entry.file),
                line: entry.line,
                ..fault
            },
            None => fault,
        }
    }
}

/// The sections of one file, or of several merged files.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    /// The sections by heading.
    pub sections: BTreeMap<Arc<str>, Section>,
}

impl Document {
    /// Parses the content of a file. The file name is only used in faults.
    ///
    /// Comments start with `;` or `#` and take up whole lines. A section may occur more than once.
    ///
    /// # Errors
    /// Returns all syntax errors of the file.
    ///
    /// ```
    /// use crank_engine::ini::Document;
    /// let document = Document::parse("a.ini".into(), b"; who\n[account]\nname = sutkent\n")?;
    /// let entry = &document.sections["account"].entries["name"];
    /// assert_eq!((&*entry.value, entry.line), ("sutkent", 3));
    /// # Ok::<(), Vec<crank_engine::ini::Fault>>(())
    /// ```
    pub fn parse(file: Arc<str>, content: &[u8]) -> Result<Self, Vec<Fault>> {
        let (document, faults) = Self::parse_lossy(file, content);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(faults)
        }
    }

    /// Parses the valid parts of a file, and returns them along with all syntax errors.
    ///
    /// ```
    /// # use crank_engine::ini::Document;
    /// let (document, faults) = Document::parse_lossy("a.ini".into(), b"[account]\nname\n");
    /// assert_eq!((document.sections.len(), faults[0].line), (1, 2));
    /// ```
    #[must_use]
    pub fn parse_lossy(file: Arc<str>, content: &[u8]) -> (Self, Vec<Fault>) {
        let text = match std::str::from_utf8(content) {
            Ok(text) => text,
            Err(error) => {
                let fault = utf8_fault(file, content, error.valid_up_to());
                return (Self::default(), vec![fault]);
            }
        };
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        DocumentParser::new(file).parse(text)
    }

    /// Merges another document into this one. Keys of the other document take precedence.
    ///
    /// ```
    /// # use crank_engine::ini::Document;
    /// let text = b"[service x]\nslots = 6\nqueue = 4\n";
    /// let mut document = Document::parse("a.ini".into(), text).unwrap();
    /// document.merge(Document::parse("b.ini".into(), b"[service x]\nslots = 9\n").unwrap());
    /// let service = &document.sections["service x"];
    /// assert_eq!(&*service.entries["slots"].value, "9");
    /// assert_eq!(&*service.entries["queue"].value, "4");
    /// ```
    pub fn merge(&mut self, other: Self) {
        for (heading, section) in other.sections {
            match self.sections.entry(heading) {
                btree_map::Entry::Vacant(vacant) => {
                    vacant.insert(section);
                }
                btree_map::Entry::Occupied(mut occupied) => {
                    let existing = occupied.get_mut();
                    existing.file = section.file;
                    existing.line = section.line;
                    existing.entries.extend(section.entries);
                }
            }
        }
    }
}

fn utf8_fault(file: Arc<str>, content: &[u8], at: usize) -> Fault {
    let newlines = content[..at].iter().filter(|byte| **byte == b'\n').count();
    let line = u32::try_from(newlines + 1).unwrap_or(u32::MAX);
    Fault::new(file, Problem::NotUtf8 { at }).with_line(line)
}

enum Scope {
    BeforeSections,
    Section(Arc<str>),
    // Keys below an invalid header are skipped, because the header is already a fault.
    InvalidSection,
}

struct DocumentParser {
    file: Arc<str>,
    scope: Scope,
    document: Document,
    faults: Vec<Fault>,
}

impl DocumentParser {
    fn new(file: Arc<str>) -> Self {
        Self {
            file,
            scope: Scope::BeforeSections,
            document: Document::default(),
            faults: Vec::new(),
        }
    }

    fn parse(mut self, text: &str) -> (Document, Vec<Fault>) {
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            self.parse_item(line, &item);
        }
        (self.document, self.faults)
    }

    fn parse_item(&mut self, line: u32, item: &Item<'_>) {
        match *item {
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            Item::Property(key, _) if key.starts_with(COMMENT_PREFIXES) => {}
            Item::Section(heading) => self.open_section(line, heading),
            Item::Error(text) => self.parse_header(line, text),
            Item::Property(key, Some(value)) => self.add_entry(line, key, value),
            Item::Property(text, None) if text.starts_with('[') => self.parse_header(line, text),
            Item::Property(text, None) => {
                self.add_fault(line, Problem::UnrecognizedLine { line: text.into() });
            }
        }
    }

    fn parse_header(&mut self, line: u32, text: &str) {
        let inner = text
            .trim()
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'));
        match inner {
            Some(heading) => self.open_section(line, heading),
            None => self.add_header_fault(line, text),
        }
    }

    fn open_section(&mut self, line: u32, heading: &str) {
        let words: Vec<&str> = heading.split_whitespace().collect();
        if words.is_empty() || heading.contains(['[', ']']) {
            self.add_header_fault(line, &format!("[{heading}]"));
            return;
        }
        let heading: Arc<str> = words.join(" ").into();
        self.document
            .sections
            .entry(Arc::clone(&heading))
            .or_insert_with(|| Section {
                heading: Arc::clone(&heading),
                file: Arc::clone(&self.file),
                line,
                entries: BTreeMap::new(),
            });
        self.scope = Scope::Section(heading);
    }

    fn add_header_fault(&mut self, line: u32, text: &str) {
        self.scope = Scope::InvalidSection;
        let fault = Fault::new(
            Arc::clone(&self.file),
            Problem::InvalidHeader { line: text.into() },
        )
        .with_line(line);
        self.faults.push(fault);
    }

    fn add_entry(&mut self, line: u32, key: &str, value: &str) {
        if key.is_empty() {
            return self.add_fault(line, Problem::EmptyKey);
        }
        let key: Arc<str> = key.into();
        let heading = match &self.scope {
            Scope::InvalidSection => return,
            Scope::BeforeSections => {
                return self.add_key_fault(line, key, Problem::KeyOutsideSection);
            }
            Scope::Section(heading) => heading,
        };
        let Some(section) = self.document.sections.get_mut(heading) else {
            return;
        };
        if let Some(entry) = section.entries.get(&key) {
            let first = entry.line;
            return self.add_key_fault(line, key, Problem::DuplicateKey { first });
        }
        let entry = Entry {
            value: value.into(),
            file: Arc::clone(&self.file),
            line,
        };
        section.entries.insert(key, entry);
    }

    fn add_fault(&mut self, line: u32, problem: Problem) {
        self.add_key_fault(line, Arc::default(), problem);
    }

    fn add_key_fault(&mut self, line: u32, key: Arc<str>, problem: Problem) {
        let section = match &self.scope {
            Scope::Section(heading) => Arc::clone(heading),
            Scope::BeforeSections | Scope::InvalidSection => Arc::default(),
        };
        let fault = Fault::new(Arc::clone(&self.file), problem)
            .with_line(line)
            .with_section(section)
            .with_key(key);
        self.faults.push(fault);
    }
}
