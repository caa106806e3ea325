//! What may be wrong with a document, and where.

use std::fmt;
use std::sync::Arc;

use crank_protocol::status;
use thiserror::Error as ThisError;

use super::Excerpt;

/// What is wrong, and what to do.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Problem {
    /// A line is neither a header, a comment nor a key.
    #[error("'{line}' is not understood: write 'key = value', '[section]' or '; comment'")]
    UnrecognizedLine {
        /// The line.
        line: Excerpt,
    },
    /// A header is not closed or is empty.
    #[error("'{line}' is not a section header: write '[section]' alone on the line")]
    InvalidHeader {
        /// The line.
        line: Excerpt,
    },
    /// There is nothing before the `=`.
    #[error("there is no key before '=': write 'key = value'")]
    EmptyKey,
    /// A key stands before any header.
    #[error("the key stands before any section: put a '[section]' header above it")]
    KeyOutsideSection,
    /// A key stands twice in one section of one file.
    #[error("the key already stands in line {first}: remove one of the two")]
    DuplicateKey {
        /// The line of the first.
        first: u32,
    },
    /// The file is not text.
    #[error("the file is not UTF-8 from byte {at}: save it as UTF-8")]
    NotUtf8 {
        /// The first byte that does not fit, from 0.
        at: usize,
    },
    /// A key must be there.
    #[error("the key is missing: add '{key} = ...' ({hint})")]
    MissingKey {
        /// The key.
        key: &'static str,
        /// What it takes.
        hint: &'static str,
    },
    /// A section must be there.
    #[error("the section is missing: add '[{section}]'")]
    MissingSection {
        /// The section.
        section: &'static str,
    },
    /// There is no such key.
    #[error("there is no such key: use one of {known}")]
    UnknownKey {
        /// The keys that there are.
        known: Arc<str>,
    },
    /// There is no such section.
    #[error("there is no such section: use {known}")]
    UnknownSection {
        /// The sections that there are.
        known: &'static str,
    },
    /// A value is not of the form that the key takes.
    #[error("'{given}' does not fit: write {expected}")]
    InvalidValue {
        /// What was given.
        given: Excerpt,
        /// What the key takes.
        expected: &'static str,
    },
    /// A value has no unit.
    #[error("'{given}' has no unit: write {expected}")]
    MissingUnit {
        /// What was given.
        given: Excerpt,
        /// What the key takes.
        expected: &'static str,
    },
    /// A value is out of range.
    #[error("{given} is out of range: write {min} to {max}")]
    OutOfRange {
        /// What was given.
        given: Excerpt,
        /// The min that is taken.
        min: Arc<str>,
        /// The max that is taken.
        max: Arc<str>,
    },
    /// A name is not one.
    #[error(transparent)]
    InvalidName(#[from] crank_protocol::Error),
    /// A fault of a folder as a whole.
    #[error(transparent)]
    Folder(#[from] crate::folder::Problem),
}

impl Problem {
    /// Whether something is missing; it may stand in a line or file that could not be read.
    ///
    /// ```
    /// use crank_engine::ini::Problem;
    /// assert!(Problem::MissingSection { section: "account" }.is_missing_item());
    /// assert!(!Problem::EmptyKey.is_missing_item());
    /// ```
    #[must_use]
    pub fn is_missing_item(&self) -> bool {
        match self {
            Self::MissingKey { .. } | Self::MissingSection { .. } => true,
            Self::Folder(problem) => problem.is_missing_item(),
            _ => false,
        }
    }
}

/// A problem and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub struct Fault {
    /// The file.
    pub file: Arc<str>,
    /// The line, from 1; 0 where the fault is not in one line.
    pub line: u32,
    /// The section as written; empty where there is none.
    pub section: Arc<str>,
    /// The key; empty where there is none.
    pub key: Arc<str>,
    /// What is wrong.
    #[source]
    pub problem: Problem,
}

impl Fault {
    /// A fault of a whole file.
    ///
    /// ```
    /// use crank_engine::ini::{Fault, Problem};
    /// let fault = Fault::new("a.ini".into(), Problem::NotUtf8 { at: 3 });
    /// assert_eq!(fault.to_string(), "a.ini: the file is not UTF-8 from byte 3: save it as UTF-8");
    /// ```
    #[must_use]
    pub fn new(file: Arc<str>, problem: Problem) -> Self {
        Self {
            file,
            line: 0,
            section: Arc::default(),
            key: Arc::default(),
            problem,
        }
    }

    /// The same fault at a line.
    ///
    /// ```
    /// # use crank_engine::ini::{Fault, Problem};
    /// assert_eq!(Fault::new("a.ini".into(), Problem::EmptyKey).with_line(2).line, 2);
    /// ```
    #[must_use]
    pub fn with_line(self, line: u32) -> Self {
        Self { line, ..self }
    }

    /// The same fault in a section.
    ///
    /// ```
    /// # use crank_engine::ini::{Fault, Problem};
    /// let fault = Fault::new("a.ini".into(), Problem::EmptyKey).with_section("account".into());
    /// assert_eq!(&*fault.section, "account");
    /// ```
    #[must_use]
    pub fn with_section(self, section: Arc<str>) -> Self {
        Self { section, ..self }
    }

    /// The same fault at a key.
    ///
    /// ```
    /// # use crank_engine::ini::{Fault, Problem};
    /// assert_eq!(&*Fault::new("a.ini".into(), Problem::EmptyKey).with_key("name".into()).key, "name");
    /// ```
    #[must_use]
    pub fn with_key(self, key: Arc<str>) -> Self {
        Self { key, ..self }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        status::Fault::from(self.clone()).fmt(f)
    }
}

impl From<Fault> for status::Fault {
    fn from(fault: Fault) -> Self {
        Self {
            file: Excerpt::path(&fault.file).into(),
            line: fault.line,
            section: Excerpt::from(&*fault.section).into(),
            key: Excerpt::from(&*fault.key).into(),
            problem: fault.problem.to_string().into(),
        }
    }
}
