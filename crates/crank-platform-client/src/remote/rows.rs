//! The table service.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use aws_sdk_dynamodb::config::retry::RetryConfig;
use aws_sdk_dynamodb::config::timeout::TimeoutConfig;
use aws_sdk_dynamodb::config::{BehaviorVersion, Credentials, Region};
use aws_sdk_dynamodb::error::{ProvideErrorMetadata, SdkError};
use aws_sdk_dynamodb::operation::transact_write_items::TransactWriteItemsError;
use aws_sdk_dynamodb::primitives::Blob;
use aws_sdk_dynamodb::types::{AttributeValue, Put, TransactWriteItem};

use super::{Access, answer_lost, timeout, unavailable};
use crate::table::without_malformed;
use crate::{Error, Key, Row, RowCondition, RowWrite, Value};

const PARTITION: &str = "partition";
const SORT: &str = "sort";
const CREDENTIALS_SOURCE: &str = "settings";
const CONDITION_FAILED: &str = "ConditionalCheckFailed";

type Item = HashMap<String, AttributeValue>;

#[derive(Debug, Clone)]
pub(super) struct Client {
    client: aws_sdk_dynamodb::Client,
    table: Arc<str>,
}

impl Client {
    pub(super) fn new(settings: &Access) -> Self {
        let credentials = Credentials::new(
            &*settings.access_key,
            &*settings.secret_key,
            None,
            None,
            CREDENTIALS_SOURCE,
        );
        let timeouts = TimeoutConfig::builder()
            .connect_timeout(timeout(settings))
            .operation_timeout(timeout(settings))
            .build();
        let config = aws_sdk_dynamodb::Config::builder()
            .behavior_version(BehaviorVersion::latest())
            .region(Region::new(settings.region.to_string()))
            .endpoint_url(&*settings.rows)
            .credentials_provider(credentials)
            .retry_config(RetryConfig::disabled())
            .timeout_config(timeouts)
            .build();
        Self {
            client: aws_sdk_dynamodb::Client::from_conf(config),
            table: settings.table.clone(),
        }
    }

    pub(super) async fn row(&self, key: &Key) -> Result<Option<Row>, Error> {
        let found = self
            .client
            .get_item()
            .table_name(&*self.table)
            .set_key(Some(key_item(key)))
            .consistent_read(true)
            .send()
            .await
            .map_err(|error| unavailable(&error))?;
        found.item.map(row).transpose()
    }

    pub(super) async fn rows(&self, partition: &str, limit: u32) -> Result<Vec<Row>, Error> {
        let found = self
            .client
            .query()
            .table_name(&*self.table)
            .key_condition_expression("#partition = :partition")
            .expression_attribute_names("#partition", PARTITION)
            .expression_attribute_values(":partition", AttributeValue::S(partition.to_owned()))
            .consistent_read(true)
            .scan_index_forward(false)
            .limit(i32::try_from(limit).unwrap_or(i32::MAX))
            .send()
            .await
            .map_err(|error| unavailable(&error))?;
        let items = found.items.unwrap_or_default();
        Ok(without_malformed(items.into_iter().map(row)))
    }

    pub(super) async fn transact(&self, mut writes: Vec<RowWrite>) -> Result<(), Error> {
        match (writes.pop(), writes.is_empty()) {
            (None, _) => Ok(()),
            (Some(write), true) => self.put(write).await,
            (Some(last), false) => {
                writes.push(last);
                self.put_all(writes).await
            }
        }
    }

    async fn put(&self, write: RowWrite) -> Result<(), Error> {
        let expression = Expression::new(&write.condition);
        let sent = self
            .client
            .put_item()
            .table_name(&*self.table)
            .set_item(Some(item(write.row)))
            .set_condition_expression(expression.text)
            .set_expression_attribute_names(expression.names)
            .set_expression_attribute_values(expression.values)
            .send()
            .await;
        sent.map(drop).map_err(|error| write_error(&error))
    }

    async fn put_all(&self, writes: Vec<RowWrite>) -> Result<(), Error> {
        let puts: Result<Vec<_>, Error> = writes.into_iter().map(|write| self.one(write)).collect();
        let sent = self
            .client
            .transact_write_items()
            .set_transact_items(Some(puts?))
            .send()
            .await;
        sent.map(drop).map_err(|error| match cancelled(&error) {
            Some(true) => Error::ConditionFailed,
            Some(false) => unavailable(&error),
            None => write_error(&error),
        })
    }

    fn one(&self, write: RowWrite) -> Result<TransactWriteItem, Error> {
        let expression = Expression::new(&write.condition);
        let put = Put::builder()
            .table_name(&*self.table)
            .set_item(Some(item(write.row)))
            .set_condition_expression(expression.text)
            .set_expression_attribute_names(expression.names)
            .set_expression_attribute_values(expression.values)
            .build()
            .map_err(|error| unavailable(&error))?;
        Ok(TransactWriteItem::builder().put(put).build())
    }
}

struct Expression {
    text: Option<String>,
    names: Option<HashMap<String, String>>,
    values: Option<HashMap<String, AttributeValue>>,
}

impl Expression {
    fn new(condition: &RowCondition) -> Self {
        match condition {
            RowCondition::Always => Self {
                text: None,
                names: None,
                values: None,
            },
            RowCondition::Absent => Self {
                text: Some("attribute_not_exists(#partition)".to_owned()),
                names: Some(HashMap::from([(
                    "#partition".to_owned(),
                    PARTITION.to_owned(),
                )])),
                values: None,
            },
            RowCondition::Equal(wanted) => Self::equal(wanted),
        }
    }

    fn equal(wanted: &BTreeMap<Arc<str>, Value>) -> Self {
        let mut terms = Vec::new();
        let mut names = HashMap::new();
        let mut values = HashMap::new();
        for (number, (name, value)) in wanted.iter().enumerate() {
            terms.push(format!("#a{number} = :a{number}"));
            names.insert(format!("#a{number}"), name.to_string());
            values.insert(format!(":a{number}"), attribute(value.clone()));
        }
        Self {
            text: Some(terms.join(" AND ")),
            names: Some(names),
            values: Some(values),
        }
    }
}

/// Whether a transaction was cancelled, and if so, whether by a condition.
fn cancelled<R>(error: &SdkError<TransactWriteItemsError, R>) -> Option<bool> {
    match error.as_service_error() {
        Some(TransactWriteItemsError::TransactionCanceledException(cancelled)) => {
            let mut reasons = cancelled.cancellation_reasons().iter();
            Some(reasons.any(|reason| reason.code() == Some(CONDITION_FAILED)))
        }
        _ => None,
    }
}

fn write_error<E, R>(error: &SdkError<E, R>) -> Error
where
    E: ProvideErrorMetadata + std::error::Error + 'static,
    R: std::fmt::Debug,
{
    match error {
        SdkError::ConstructionFailure(_) => unavailable(error),
        SdkError::DispatchFailure(_) if never_sent(error) => unavailable(error),
        SdkError::ServiceError(service) => match service.err().code() {
            Some("ConditionalCheckFailedException") => Error::ConditionFailed,
            Some("InternalServerError") | None => answer_lost(error),
            Some(_) => unavailable(error),
        },
        _ => answer_lost(error),
    }
}

fn never_sent(error: &dyn std::error::Error) -> bool {
    let refused = |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
    let mut cause = error.source();
    while let Some(inner) = cause {
        if inner.downcast_ref::<std::io::Error>().is_some_and(refused) {
            return true;
        }
        cause = inner.source();
    }
    false
}

fn key_item(key: &Key) -> Item {
    HashMap::from([
        (
            PARTITION.to_owned(),
            AttributeValue::S(key.partition.to_string()),
        ),
        (SORT.to_owned(), AttributeValue::S(key.sort.to_string())),
    ])
}

fn item(row: Row) -> Item {
    let mut item = key_item(&row.key);
    for (name, value) in row.attributes {
        item.insert(name.to_string(), attribute(value));
    }
    item
}

fn attribute(value: Value) -> AttributeValue {
    match value {
        Value::Text(text) => AttributeValue::S(text.to_string()),
        Value::Number(number) => AttributeValue::N(number.to_string()),
        Value::Bytes(bytes) => AttributeValue::B(Blob::new(bytes)),
    }
}

fn row(item: Item) -> Result<Row, Error> {
    let key = Key {
        partition: Arc::from(text(&item, PARTITION)?),
        sort: Arc::from(text(&item, SORT)?),
    };
    let mut attributes = BTreeMap::new();
    for (name, given) in item {
        if name != PARTITION && name != SORT {
            let value = value(&name, given)?;
            attributes.insert(Arc::from(name), value);
        }
    }
    Ok(Row { key, attributes })
}

fn text<'a>(item: &'a Item, name: &str) -> Result<&'a str, Error> {
    match item.get(name) {
        Some(AttributeValue::S(text)) => Ok(text),
        _ => Err(malformed(name)),
    }
}

fn value(name: &str, given: AttributeValue) -> Result<Value, Error> {
    match given {
        AttributeValue::S(text) => Ok(Value::Text(Arc::from(text))),
        AttributeValue::N(number) => number
            .parse()
            .map(Value::Number)
            .map_err(|_| malformed(name)),
        AttributeValue::B(bytes) => Ok(Value::Bytes(bytes.into_inner())),
        _ => Err(malformed(name)),
    }
}

fn malformed(attribute: &str) -> Error {
    Error::Malformed {
        what: Arc::from(format!("attribute {attribute} of a row")),
        detail: Arc::from("it is missing or of another type"),
    }
}
