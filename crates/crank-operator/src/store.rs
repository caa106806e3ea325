//! The configuration folder in the store: listing, pull and removal.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use crank_engine::folder::{
    FileComparison, PulledFile, compare_file, content_digest, is_ignored_file,
};
use crank_engine::publish::ListedFile;
use crank_platform_client::{Etag, Platform, folder};
use crank_protocol::Name;

use crate::{Error, LocalFolder};

const MAX_READ_ATTEMPTS: u32 = 5;

/// Lists what a pull changed in the local folder.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Pull {
    /// Files that were written.
    pub written: Vec<Arc<str>>,
    /// Files that were removed because they are no longer in the store.
    pub removed: Vec<Arc<str>>,
    /// Files with local changes, which the next push writes.
    pub kept: Vec<Arc<str>>,
}

/// Lists what a push changed in the folder in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Push {
    /// Files that were written.
    pub written: Vec<Arc<str>>,
    /// Files that were removed.
    pub removed: Vec<Arc<str>>,
    /// Files that were ignored as editors' temporary files.
    pub ignored_files: Vec<Arc<str>>,
    /// Files that other operators changed during the push; if there are any, the folder in the store
    /// differs from the local one.
    pub changed_by_others: Vec<Arc<str>>,
}

/// The folder of a client account in the platform's store.
#[derive(Debug, Clone)]
pub struct Store<P> {
    pub(crate) platform: P,
    pub(crate) account: Name,
}

/// A file of the folder with its content.
#[derive(Debug, Clone)]
pub(crate) struct Stored {
    pub(crate) read: PulledFile,
    pub(crate) content: Bytes,
}

impl<P: Platform> Store<P> {
    /// Creates a handle to the folder of a client account.
    ///
    /// ```
    /// use crank_operator::Store;
    /// use crank_platform_client::Memory;
    /// let store = Store::new(Memory::new(), crank_protocol::Name::new("sutkent")?);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(platform: P, account: Name) -> Self {
        Self { platform, account }
    }

    /// Copies changes from the store to a local folder, and keeps local changes.
    ///
    /// # Errors
    /// Returns [`Error::WouldOverwrite`] if a file changed on both sides and [`Error::StoreEmptied`] if
    /// the folder in the store has become empty, both with nothing written; or an error of the store
    /// or the local folder.
    ///
    /// ```
    /// # use crank_operator::{LocalFolder, Store};
    /// # use crank_platform_client::Memory;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let account = crank_protocol::Name::new("sutkent").unwrap();
    /// # let dir = tempfile::tempdir().unwrap();
    /// let store = Store::new(Memory::new(), account.clone());
    /// let mut local = LocalFolder::open(dir.path(), "memory", &account).unwrap();
    /// assert!(store.pull(&mut local).await.unwrap().written.is_empty());
    /// # });
    /// ```
    pub async fn pull(&self, local: &mut LocalFolder) -> Result<Pull, Error> {
        let stored = self.read().await?;
        check_not_emptied(local, stored.is_empty())?;
        let names: BTreeSet<Arc<str>> = stored.keys().chain(local.files.keys()).cloned().collect();
        let mut pull = Pull::default();
        let mut conflicts = Vec::new();
        for name in names {
            match compare(local, &stored, &name) {
                FileComparison::Same => {}
                FileComparison::LocalChanged => pull.kept.push(name),
                FileComparison::Conflict => conflicts.push(name),
                FileComparison::RemoteChanged if stored.contains_key(&name) => {
                    pull.written.push(name);
                }
                FileComparison::RemoteChanged => pull.removed.push(name),
            }
        }
        if !conflicts.is_empty() {
            return Err(Error::WouldOverwrite {
                path: local.path().to_owned(),
                names: conflicts,
            });
        }
        write_local(local, &stored, &pull)?;
        Ok(pull)
    }

    /// Removes a file from the folder in the store, unless it changes after it was listed.
    ///
    /// # Errors
    /// Returns [`Error::FileNotFound`], [`Error::ConcurrentChange`] or [`Error::WriteFailed`].
    ///
    /// ```
    /// # use crank_operator::{Error, Store};
    /// # use crank_platform_client::Memory;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let account = crank_protocol::Name::new("sutkent").unwrap();
    /// let store = Store::new(Memory::new(), account);
    /// assert!(matches!(store.remove("a.ini").await, Err(Error::FileNotFound { .. })));
    /// # });
    /// ```
    pub async fn remove(&self, name: &str) -> Result<(), Error> {
        let listed = folder::list(&self.platform, &self.account).await?;
        let Some(file) = listed.into_iter().find(|file| &*file.name == name) else {
            return Err(Error::FileNotFound { name: name.into() });
        };
        self.overwrite(&file.name, Bytes::new(), Some(Etag(file.etag)), &[])
            .await
            .map(drop)
    }

    /// Reads all files as a consistent snapshot: lists the folder before and after, and reads again
    /// if the listings differ.
    pub(crate) async fn read(&self) -> Result<BTreeMap<Arc<str>, Stored>, Error> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let before = self.list().await?;
            let mut stored = BTreeMap::new();
            for file in &before {
                if let Some(read) = self.read_file(&file.name).await? {
                    stored.insert(Arc::clone(&file.name), read);
                }
            }
            if self.list().await? == before {
                return Ok(stored);
            }
        }
        Err(Error::UnstableFolder)
    }

    /// Lists the files of the folder, without removed files and editors' temporary files.
    pub(crate) async fn list(&self) -> Result<Vec<ListedFile>, Error> {
        let mut files = folder::list(&self.platform, &self.account).await?;
        files.retain(|file| !is_ignored_file(&file.name));
        for file in &files {
            if Name::new(&file.name).is_err() {
                let name = Arc::clone(&file.name);
                return Err(Error::InvalidName { name });
            }
        }
        Ok(files)
    }

    pub(crate) async fn read_file(&self, name: &str) -> Result<Option<Stored>, Error> {
        let object = folder::read(&self.platform, &self.account, name).await?;
        let object = object.filter(|object| !object.content.is_empty());
        Ok(object.map(|object| Stored {
            read: PulledFile {
                etag: object.etag.0,
                digest: content_digest(&object.content),
            },
            content: object.content,
        }))
    }
}

/// Returns an error if files were read from the store and it is empty now: data loss in the store
/// must not be treated as the removal of every file.
pub(crate) fn check_not_emptied(local: &LocalFolder, is_empty: bool) -> Result<(), Error> {
    if !is_empty || local.pulled.files.is_empty() {
        return Ok(());
    }
    Err(Error::StoreEmptied {
        path: local.path().to_owned(),
    })
}

fn compare(local: &LocalFolder, stored: &BTreeMap<Arc<str>, Stored>, name: &str) -> FileComparison {
    let read = local.pulled.files.get(name).map(|read| &read.digest);
    let theirs = stored.get(name).map(|stored| &stored.read.digest);
    let mine = local.files.get(name).map(|content| content_digest(content));
    compare_file(read, theirs, mine.as_ref())
}

fn write_local(
    local: &mut LocalFolder,
    stored: &BTreeMap<Arc<str>, Stored>,
    pull: &Pull,
) -> Result<(), Error> {
    for name in &pull.written {
        if let Some(stored) = stored.get(name) {
            local.write(name, &stored.content)?;
            local
                .files
                .insert(Arc::clone(name), stored.content.to_vec());
        }
    }
    for name in &pull.removed {
        local.remove(name)?;
        local.files.remove(name);
    }
    local.pulled.files = stored
        .iter()
        .map(|(name, stored)| (Arc::clone(name), stored.read.clone()))
        .collect();
    local.save_pull_record()
}
