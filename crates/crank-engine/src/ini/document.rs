//! Reading and uniting documents.

use std::collections::BTreeMap;
use std::collections::btree_map;
use std::sync::Arc;

use ini_core::{Item, Parser};

use super::{Fault, Problem};

const BYTE_ORDER_MARK: char = '\u{feff}';
const COMMENT_MARKS: [char; 2] = [';', '#'];

/// A value and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value, without the blanks around it.
    pub value: Arc<str>,
    /// The file.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: u32,
}

/// A section: its header and its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The header's words, one blank between them.
    pub heading: Arc<str>,
    /// The file of its last header.
    pub file: Arc<str>,
    /// The line of its last header, from 1.
    pub line: u32,
    /// Its entries by key.
    pub entries: BTreeMap<Arc<str>, Entry>,
}

impl Section {
    /// The first word of the heading, and the rest.
    ///
    /// ```
    /// use crank_engine::ini::Document;
    /// let document = Document::parse("a.ini".into(), b"[service recipes]\n").unwrap();
    /// assert_eq!(document.sections["service recipes"].kind_and_name(), ("service", Some("recipes")));
    /// ```
    #[must_use]
    pub fn kind_and_name(&self) -> (&str, Option<&str>) {
        match self.heading.split_once(' ') {
            Some((kind, name)) => (kind, Some(name)),
            None => (&self.heading, None),
        }
    }

    /// A fault of this section.
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

    /// A fault of one of its keys; of the section where the key is not there.
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

/// The sections of one file or of several united ones, by heading.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    /// The sections by heading.
    pub sections: BTreeMap<Arc<str>, Section>,
}

impl Document {
    /// Reads a file; the name is only for faults.
    ///
    /// Comments stand on lines of their own, after `;` or `#`. A section may stand more than once.
    ///
    /// # Errors
    /// Every fault of syntax.
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

    /// Reads what can be read of a file, beside every fault of syntax.
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
                let fault = not_utf8(file, content, error.valid_up_to());
                return (Self::default(), vec![fault]);
            }
        };
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        Reading::new(file).read(text)
    }

    /// Unites another document with this one: a key of the other wins.
    ///
    /// ```
    /// # use crank_engine::ini::Document;
    /// let mut whole = Document::parse("a.ini".into(), b"[service x]\nslots = 6\nqueue = 4\n").unwrap();
    /// whole.merge(Document::parse("b.ini".into(), b"[service x]\nslots = 9\n").unwrap());
    /// let service = &whole.sections["service x"];
    /// assert_eq!(&*service.entries["slots"].value, "9");
    /// assert_eq!(&*service.entries["queue"].value, "4");
    /// ```
    pub fn merge(&mut self, other: Self) {
        for (heading, section) in other.sections {
            match self.sections.entry(heading) {
                btree_map::Entry::Vacant(place) => {
                    place.insert(section);
                }
                btree_map::Entry::Occupied(mut place) => {
                    let held = place.get_mut();
                    held.file = section.file;
                    held.line = section.line;
                    held.entries.extend(section.entries);
                }
            }
        }
    }
}

fn not_utf8(file: Arc<str>, content: &[u8], at: usize) -> Fault {
    let newlines = content[..at].iter().filter(|byte| **byte == b'\n').count();
    let line = u32::try_from(newlines + 1).unwrap_or(u32::MAX);
    Fault::new(file, Problem::NotUtf8 { at }).with_line(line)
}

enum Place {
    Top,
    In(Arc<str>),
    // Keys below a bad header belong to nobody; the header is already a fault.
    Nowhere,
}

struct Reading {
    file: Arc<str>,
    place: Place,
    document: Document,
    faults: Vec<Fault>,
}

impl Reading {
    fn new(file: Arc<str>) -> Self {
        Self {
            file,
            place: Place::Top,
            document: Document::default(),
            faults: Vec::new(),
        }
    }

    fn read(mut self, text: &str) -> (Document, Vec<Fault>) {
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { break };
            self.take(line, &item);
        }
        (self.document, self.faults)
    }

    fn take(&mut self, line: u32, item: &Item<'_>) {
        match *item {
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            Item::Property(key, _) if key.starts_with(COMMENT_MARKS) => {}
            Item::Section(heading) => self.open(line, heading),
            Item::Error(text) => self.header(line, text),
            Item::Property(key, Some(value)) => self.key(line, key, value),
            Item::Property(text, None) if text.starts_with('[') => self.header(line, text),
            Item::Property(text, None) => {
                self.fault(line, Problem::UnrecognizedLine { line: text.into() });
            }
        }
    }

    fn header(&mut self, line: u32, text: &str) {
        let inner = text
            .trim()
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'));
        match inner {
            Some(heading) => self.open(line, heading),
            None => self.refuse_header(line, text),
        }
    }

    fn open(&mut self, line: u32, heading: &str) {
        let words: Vec<&str> = heading.split_whitespace().collect();
        if words.is_empty() || heading.contains(['[', ']']) {
            self.refuse_header(line, &format!("[{heading}]"));
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
        self.place = Place::In(heading);
    }

    fn refuse_header(&mut self, line: u32, text: &str) {
        self.place = Place::Nowhere;
        let fault = Fault::new(
            Arc::clone(&self.file),
            Problem::InvalidHeader { line: text.into() },
        )
        .with_line(line);
        self.faults.push(fault);
    }

    fn key(&mut self, line: u32, key: &str, value: &str) {
        if key.is_empty() {
            return self.fault(line, Problem::EmptyKey);
        }
        let key: Arc<str> = key.into();
        let heading = match &self.place {
            Place::Nowhere => return,
            Place::Top => return self.key_fault(line, key, Problem::KeyOutsideSection),
            Place::In(heading) => heading,
        };
        let Some(section) = self.document.sections.get_mut(heading) else {
            return;
        };
        if let Some(held) = section.entries.get(&key) {
            let first = held.line;
            return self.key_fault(line, key, Problem::DuplicateKey { first });
        }
        let entry = Entry {
            value: value.into(),
            file: Arc::clone(&self.file),
            line,
        };
        section.entries.insert(key, entry);
    }

    fn fault(&mut self, line: u32, problem: Problem) {
        self.key_fault(line, Arc::default(), problem);
    }

    fn key_fault(&mut self, line: u32, key: Arc<str>, problem: Problem) {
        let section = match &self.place {
            Place::In(heading) => Arc::clone(heading),
            Place::Top | Place::Nowhere => Arc::default(),
        };
        let fault = Fault::new(Arc::clone(&self.file), problem)
            .with_line(line)
            .with_section(section)
            .with_key(key);
        self.faults.push(fault);
    }
}
