//! The client of the real services, through their usual libraries.
//!
//! Neither library may send a request again on its own: a conditional write that is sent twice
//! cannot be told from another writer's.

mod objects;
mod rows;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::Millis;

use crate::{Condition, Error, Etag, Key, Listing, Object, Platform, Row, RowWrite, Rows};

/// Where the platform's services are, and how long a request to them may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    /// The URL of the object store.
    pub objects: Arc<str>,
    /// The URL of the table service.
    pub rows: Arc<str>,
    /// The region in which the services are.
    pub region: Arc<str>,
    /// The bucket that holds the folder and the configurations.
    pub bucket: Arc<str>,
    /// The table, with the key attributes `partition` and `sort`.
    pub table: Arc<str>,
    /// The access key.
    pub access_key: Arc<str>,
    /// Its secret.
    pub secret_key: Arc<str>,
    /// The longest a request may take.
    pub timeout: Millis,
}

/// The platform as it is reached over HTTP; clones share their connections.
#[derive(Debug, Clone)]
pub struct Remote {
    objects: objects::Client,
    rows: rows::Client,
}

impl Remote {
    /// A client that connects when it is first used.
    ///
    /// # Errors
    /// [`Error::Malformed`] where a setting cannot be used.
    ///
    /// ```
    /// use crank_platform_client::{Remote, Access};
    /// let remote = Remote::new(&Access {
    ///     objects: "http://127.0.0.1:7001".into(),
    ///     rows: "http://127.0.0.1:7001".into(),
    ///     region: "almaty".into(),
    ///     bucket: "crank".into(),
    ///     table: "crank".into(),
    ///     access_key: "n1".into(),
    ///     secret_key: "none".into(),
    ///     timeout: crank_protocol::Millis(2_000),
    /// });
    /// assert!(remote.is_ok());
    /// ```
    pub fn new(settings: &Access) -> Result<Self, Error> {
        Ok(Self {
            objects: objects::Client::new(settings)?,
            rows: rows::Client::new(settings),
        })
    }
}

impl Platform for Remote {
    async fn list(&self, prefix: &str) -> Result<Vec<Listing>, Error> {
        self.objects.list(prefix).await
    }

    async fn read(&self, key: &str) -> Result<Option<Object>, Error> {
        self.objects.read(key).await
    }

    async fn write(&self, key: &str, content: Bytes, condition: Condition) -> Result<Etag, Error> {
        self.objects.write(key, content, condition).await
    }
}

impl Rows for Remote {
    async fn row(&self, key: &Key) -> Result<Option<Row>, Error> {
        self.rows.row(key).await
    }

    async fn rows(&self, partition: &str, limit: u32) -> Result<Vec<Row>, Error> {
        self.rows.rows(partition, limit).await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<(), Error> {
        self.rows.transact(writes).await
    }
}

fn timeout(settings: &Access) -> Duration {
    settings.timeout.into()
}

fn unavailable(error: &dyn std::error::Error) -> Error {
    Error::Unavailable {
        detail: chain(error),
    }
}

fn answer_lost(error: &dyn std::error::Error) -> Error {
    Error::AnswerLost {
        detail: chain(error),
    }
}

fn chain(error: &dyn std::error::Error) -> Arc<str> {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        let inner_text = inner.to_string();
        if !text.contains(&inner_text) {
            text.push_str(": ");
            text.push_str(&inner_text);
        }
        cause = inner.source();
    }
    Arc::from(text)
}
