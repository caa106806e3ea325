//! What the row modules share: keys, attributes and their encoding.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::Name;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Key, Row, RowCondition, RowWrite, Value};

/// The attribute that holds a row's content as JSON.
const CONTENT: &str = "content";
/// The attribute by which a conditional write knows the row that was read.
const MARK: &str = "mark";

pub(crate) fn key(account: &Name, kind: &str, sort: &str) -> Key {
    Key {
        partition: partition(account, kind),
        sort: Arc::from(sort),
    }
}

pub(crate) fn partition(account: &Name, kind: &str) -> Arc<str> {
    Arc::from(format!("{account}/{kind}"))
}

/// When a row may be written, told by its mark.
pub(crate) enum Guard<'a> {
    Always,
    Absent,
    Mark(&'a str),
}

pub(crate) fn put<T: Serialize>(
    key: Key,
    mark: &str,
    content: &T,
    guard: &Guard<'_>,
) -> Result<RowWrite, Error> {
    let text = serde_json::to_string(content).map_err(|error| malformed(&key, &error))?;
    let attributes = BTreeMap::from([
        (Arc::from(CONTENT), Value::Text(Arc::from(text))),
        (Arc::from(MARK), Value::Text(Arc::from(mark))),
    ]);
    let condition = match guard {
        Guard::Always => RowCondition::Always,
        Guard::Absent => RowCondition::Absent,
        Guard::Mark(mark) => {
            let mark = Value::Text(Arc::from(*mark));
            RowCondition::Equal(BTreeMap::from([(Arc::from(MARK), mark)]))
        }
    };
    let row = Row { key, attributes };
    Ok(RowWrite { row, condition })
}

pub(crate) fn content<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    match row.attributes.get(CONTENT) {
        Some(Value::Text(text)) => {
            serde_json::from_str(text).map_err(|error| malformed(&row.key, &error))
        }
        _ => Err(malformed(&row.key, &"it has no content")),
    }
}

/// Returns what could be decoded, and logs what could not.
///
/// ```
/// use crank_platform_client::without_malformed;
/// assert_eq!(without_malformed([Ok(1), Ok(2)].into_iter()), [1, 2]);
/// ```
pub fn without_malformed<T>(decoded: impl Iterator<Item = Result<T, Error>>) -> Vec<T> {
    let is_usable = |decoded: Result<T, Error>| match decoded {
        Ok(content) => Some(content),
        Err(error) => {
            log::warn!(error:% = error; "row left out");
            None
        }
    };
    decoded.filter_map(is_usable).collect()
}

pub(crate) fn malformed(key: &Key, detail: &impl ToString) -> Error {
    Error::Malformed {
        what: Arc::from(format!("row {} {}", key.partition, key.sort)),
        detail: Arc::from(detail.to_string()),
    }
}
