//! The table service: GetItem, Query, PutItem and TransactWriteItems with simple conditions.

mod condition;

use std::collections::BTreeMap;

use http::StatusCode;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::answer::{Answer, json, row_error};
use crate::objects::Written;
use condition::Condition;

const PARTITION: &str = "partition";
const SORT: &str = "sort";

pub(crate) type Item = Map<String, Value>;

/// The rows by table, partition and sort key.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    rows: Mutex<BTreeMap<Place, Item>>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    table: String,
    partition: String,
    sort: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct GetItem {
    table_name: String,
    key: Item,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Query {
    table_name: String,
    expression_attribute_values: BTreeMap<String, Value>,
    #[serde(default)]
    limit: Option<usize>,
    #[serde(default)]
    scan_index_forward: Option<bool>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Put {
    table_name: String,
    item: Item,
    #[serde(default)]
    condition_expression: Option<String>,
    #[serde(default)]
    expression_attribute_names: BTreeMap<String, String>,
    #[serde(default)]
    expression_attribute_values: BTreeMap<String, Value>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Transaction {
    transact_items: Vec<TransactItem>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
struct TransactItem {
    put: Put,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Reason {
    code: &'static str,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Cancelled {
    #[serde(rename = "__type")]
    kind: &'static str,
    message: &'static str,
    cancellation_reasons: Vec<Reason>,
}

#[derive(Debug, Serialize)]
struct Found<'a> {
    #[serde(rename = "Item", skip_serializing_if = "Option::is_none")]
    item: Option<&'a Item>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Listed<'a> {
    items: Vec<&'a Item>,
    count: usize,
}

/// How many rows a transaction writes; one where it cannot be read.
pub(crate) fn transaction_rows(body: &[u8]) -> u32 {
    let parsed = serde_json::from_slice::<Transaction>(body);
    let rows = parsed.map_or(1, |transaction| transaction.transact_items.len());
    u32::try_from(rows).unwrap_or(u32::MAX)
}

impl Rows {
    pub(crate) fn get(&self, body: &[u8]) -> Answer {
        let get: GetItem = match serde_json::from_slice(body) {
            Ok(get) => get,
            Err(error) => return invalid(&error),
        };
        let Some(place) = place(&get.table_name, &get.key) else {
            return invalid(&"the key must have the texts 'partition' and 'sort'");
        };
        let rows = self.rows.lock();
        let item = rows.get(&place);
        json(StatusCode::OK, &Found { item })
    }

    pub(crate) fn query(&self, body: &[u8]) -> Answer {
        let query: Query = match serde_json::from_slice(body) {
            Ok(query) => query,
            Err(error) => return invalid(&error),
        };
        let mut values = query.expression_attribute_values.values();
        let (Some(partition), None) = (values.next().and_then(string), values.next()) else {
            return invalid(&"the stand-in serves only queries for one partition");
        };
        if query.scan_index_forward != Some(false) {
            return invalid(&"the stand-in serves only queries with the highest sort key first");
        }
        let rows = self.rows.lock();
        let matching = rows.iter().rev();
        let matching = matching
            .filter(|(place, _)| place.table == query.table_name && place.partition == partition);
        let items: Vec<&Item> = matching
            .map(|(_, item)| item)
            .take(query.limit.unwrap_or(usize::MAX))
            .collect();
        let count = items.len();
        json(StatusCode::OK, &Listed { items, count })
    }

    pub(crate) fn put(&self, body: &[u8]) -> Written {
        let put: Put = match serde_json::from_slice(body) {
            Ok(put) => put,
            Err(error) => return Written::No(invalid(&error)),
        };
        let mut rows = self.rows.lock();
        match checked(&rows, &put) {
            Err(problem) => Written::No(invalid(&problem)),
            Ok((_, false)) => Written::No(row_error(
                StatusCode::BAD_REQUEST,
                "ConditionalCheckFailedException",
                "The conditional request failed",
            )),
            Ok((place, true)) => {
                rows.insert(place, put.item);
                Written::Yes(json(StatusCode::OK, &Item::new()))
            }
        }
    }

    pub(crate) fn transact(&self, body: &[u8]) -> Written {
        let transaction: Transaction = match serde_json::from_slice(body) {
            Ok(transaction) => transaction,
            Err(error) => return Written::No(invalid(&error)),
        };
        let mut rows = self.rows.lock();
        let mut writes = Vec::new();
        let mut reasons = Vec::new();
        for item in transaction.transact_items {
            match checked(&rows, &item.put) {
                Err(problem) => return Written::No(invalid(&problem)),
                Ok((place, holds)) => {
                    let code = if holds {
                        "None"
                    } else {
                        "ConditionalCheckFailed"
                    };
                    reasons.push(Reason { code });
                    writes.push((place, item.put.item));
                }
            }
        }
        if reasons.iter().any(|reason| reason.code != "None") {
            return Written::No(cancelled(reasons));
        }
        rows.extend(writes);
        Written::Yes(json(StatusCode::OK, &Item::new()))
    }
}

fn checked(rows: &BTreeMap<Place, Item>, put: &Put) -> Result<(Place, bool), &'static str> {
    let place = place(&put.table_name, &put.item);
    let place = place.ok_or("the item must have the texts 'partition' and 'sort'")?;
    let condition = Condition::parse(
        put.condition_expression.as_deref(),
        &put.expression_attribute_names,
        &put.expression_attribute_values,
    )
    .ok_or("the stand-in does not serve this condition")?;
    let holds = condition.holds(rows.get(&place));
    Ok((place, holds))
}

fn place(table: &str, item: &Item) -> Option<Place> {
    Some(Place {
        table: table.to_owned(),
        partition: string(item.get(PARTITION)?)?,
        sort: string(item.get(SORT)?)?,
    })
}

fn string(attribute: &Value) -> Option<String> {
    attribute.get("S")?.as_str().map(str::to_owned)
}

fn cancelled(cancellation_reasons: Vec<Reason>) -> Answer {
    let body = Cancelled {
        kind: "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
        message: "Transaction cancelled, please refer cancellation reasons for specific reasons",
        cancellation_reasons,
    };
    json(StatusCode::BAD_REQUEST, &body)
}

fn invalid(problem: &impl ToString) -> Answer {
    let problem = problem.to_string();
    row_error(StatusCode::BAD_REQUEST, "ValidationException", &problem)
}
