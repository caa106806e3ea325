//! The folder in the store: what is there, pull and removal.

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

const MOST_READINGS: u32 = 5;

/// What a pull did to the local folder.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Pull {
    /// Files that were written.
    pub written: Vec<Arc<str>>,
    /// Files that were removed, as they are no longer in the store.
    pub removed: Vec<Arc<str>>,
    /// Files with changes of this side, which the next push writes.
    pub kept: Vec<Arc<str>>,
}

/// What a push did to the folder in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Push {
    /// Files that were written.
    pub written: Vec<Arc<str>>,
    /// Files that were removed.
    pub removed: Vec<Arc<str>>,
    /// Files that were passed over as editors' leavings.
    pub passed_over: Vec<Arc<str>>,
    /// Other files that somebody else changed during the push, so that the whole which is now in the
    /// store is not the one that was here.
    pub meanwhile: Vec<Arc<str>>,
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
    /// The folder of an account.
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

    /// Brings what changed in the store into a local folder; changes made here are kept.
    ///
    /// # Errors
    /// [`Error::WouldOverwrite`] where a file was changed on both sides and [`Error::StoreEmptied`] where
    /// the store holds nothing any more, and then nothing is touched; else whatever the store or the local folder gives.
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
            match settled(local, &stored, &name) {
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
        apply(local, &stored, &pull)?;
        Ok(pull)
    }

    /// Removes a file from the folder in the store, if it is still the one that was just listed.
    ///
    /// # Errors
    /// [`Error::FileNotFound`], [`Error::ConcurrentChange`] or [`Error::WriteFailed`].
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
        let Some(held) = listed.into_iter().find(|file| &*file.name == name) else {
            return Err(Error::FileNotFound { name: name.into() });
        };
        self.overwrite(&held.name, Bytes::new(), Some(Etag(held.etag)), &[])
            .await
            .map(drop)
    }

    /// Everything that is in the folder, as it was at one moment.
    pub(crate) async fn read(&self) -> Result<BTreeMap<Arc<str>, Stored>, Error> {
        for _ in 0..MOST_READINGS {
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

    /// The files of the folder, without the removed ones and editors' leavings.
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

/// A store that lost everything is not an operator's removal of every file.
pub(crate) fn check_not_emptied(local: &LocalFolder, is_empty: bool) -> Result<(), Error> {
    if !is_empty || local.pulled.files.is_empty() {
        return Ok(());
    }
    Err(Error::StoreEmptied {
        path: local.path().to_owned(),
    })
}

fn settled(local: &LocalFolder, stored: &BTreeMap<Arc<str>, Stored>, name: &str) -> FileComparison {
    let read = local.pulled.files.get(name).map(|read| &read.digest);
    let theirs = stored.get(name).map(|stored| &stored.read.digest);
    let mine = local.files.get(name).map(|content| content_digest(content));
    compare_file(read, theirs, mine.as_ref())
}

fn apply(
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
    local.save_pulled()
}
