//! Objects, rows and the conditions of writes.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The mark by which the object store tells one content of an object from another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Etag(pub Arc<str>);

/// An object in a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// Its whole key.
    pub key: Arc<str>,
    /// The mark of its content.
    pub etag: Etag,
    /// Its size in bytes.
    pub size: u64,
}

/// An object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The mark of its content.
    pub etag: Etag,
    /// Its content.
    pub content: Bytes,
}

/// When an object may be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// Always.
    Always,
    /// Only if there is none.
    Absent,
    /// Only if its content is still this one.
    Unchanged(Etag),
}

/// The key of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Rows of one partition can be listed together.
    pub partition: Arc<str>,
    /// Orders the rows of a partition.
    pub sort: Arc<str>,
}

/// The value of an attribute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// Text.
    Text(Arc<str>),
    /// A whole number.
    Number(u64),
    /// Bytes.
    Bytes(Vec<u8>),
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Its attributes by name.
    pub attributes: BTreeMap<Arc<str>, Value>,
}

/// When a row may be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowCondition {
    /// Always.
    Always,
    /// Only if there is none.
    Absent,
    /// Only if every one of these attributes still has this value.
    Equal(BTreeMap<Arc<str>, Value>),
}

/// The write of a whole row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// The row as it shall be.
    pub row: Row,
    /// When it may be written.
    pub condition: RowCondition,
}
