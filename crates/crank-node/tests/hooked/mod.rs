//! The in-memory platform with a hook that runs after each read or listing of objects.

use std::sync::Arc;

use bytes::Bytes;
use crank_platform_client::{
    Condition, Error, Etag, Key, Listing, Memory, Object, Platform, Row, RowWrite, Rows,
};
use futures::future::BoxFuture;

/// A read of the platform; listings are numbered from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReadEvent {
    List(u32),
    Object(String),
}

type Hook = dyn Fn(ReadEvent) -> BoxFuture<'static, ()> + Send + Sync;

#[derive(Clone)]
pub(crate) struct HookedPlatform {
    pub(crate) memory: Memory,
    lists: Arc<std::sync::atomic::AtomicU32>,
    hook: Arc<Hook>,
}

impl HookedPlatform {
    pub(crate) fn new(
        memory: Memory,
        hook: impl Fn(ReadEvent) -> BoxFuture<'static, ()> + Send + Sync + 'static,
    ) -> Self {
        Self {
            memory,
            lists: Arc::default(),
            hook: Arc::new(hook),
        }
    }
}

impl Platform for HookedPlatform {
    async fn list(&self, prefix: &str) -> Result<Vec<Listing>, Error> {
        let listed = self.memory.list(prefix).await;
        let previous = self.lists.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        (self.hook)(ReadEvent::List(previous + 1)).await;
        listed
    }

    async fn read(&self, key: &str) -> Result<Option<Object>, Error> {
        let read = self.memory.read(key).await;
        (self.hook)(ReadEvent::Object(key.to_owned())).await;
        read
    }

    async fn write(&self, key: &str, content: Bytes, condition: Condition) -> Result<Etag, Error> {
        self.memory.write(key, content, condition).await
    }
}

impl Rows for HookedPlatform {
    async fn row(&self, key: &Key) -> Result<Option<Row>, Error> {
        self.memory.row(key).await
    }

    async fn rows(&self, partition: &str, limit: u32) -> Result<Vec<Row>, Error> {
        self.memory.rows(partition, limit).await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<(), Error> {
        self.memory.transact(writes).await
    }
}
