//! The in-memory fake of the platform, with faults that a test switches on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;

use crate::{
    Condition, Error, Etag, Key, Listing, Object, Platform, Row, RowCondition, RowWrite, Rows,
    Value,
};

/// How many requests the fake has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Listings and readings, of objects and rows.
    pub reads: u64,
    /// Writes of objects and transactions, whether they took effect or not.
    pub writes: u64,
}

/// A platform that lives in this process; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    store: Arc<Mutex<Store>>,
}

#[derive(Debug, Default)]
struct Store {
    objects: BTreeMap<Arc<str>, Object>,
    rows: BTreeMap<Key, BTreeMap<Arc<str>, Value>>,
    etags: u64,
    down: bool,
    delay: Duration,
    answers_to_lose: u32,
    writes_to_lose: u32,
    counts: Counts,
}

impl Memory {
    /// An empty platform without faults.
    ///
    /// ```
    /// let platform = crank_platform_client::Memory::new();
    /// assert_eq!(platform.counts().reads, 0);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes it refuse everything, or serve again.
    ///
    /// ```
    /// crank_platform_client::Memory::new().set_down(true);
    /// ```
    pub fn set_down(&self, down: bool) {
        self.store.lock().down = down;
    }

    /// Makes every request take this long.
    ///
    /// ```
    /// # use std::time::Duration;
    /// crank_platform_client::Memory::new().set_delay(Duration::from_millis(8));
    /// ```
    pub fn set_delay(&self, delay: Duration) {
        self.store.lock().delay = delay;
    }

    /// Loses the answers of the next writes that take effect.
    ///
    /// ```
    /// crank_platform_client::Memory::new().lose_answers(1);
    /// ```
    pub fn lose_answers(&self, writes: u32) {
        self.store.lock().answers_to_lose = writes;
    }

    /// Loses the next writes before they take effect, so that only their answers seem lost.
    ///
    /// ```
    /// crank_platform_client::Memory::new().lose_writes(1);
    /// ```
    pub fn lose_writes(&self, writes: u32) {
        self.store.lock().writes_to_lose = writes;
    }

    /// How many requests it has taken.
    ///
    /// ```
    /// assert_eq!(crank_platform_client::Memory::new().counts().writes, 0);
    /// ```
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.store.lock().counts
    }

    async fn read_with<T>(&self, read: impl FnOnce(&Store) -> T) -> Result<T, Error> {
        self.wait().await;
        let mut store = self.store.lock();
        store.counts.reads += 1;
        store.check_up()?;
        Ok(read(&store))
    }

    async fn write_with<T>(
        &self,
        write: impl FnOnce(&mut Store) -> Result<T, Error>,
    ) -> Result<T, Error> {
        self.wait().await;
        let mut store = self.store.lock();
        store.counts.writes += 1;
        store.check_up()?;
        if store.writes_to_lose > 0 {
            store.writes_to_lose -= 1;
            return Err(lost());
        }
        let written = write(&mut store)?;
        if store.answers_to_lose > 0 {
            store.answers_to_lose -= 1;
            return Err(lost());
        }
        Ok(written)
    }

    async fn wait(&self) {
        let delay = self.store.lock().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

impl Store {
    fn check_up(&self) -> Result<(), Error> {
        if self.down {
            return Err(Error::Unavailable {
                detail: "the fake is switched off".into(),
            });
        }
        Ok(())
    }

    fn write(&mut self, key: &str, content: Bytes, condition: &Condition) -> Result<Etag, Error> {
        let found = self.objects.get(key).map(|object| &object.etag);
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => found.is_none(),
            Condition::Unchanged(etag) => found == Some(etag),
        };
        if !holds {
            return Err(Error::ConditionFailed);
        }
        self.etags += 1;
        let etag = Etag(Arc::from(format!("\"{}\"", self.etags)));
        let object = Object {
            etag: etag.clone(),
            content,
        };
        self.objects.insert(Arc::from(key), object);
        Ok(etag)
    }

    fn transact(&mut self, writes: Vec<RowWrite>) -> Result<(), Error> {
        if !writes.iter().all(|write| self.holds(write)) {
            return Err(Error::ConditionFailed);
        }
        for write in writes {
            self.rows.insert(write.row.key, write.row.attributes);
        }
        Ok(())
    }

    fn holds(&self, write: &RowWrite) -> bool {
        let found = self.rows.get(&write.row.key);
        match &write.condition {
            RowCondition::Always => true,
            RowCondition::Absent => found.is_none(),
            RowCondition::Equal(wanted) => found.is_some_and(|found| {
                let mut wanted = wanted.iter();
                wanted.all(|(name, value)| found.get(name) == Some(value))
            }),
        }
    }
}

fn lost() -> Error {
    Error::AnswerLost {
        detail: "the fake lost it".into(),
    }
}

impl Platform for Memory {
    async fn list(&self, prefix: &str) -> Result<Vec<Listing>, Error> {
        self.read_with(|store| {
            let objects = store.objects.iter();
            let listed = objects.filter(|(key, _)| key.starts_with(prefix));
            listed
                .map(|(key, object)| Listing {
                    key: key.clone(),
                    etag: object.etag.clone(),
                    size: object.content.len() as u64,
                })
                .collect()
        })
        .await
    }

    async fn read(&self, key: &str) -> Result<Option<Object>, Error> {
        self.read_with(|store| store.objects.get(key).cloned())
            .await
    }

    async fn write(&self, key: &str, content: Bytes, condition: Condition) -> Result<Etag, Error> {
        self.write_with(|store| store.write(key, content, &condition))
            .await
    }
}

impl Rows for Memory {
    async fn row(&self, key: &Key) -> Result<Option<Row>, Error> {
        self.read_with(|store| {
            let attributes = store.rows.get(key)?.clone();
            let key = key.clone();
            Some(Row { key, attributes })
        })
        .await
    }

    async fn rows(&self, partition: &str, limit: u32) -> Result<Vec<Row>, Error> {
        self.read_with(|store| {
            let rows = store.rows.iter().rev();
            let rows = rows.filter(|(key, _)| &*key.partition == partition);
            rows.take(limit as usize)
                .map(|(key, attributes)| Row {
                    key: key.clone(),
                    attributes: attributes.clone(),
                })
                .collect()
        })
        .await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<(), Error> {
        self.write_with(|store| store.transact(writes)).await
    }
}
