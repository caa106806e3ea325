//! Faults of documents: what is wrong, and where.

use std::fmt;
use std::sync::Arc;

use crank_protocol::status;
use thiserror::Error as ThisError;

use super::Excerpt;

/// What is wrong with a document. The message also says how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Problem {
    /// A line is neither a section header, a comment nor a key with a value.
    #[error("'{line}' cannot be parsed: write 'key = value', '[section]' or '; comment'")]
    UnrecognizedLine {
        /// The text of the line.
        line: Excerpt,
    },
    /// A section header is not closed, is empty or contains brackets.
    #[error("'{line}' is not a section header: write '[section]' alone on the line")]
    InvalidHeader {
        /// The text of the line.
        line: Excerpt,
    },
    /// There is no key before the `=`.
    #[error("there is no key before '=': write 'key = value'")]
    EmptyKey,
    /// A key precedes the first section header.
    #[error("the key is not in a section: put a '[section]' header above it")]
    KeyOutsideSection,
    /// A key occurs twice in one section of one file.
    #[error("the key is already set in line {first}: remove one of the two")]
    DuplicateKey {
        /// The line number of the first occurrence.
        first: u32,
    },
    /// The file is not valid UTF-8.
    #[error("the file is not valid UTF-8 at byte {at}: save it as UTF-8")]
    NotUtf8 {
        /// The offset of the first invalid byte, starting at 0.
        at: usize,
    },
    /// A required key is missing.
    #[error("the key is missing: add '{key} = ...' ({hint})")]
    MissingKey {
        /// The name of the key.
        key: &'static str,
        /// A short description of the expected value.
        hint: &'static str,
    },
    /// A required section is missing.
    #[error("the section is missing: add '[{section}]'")]
    MissingSection {
        /// The heading of the section.
        section: &'static str,
    },
    /// A key is not known in its section.
    #[error("unknown key: use one of {known}")]
    UnknownKey {
        /// The known keys.
        known: Arc<str>,
    },
    /// A section is not known.
    #[error("unknown section: use {known}")]
    UnknownSection {
        /// The known sections.
        known: &'static str,
    },
    /// A value does not have the form that the key requires.
    #[error("'{given}' does not fit: write {expected}")]
    InvalidValue {
        /// The given value.
        given: Excerpt,
        /// The form that the key requires.
        expected: &'static str,
    },
    /// A value has no unit.
    #[error("'{given}' has no unit: write {expected}")]
    MissingUnit {
        /// The given value.
        given: Excerpt,
        /// The form that the key requires.
        expected: &'static str,
    },
    /// A value is out of range.
    #[error("{given} is out of range: use a value from {min} to {max}")]
    OutOfRange {
        /// The given value.
        given: Excerpt,
        /// The minimum value.
        min: Arc<str>,
        /// The maximum value.
        max: Arc<str>,
    },
    /// A name contains characters that are not allowed, or is too long.
    #[error(transparent)]
    InvalidName(#[from] crank_protocol::Error),
    /// A problem of the folder beyond the syntax of its files.
    #[error(transparent)]
    Folder(#[from] crate::folder::Problem),
}

impl Problem {
    /// Returns whether the problem is that something is missing.
    ///
    /// The missing item may be in a line or file that could not be parsed.
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

/// A problem and its position.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub struct Fault {
    /// The name of the file; empty if the fault concerns the whole folder.
    pub file: Arc<str>,
    /// The line number, starting at 1, or 0 if the fault does not belong to one line.
    pub line: u32,
    /// The heading of the section; empty if the fault does not belong to one.
    pub section: Arc<str>,
    /// The key; empty if the fault does not belong to one.
    pub key: Arc<str>,
    /// The problem at this position.
    #[source]
    pub problem: Problem,
}

impl Fault {
    /// Creates a fault that concerns a whole file.
    ///
    /// ```
    /// use crank_engine::ini::{Fault, Problem};
    /// let fault = Fault::new("a.ini".into(), Problem::NotUtf8 { at: 3 });
    /// let message = "a.ini: the file is not valid UTF-8 at byte 3: save it as UTF-8";
    /// assert_eq!(fault.to_string(), message);
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

    /// Sets the line number of the fault.
    ///
    /// ```
    /// # use crank_engine::ini::{Fault, Problem};
    /// assert_eq!(Fault::new("a.ini".into(), Problem::EmptyKey).with_line(2).line, 2);
    /// ```
    #[must_use]
    pub fn with_line(self, line: u32) -> Self {
        Self { line, ..self }
    }

    /// Sets the section of the fault.
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

    /// Sets the key of the fault.
    ///
    /// ```
    /// # use crank_engine::ini::{Fault, Problem};
    /// let fault = Fault::new("a.ini".into(), Problem::EmptyKey).with_key("name".into());
    /// assert_eq!(&*fault.key, "name");
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
