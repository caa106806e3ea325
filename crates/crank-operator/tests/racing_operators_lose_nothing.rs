//! Two operators edit the same folder in the store.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use bytes::Bytes;
use crank_engine::publish::PUSH_MARKER;
use crank_operator::{Error, LocalFolder, Pull, Push, Store};
use crank_platform_client::{
    Condition, Error as StoreError, Etag, Key, Listing, Memory, Object, Platform, Row, RowWrite,
    Rows, folder,
};
use crank_protocol::Name;
use tempfile::TempDir;

struct Operator {
    dir: TempDir,
    store: Store<Memory>,
}

fn account() -> Name {
    Name::new("sutkent").unwrap()
}

impl Operator {
    fn new(platform: &Memory) -> Self {
        Self {
            dir: TempDir::new().unwrap(),
            store: Store::new(platform.clone(), account()),
        }
    }

    fn put(&self, name: &str, content: &str) {
        std::fs::write(self.dir.path().join(name), content).unwrap();
    }

    fn delete(&self, name: &str) {
        std::fs::remove_file(self.dir.path().join(name)).unwrap();
    }

    fn local(&self) -> LocalFolder {
        LocalFolder::open(self.dir.path(), "memory", &account()).unwrap()
    }

    async fn push(&self) -> Result<Push, Error> {
        self.store.push(&mut self.local()).await
    }

    async fn pull(&self) -> Result<Pull, Error> {
        self.store.pull(&mut self.local()).await
    }
}

async fn stored(platform: &Memory, name: &str) -> Option<String> {
    let object = folder::read(platform, &account(), name).await.unwrap()?;
    Some(String::from_utf8(object.content.to_vec()).unwrap())
}

fn read(dir: &Path, name: &str) -> Option<String> {
    std::fs::read_to_string(dir.join(name)).ok()
}

#[tokio::test]
async fn the_second_of_two_is_told_and_the_firsts_work_stands() {
    let platform = Memory::new();
    let (anna, berik) = (Operator::new(&platform), Operator::new(&platform));
    anna.put("a.ini", "; 1");
    anna.push().await.unwrap();
    berik.pull().await.unwrap();
    anna.put("a.ini", "; anna");
    berik.put("a.ini", "; berik");
    berik.put("b.ini", "; berik");
    anna.push().await.unwrap();

    let refused = berik.push().await.unwrap_err();
    assert!(matches!(&refused, Error::ChangedInStore { names } if **names == ["a.ini".into()]));
    assert_eq!(stored(&platform, "a.ini").await.unwrap(), "; anna");
    assert_eq!(stored(&platform, "b.ini").await, None);

    // The pull keeps his local changes as well.
    let refused = berik.pull().await.unwrap_err();
    assert!(matches!(refused, Error::WouldOverwrite { .. }));
    assert_eq!(read(berik.dir.path(), "a.ini").unwrap(), "; berik");
}

/// A platform on which another operator writes a file just before each write of the test.
#[derive(Clone)]
struct Interrupted(Memory, &'static str);

impl Platform for Interrupted {
    async fn list(&self, prefix: &str) -> Result<Vec<Listing>, StoreError> {
        self.0.list(prefix).await
    }

    async fn read(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.0.read(key).await
    }

    async fn write(&self, key: &str, content: Bytes, when: Condition) -> Result<Etag, StoreError> {
        folder::write(
            &self.0,
            &account(),
            self.1,
            "; berik".into(),
            Condition::Always,
        )
        .await?;
        self.0.write(key, content, when).await
    }
}

impl Rows for Interrupted {
    async fn row(&self, key: &Key) -> Result<Option<Row>, StoreError> {
        self.0.row(key).await
    }

    async fn rows(&self, partition: &str, limit: u32) -> Result<Vec<Row>, StoreError> {
        self.0.rows(partition, limit).await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<(), StoreError> {
        self.0.transact(writes).await
    }
}

#[tokio::test]
async fn a_write_between_the_check_and_the_push_is_not_overwritten() {
    for before in [None, Some("; 1"), Some("")] {
        let platform = Memory::new();
        let anna = Operator::new(&platform);
        if let Some(content) = before {
            let content = content.into();
            folder::write(&platform, &account(), "b.ini", content, Condition::Absent)
                .await
                .unwrap();
        }
        anna.pull().await.unwrap();
        anna.put("b.ini", "; anna");
        let store = Store::new(Interrupted(platform.clone(), "b.ini"), account());
        let overtaken = store.push(&mut anna.local()).await.unwrap_err();
        assert!(
            matches!(overtaken, Error::ConcurrentChange { .. }),
            "{before:?}"
        );
        assert_eq!(stored(&platform, "b.ini").await.unwrap(), "; berik");
    }
}

#[tokio::test]
async fn of_two_who_write_different_files_at_once_the_later_is_told() {
    let platform = Memory::new();
    let anna = Operator::new(&platform);
    anna.put("a.ini", "; anna");
    let store = Store::new(Interrupted(platform.clone(), "b.ini"), account());
    let push = store.push(&mut anna.local()).await.unwrap();
    assert_eq!(
        (push.written, push.changed_by_others),
        (vec!["a.ini".into()], vec!["b.ini".into()])
    );
    // A further push is refused until she has pulled that change.
    anna.put("a.ini", "; again");
    assert!(matches!(
        anna.push().await,
        Err(Error::ChangedInStore { .. })
    ));
    anna.pull().await.unwrap();
    assert!(anna.push().await.unwrap().changed_by_others.is_empty());
}

#[tokio::test]
async fn a_push_of_several_files_is_marked_until_it_is_whole() {
    let platform = Memory::new();
    let is_marked = async || {
        stored(&platform, PUSH_MARKER)
            .await
            .is_some_and(|mark| !mark.is_empty())
    };
    let anna = Operator::new(&platform);
    anna.put("a.ini", "; anna");
    anna.put("b.ini", "; anna");
    let store = Store::new(Interrupted(platform.clone(), "b.ini"), account());
    let overtaken = store.push(&mut anna.local()).await.unwrap_err();
    assert!(
        matches!(overtaken, Error::ConcurrentChange { written, .. } if written == ["a.ini".into()])
    );
    assert!(is_marked().await);

    let berik = Operator::new(&platform);
    berik.pull().await.unwrap();
    berik.put("c.ini", "; berik");
    berik.put("d.ini", "; berik");
    berik.push().await.unwrap();
    assert!(!is_marked().await);
}

#[tokio::test]
async fn changes_of_different_files_meet_by_pull_and_push() {
    let platform = Memory::new();
    let (anna, berik) = (Operator::new(&platform), Operator::new(&platform));
    anna.put("a.ini", "; 1");
    anna.put("c.ini", "; 1");
    anna.put("a.ini~", "leaving");
    assert_eq!(anna.push().await.unwrap().ignored_files.len(), 1);
    berik.pull().await.unwrap();
    anna.delete("c.ini");
    assert_eq!(anna.push().await.unwrap().removed, ["c.ini".into()]);
    berik.put("b.ini", "; berik");
    assert!(berik.push().await.is_err());
    let pull = berik.pull().await.unwrap();
    assert_eq!(
        (pull.removed, pull.kept),
        (vec!["c.ini".into()], vec!["b.ini".into()])
    );
    assert_eq!(read(berik.dir.path(), "c.ini"), None);
    berik.push().await.unwrap();
    // A name that was removed can be used again.
    berik.put("c.ini", "; 2");
    berik.push().await.unwrap();
    assert_eq!(stored(&platform, "c.ini").await.unwrap(), "; 2");
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let platform = Memory::new();
    let anna = Operator::new(&platform);
    anna.put("a.ini", "; 1");
    platform.lose_answers(1);
    assert_eq!(anna.push().await.unwrap().written.len(), 1);
    anna.put("a.ini", "; 2");
    platform.lose_writes(1);
    assert!(matches!(anna.push().await, Err(Error::WriteFailed { .. })));
    anna.push().await.unwrap();
    assert_eq!(stored(&platform, "a.ini").await.unwrap(), "; 2");
    anna.store.remove("a.ini").await.unwrap();
    assert!(matches!(
        anna.store.remove("a.ini").await,
        Err(Error::FileNotFound { .. })
    ));
}

#[tokio::test]
async fn a_name_from_the_store_cannot_leave_the_local_folder() {
    let platform = Memory::new();
    let content = || "; x".into();
    let name = "x/../../outside";
    folder::write(&platform, &account(), name, content(), Condition::Absent)
        .await
        .unwrap();
    let anna = Operator::new(&platform);
    assert!(matches!(anna.pull().await, Err(Error::InvalidName { .. })));
    anna.store.remove(name).await.unwrap();
    anna.pull().await.unwrap();
}

#[tokio::test]
async fn an_emptied_store_or_another_store_takes_no_local_file() {
    let platform = Memory::new();
    let anna = Operator::new(&platform);
    anna.put("a.ini", "; 1");
    anna.push().await.unwrap();
    let emptied = Store::new(Memory::new(), account());
    assert!(matches!(
        emptied.pull(&mut anna.local()).await,
        Err(Error::StoreEmptied { .. })
    ));
    assert!(matches!(
        emptied.push(&mut anna.local()).await,
        Err(Error::StoreEmptied { .. })
    ));
    let mut elsewhere = LocalFolder::open(anna.dir.path(), "elsewhere", &account()).unwrap();
    assert_eq!(
        emptied.pull(&mut elsewhere).await.unwrap().kept,
        ["a.ini".into()]
    );
    assert_eq!(
        emptied.push(&mut elsewhere).await.unwrap().written,
        ["a.ini".into()]
    );
    assert_eq!(read(anna.dir.path(), "a.ini").unwrap(), "; 1");
}
