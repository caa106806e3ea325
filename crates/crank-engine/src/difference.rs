//! What differs between two configurations, section by section, for people to read.
//!
//! Keys of client accounts are counted, never shown, not even as digests.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use crank_protocol::Name;
use crank_protocol::config::{ClientAccount, Config, Digest};
use serde::Serialize;
use serde_json::{Map, Value};

/// The field of a client account that holds the digests of its keys.
const KEYS_FIELD: &str = "keys";

/// How one section, or one key of it, differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The section is new.
    Added,
    /// The section is gone.
    Removed,
    /// A value of the section differs; times are in milliseconds and shares in thousandths.
    Value {
        /// The field of the section.
        field: Arc<str>,
        /// The old value, if there was one.
        old: Option<Arc<str>>,
        /// The new value, if there is one.
        new: Option<Arc<str>>,
    },
    /// The keys of a client account differ.
    Keys {
        /// The number of keys that are new.
        added: usize,
        /// The number of keys that are taken back.
        removed: usize,
    },
}

/// A difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The section, such as `route tickets`.
    pub section: Arc<str>,
    /// How it differs.
    pub change: Change,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let section = &self.section;
        let shown = |value: &Option<Arc<str>>| value.clone().unwrap_or_else(|| "not set".into());
        match &self.change {
            Change::Added => write!(f, "{section}: added"),
            Change::Removed => write!(f, "{section}: removed"),
            Change::Value { field, old, new } => {
                write!(f, "{section}: {field}: {} -> {}", shown(old), shown(new))
            }
            Change::Keys { added, removed } => {
                write!(f, "{section}: keys: {added} added, {removed} taken back")
            }
        }
    }
}

/// Returns the differences from one configuration to another, in the order of the sections.
///
/// ```
/// use crank_engine::difference::differences;
/// use crank_protocol::{Name, config::{Config, Owner}};
/// let old = Config::new(Owner { name: Name::new("sutkent")?, notice_ends: None });
/// let mut new = old.clone();
/// new.limits.body_bytes = Some(4_096);
/// let found = differences(&old, &new);
/// assert_eq!(found[0].to_string(), "limits: body_bytes: not set -> 4096");
/// # Ok::<(), crank_protocol::Error>(())
/// ```
#[must_use]
pub fn differences(old: &Config, new: &Config) -> Vec<Difference> {
    let mut found = Vec::new();
    compare_values("account", &old.account, &new.account, &mut found);
    compare_maps("service", &old.services, &new.services, &mut found);
    compare_maps("route", &old.routes, &new.routes, &mut found);
    compare_maps("client", &old.clients, &new.clients, &mut found);
    compare_keys(&old.clients, &new.clients, &mut found);
    compare_values("limits", &old.limits, &new.limits, &mut found);
    found
}

fn compare_maps<T: Serialize>(
    kind: &str,
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
    found: &mut Vec<Difference>,
) {
    let names: BTreeSet<&Name> = old.keys().chain(new.keys()).collect();
    for name in names {
        let section = format!("{kind} {name}");
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => compare_values(&section, old, new, found),
            (None, _) => push(&section, Change::Added, found),
            (_, None) => push(&section, Change::Removed, found),
        }
    }
}

fn compare_values<T: Serialize>(section: &str, old: &T, new: &T, found: &mut Vec<Difference>) {
    let (old, new) = (fields(old), fields(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names.into_iter().filter(|name| *name != KEYS_FIELD) {
        let (old, new) = (shown(old.get(name)), shown(new.get(name)));
        if old != new {
            let field = name.as_str().into();
            push(section, Change::Value { field, old, new }, found);
        }
    }
}

fn compare_keys(
    old: &BTreeMap<Name, ClientAccount>,
    new: &BTreeMap<Name, ClientAccount>,
    found: &mut Vec<Difference>,
) {
    for (name, new) in new {
        let Some(old) = old.get(name) else {
            continue;
        };
        let count = |a: &BTreeSet<Digest>, b: &BTreeSet<Digest>| a.difference(b).count();
        let (added, removed) = (count(&new.keys, &old.keys), count(&old.keys, &new.keys));
        if added + removed > 0 {
            push(
                &format!("client {name}"),
                Change::Keys { added, removed },
                found,
            );
        }
    }
}

fn push(section: &str, change: Change, found: &mut Vec<Difference>) {
    let section = section.into();
    found.push(Difference { section, change });
}

/// Returns the fields of a section; types of the configuration are always structs.
fn fields(section: &impl Serialize) -> Map<String, Value> {
    match serde_json::to_value(section) {
        Ok(Value::Object(fields)) => fields,
        Ok(_) | Err(_) => unreachable!("the types of a configuration are structs"),
    }
}

fn shown(value: Option<&Value>) -> Option<Arc<str>> {
    match value? {
        Value::Null => None,
        Value::String(text) => Some(text.as_str().into()),
        other => Some(other.to_string().into()),
    }
}
