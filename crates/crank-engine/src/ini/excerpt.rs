//! Words of a document as they are shown in a fault.

use std::fmt;
use std::sync::Arc;

const LONGEST_QUOTE_LETTERS: usize = 80;
const LONGEST_PATH_LETTERS: usize = 512;
const CUT: char = '…';

/// A text that is cut to a bounded length and stripped of control characters, so that a fault stays
/// small enough to be kept and harmless on a terminal.
///
/// ```
/// use crank_engine::ini::Excerpt;
/// assert_eq!(Excerpt::from("a\u{1b}[2J").to_string(), "a\u{fffd}[2J");
/// assert_eq!(Excerpt::from("x".repeat(1_000).as_str()).to_string().chars().count(), 81);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Excerpt(Arc<str>);

impl Excerpt {
    /// The path of a file, which may be longer than other words.
    ///
    /// ```
    /// use crank_engine::ini::Excerpt;
    /// let path = "/etc/".repeat(50);
    /// assert_eq!(Excerpt::path(&path).to_string(), path);
    /// ```
    #[must_use]
    pub fn path(text: &str) -> Self {
        Self::cut(text, LONGEST_PATH_LETTERS)
    }

    fn cut(text: &str, most: usize) -> Self {
        let shown = |letter: char| match letter.is_control() {
            true => char::REPLACEMENT_CHARACTER,
            false => letter,
        };
        let mut letters = text.chars();
        let mut quote: String = letters.by_ref().take(most).map(shown).collect();
        if letters.next().is_some() {
            quote.push(CUT);
        }
        Self(quote.into())
    }
}

impl From<&str> for Excerpt {
    fn from(text: &str) -> Self {
        Self::cut(text, LONGEST_QUOTE_LETTERS)
    }
}

impl From<Excerpt> for Arc<str> {
    fn from(quote: Excerpt) -> Self {
        quote.0
    }
}

impl fmt::Display for Excerpt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
