//! Pushes a local folder; each write is conditional on the version that was read.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use crank_engine::folder::{PulledFile, content_digest};
use crank_engine::publish::PUSH_MARKER;
use crank_platform_client::{Condition, Error as StoreError, Etag, Platform, folder};
use crank_protocol::Name;
use time::OffsetDateTime;

use crate::store::check_not_emptied;
use crate::{Error, LocalFolder, Push, Store};

enum Edit {
    Write(Bytes),
    Remove,
}

impl<P: Platform> Store<P> {
    /// Writes the local changes to the folder in the store, unless a file there changed after it was
    /// read.
    ///
    /// A changed file whose content in the store equals the local content counts as read, so that a
    /// push whose response was lost can be repeated.
    ///
    /// # Errors
    /// Returns [`Error::ChangedInStore`] or [`Error::StoreEmptied`] with nothing written; [`Error::ConcurrentChange`],
    /// [`Error::WriteFailed`] or [`Error::Unverified`] with what was written; or an error of
    /// the store or the local folder.
    ///
    /// ```
    /// # use crank_operator::{LocalFolder, Store};
    /// # use crank_platform_client::Memory;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let account = crank_protocol::Name::new("sutkent").unwrap();
    /// # let dir = tempfile::tempdir().unwrap();
    /// std::fs::write(dir.path().join("10.ini"), "[account]\nname = sutkent\n").unwrap();
    /// let store = Store::new(Memory::new(), account.clone());
    /// let mut local = LocalFolder::open(dir.path(), "memory", &account).unwrap();
    /// assert_eq!(store.push(&mut local).await.unwrap().written.len(), 1);
    /// assert!(store.push(&mut local).await.unwrap().written.is_empty());
    /// # });
    /// ```
    pub async fn push(&self, local: &mut LocalFolder) -> Result<Push, Error> {
        check_names(local)?;
        self.check_unchanged(local).await?;
        let edits = local_edits(local);
        let removed = self.removed_etags().await?;
        let mut push = Push {
            ignored_files: local.ignored_files.clone(),
            ..Push::default()
        };
        let marker = match edits.len() {
            0 | 1 => None,
            _ => Some(self.put_marker().await?),
        };
        let pushed = self.apply_edits(local, edits, &removed, &mut push).await;
        // A push that failed part way leaves its marker, which gives the operator time to push again.
        if let (Some(marker), Ok(())) = (marker, &pushed) {
            self.clear_marker(marker).await;
        }
        // Saved also after a failure, so that the next push continues from what was written.
        local.save_pull_record()?;
        pushed?;
        // If two operators write different files at once, the last to list sees the other's change.
        match self.etags().await {
            Ok(stored) => push.changed_by_others = changed_files(local, &stored),
            Err(source) => return Err(unverified(&push, source)),
        }
        Ok(push)
    }

    /// Writes the push marker, so that no node publishes a partial push.
    async fn put_marker(&self) -> Result<Etag, Error> {
        let (platform, account) = (&self.platform, &self.account);
        // Unique content, so that a marker left by another push is not mistaken for this one.
        let nanos = OffsetDateTime::now_utc().unix_timestamp_nanos();
        let content = Bytes::from(format!("{nanos} {}\n", std::process::id()));
        let written = folder::write(
            platform,
            account,
            PUSH_MARKER,
            content.clone(),
            Condition::Always,
        )
        .await;
        let source = match written {
            Ok(etag) => return Ok(etag),
            Err(source) => source,
        };
        match folder::read(platform, account, PUSH_MARKER).await {
            Ok(Some(object)) if object.content == content => Ok(object.etag),
            _ => Err(source.into()),
        }
    }

    async fn clear_marker(&self, marker: Etag) {
        let (platform, account) = (&self.platform, &self.account);
        if let Err(error) = folder::remove(platform, account, PUSH_MARKER, marker).await {
            // Nodes ignore a marker after a while, and another operator's marker must not be removed.
            log::debug!(error:% = error; "the mark of a push stays");
        }
    }

    async fn etags(&self) -> Result<BTreeMap<Arc<str>, Arc<str>>, Error> {
        let listed = self.list().await?.into_iter();
        Ok(listed.map(|file| (file.name, file.etag)).collect())
    }

    async fn check_unchanged(&self, local: &mut LocalFolder) -> Result<(), Error> {
        let stored = self.etags().await?;
        check_not_emptied(local, stored.is_empty())?;
        let mut names = Vec::new();
        for name in changed_files(local, &stored) {
            if !self.record_if_equal(local, &name).await? {
                names.push(name);
            }
        }
        if names.is_empty() {
            return Ok(());
        }
        Err(Error::ChangedInStore { names })
    }

    /// Records the stored file as read if its content equals the local content.
    async fn record_if_equal(
        &self,
        local: &mut LocalFolder,
        name: &Arc<str>,
    ) -> Result<bool, Error> {
        let stored = self.read_file(name).await?;
        let theirs = stored.as_ref().map(|stored| &stored.content[..]);
        if theirs != local.files.get(name).map(|content| &content[..]) {
            return Ok(false);
        }
        match stored {
            Some(stored) => local.pulled.files.insert(Arc::clone(name), stored.read),
            None => local.pulled.files.remove(name),
        };
        Ok(true)
    }

    /// Returns the etags of removed files, which the store keeps as empty objects.
    async fn removed_etags(&self) -> Result<BTreeMap<Arc<str>, Etag>, Error> {
        let listed = folder::list_all(&self.platform, &self.account).await?;
        let removed = listed.into_iter().filter(|file| file.size == 0);
        Ok(removed.map(|file| (file.name, Etag(file.etag))).collect())
    }

    async fn apply_edits(
        &self,
        local: &mut LocalFolder,
        edits: Vec<(Arc<str>, Edit)>,
        removed: &BTreeMap<Arc<str>, Etag>,
        push: &mut Push,
    ) -> Result<(), Error> {
        let mut done = Vec::new();
        for (name, edit) in edits {
            let read = local.pulled.files.get(&name);
            let base = match read {
                Some(read) => Some(Etag(Arc::clone(&read.etag))),
                None => removed.get(&name).cloned(),
            };
            let (content, names) = match edit {
                Edit::Write(content) => (content, &mut push.written),
                Edit::Remove => (Bytes::new(), &mut push.removed),
            };
            let etag = self.overwrite(&name, content.clone(), base, &done).await?;
            record_written(local, &name, &content, etag);
            names.push(Arc::clone(&name));
            done.push(name);
        }
        Ok(())
    }

    /// Writes one file if it still has the etag `base`, or does not exist if `base` is `None`. After
    /// an error, reads the file back to find out whether the write took effect.
    pub(crate) async fn overwrite(
        &self,
        name: &Arc<str>,
        content: Bytes,
        base: Option<Etag>,
        written: &[Arc<str>],
    ) -> Result<Etag, Error> {
        let condition = base.map_or(Condition::Absent, Condition::Unchanged);
        let (platform, account) = (&self.platform, &self.account);
        let outcome = folder::write(platform, account, name, content.clone(), condition).await;
        let source = match outcome {
            Ok(etag) => return Ok(etag),
            Err(source) => source,
        };
        // If the response of a write is lost and the library resends it, the condition fails because
        // the first attempt took effect.
        let read_back = folder::read(platform, account, name).await;
        match read_back {
            Ok(Some(object)) if object.content == content => Ok(object.etag),
            _ if source == StoreError::ConditionFailed => Err(Error::ConcurrentChange {
                name: Arc::clone(name),
                written: written.to_vec(),
            }),
            _ => Err(Error::WriteFailed {
                name: Arc::clone(name),
                written: written.to_vec(),
                source,
            }),
        }
    }
}

/// Returns the names of files whose etag in the store differs from the one that was read.
fn changed_files(local: &LocalFolder, stored: &BTreeMap<Arc<str>, Arc<str>>) -> Vec<Arc<str>> {
    let read = &local.pulled.files;
    let names: BTreeSet<&Arc<str>> = read.keys().chain(stored.keys()).collect();
    let is_changed = |name: &&Arc<str>| read.get(*name).map(|read| &read.etag) != stored.get(*name);
    names.into_iter().filter(is_changed).cloned().collect()
}

fn unverified(push: &Push, source: Error) -> Error {
    let written = push.written.iter().chain(&push.removed);
    Error::Unverified {
        written: written.cloned().collect(),
        source: Box::new(source),
    }
}

fn check_names(local: &LocalFolder) -> Result<(), Error> {
    match local.files.keys().find(|name| Name::new(name).is_err()) {
        Some(name) => Err(Error::InvalidName {
            name: Arc::clone(name),
        }),
        None => Ok(()),
    }
}

fn local_edits(local: &LocalFolder) -> Vec<(Arc<str>, Edit)> {
    let read = &local.pulled.files;
    let names: BTreeSet<&Arc<str>> = read.keys().chain(local.files.keys()).collect();
    let edit = |name: &Arc<str>| match local.files.get(name) {
        None => Some(Edit::Remove),
        Some(content) => {
            let is_read = read
                .get(name)
                .is_some_and(|read| read.digest == content_digest(content));
            (!is_read).then(|| Edit::Write(Bytes::copy_from_slice(content)))
        }
    };
    names
        .into_iter()
        .filter_map(|name| Some((Arc::clone(name), edit(name)?)))
        .collect()
}

fn record_written(local: &mut LocalFolder, name: &Arc<str>, content: &Bytes, etag: Etag) {
    if content.is_empty() {
        local.pulled.files.remove(name);
        return;
    }
    let read = PulledFile {
        etag: etag.0,
        digest: content_digest(content),
    };
    local.pulled.files.insert(Arc::clone(name), read);
}
