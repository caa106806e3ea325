//! Excerpts of a document for use in fault messages.

use std::fmt;
use std::sync::Arc;

const MAX_EXCERPT_CHARS: usize = 80;
const MAX_PATH_CHARS: usize = 512;
const ELLIPSIS: char = '…';

/// A text that is truncated to a maximum length and in which control characters are replaced.
///
/// This keeps a fault small enough to be stored and safe to print to a terminal.
///
/// ```
/// use crank_engine::ini::Excerpt;
/// assert_eq!(Excerpt::from("a\u{1b}[2J").to_string(), "a\u{fffd}[2J");
/// assert_eq!(Excerpt::from("x".repeat(1_000).as_str()).to_string().chars().count(), 81);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Excerpt(Arc<str>);

impl Excerpt {
    /// Creates an excerpt of a file path, which may be longer than other excerpts.
    ///
    /// ```
    /// use crank_engine::ini::Excerpt;
    /// let path = "/etc/".repeat(50);
    /// assert_eq!(Excerpt::path(&path).to_string(), path);
    /// ```
    #[must_use]
    pub fn path(text: &str) -> Self {
        Self::truncate(text, MAX_PATH_CHARS)
    }

    fn truncate(text: &str, max_chars: usize) -> Self {
        let replace_control = |c: char| match c.is_control() {
            true => char::REPLACEMENT_CHARACTER,
            false => c,
        };
        let mut chars = text.chars();
        let mut excerpt: String = chars
            .by_ref()
            .take(max_chars)
            .map(replace_control)
            .collect();
        if chars.next().is_some() {
            excerpt.push(ELLIPSIS);
        }
        Self(excerpt.into())
    }
}

impl From<&str> for Excerpt {
    fn from(text: &str) -> Self {
        Self::truncate(text, MAX_EXCERPT_CHARS)
    }
}

impl From<Excerpt> for Arc<str> {
    fn from(excerpt: Excerpt) -> Self {
        excerpt.0
    }
}

impl fmt::Display for Excerpt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
