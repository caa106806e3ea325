//! The conditions of writes that the clients use.

use std::collections::BTreeMap;

use serde_json::Value;

use super::Item;

/// When a row may be written.
#[derive(Debug, PartialEq)]
pub(crate) enum Condition {
    Always,
    Absent,
    Equal(Vec<(String, Value)>),
}

impl Condition {
    /// Reads `attribute_not_exists(#key)` or `#a = :a AND #b = :b`.
    pub(crate) fn parse(
        text: Option<&str>,
        names: &BTreeMap<String, String>,
        values: &BTreeMap<String, Value>,
    ) -> Option<Self> {
        let Some(text) = text else {
            return Some(Self::Always);
        };
        if let Some(rest) = text.strip_prefix("attribute_not_exists(") {
            let name = names.get(rest.strip_suffix(')')?)?;
            return (name == super::PARTITION).then_some(Self::Absent);
        }
        let terms = text.split(" AND ").map(|term| {
            let (name, value) = term.split_once(" = ")?;
            Some((names.get(name)?.clone(), values.get(value)?.clone()))
        });
        terms.collect::<Option<Vec<_>>>().map(Self::Equal)
    }

    pub(crate) fn holds(&self, found: Option<&Item>) -> bool {
        match self {
            Self::Always => true,
            Self::Absent => found.is_none(),
            Self::Equal(wanted) => found.is_some_and(|found| {
                let mut wanted = wanted.iter();
                wanted.all(|(name, value)| found.get(name) == Some(value))
            }),
        }
    }
}
