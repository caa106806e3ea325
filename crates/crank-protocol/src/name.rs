//! Validated names that are cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Error;

const MAX_NAME_BYTES: usize = 64;

/// The name of a service, a route, a node, a region, a data centre, an owner or a client account.
///
/// Clones share the text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name from a text.
    ///
    /// # Errors
    /// Returns [`Error::BadName`] unless `text` consists of 1 to 64 ASCII letters, digits, `-`, `_`
    /// or `.`, and starts with a letter or a digit.
    ///
    /// ```
    /// use crank_protocol::Name;
    /// assert_eq!(Name::new("recipes")?.as_str(), "recipes");
    /// assert!(Name::new("no spaces").is_err());
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    pub fn new(text: &str) -> Result<Self, Error> {
        Self::try_from(Arc::from(text))
    }

    /// Returns the text of the name.
    ///
    /// ```
    /// # use crank_protocol::Name;
    /// assert_eq!(Name::new("a-1")?.as_str(), "a-1");
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for Name {
    type Error = Error;

    fn try_from(text: Arc<str>) -> Result<Self, Error> {
        let first = text.bytes().next();
        let has_valid_start = first.is_some_and(|byte| byte.is_ascii_alphanumeric());
        let has_valid_bytes = text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
        if has_valid_start && has_valid_bytes && text.len() <= MAX_NAME_BYTES {
            Ok(Self(text))
        } else {
            Err(Error::BadName {
                given: text.to_string(),
            })
        }
    }
}

impl From<Name> for Arc<str> {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl std::str::FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::new(text)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}
