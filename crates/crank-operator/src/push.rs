//! Pushing a local folder, each write conditional on what was read.

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
    /// Writes what differs to the folder in the store, if all of it is still as it was read.
    ///
    /// A file that somebody else has brought to the very content that is here counts as read, so
    /// that a push whose answer was lost can be repeated.
    ///
    /// # Errors
    /// [`Error::ChangedInStore`] or [`Error::StoreEmptied`] with nothing written; [`Error::ConcurrentChange`],
    /// [`Error::WriteFailed`] or [`Error::Unverified`] with what was written; else whatever the store or the
    /// local folder gives.
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
        let edits = edits(local);
        let marks = self.marks().await?;
        let mut push = Push {
            passed_over: local.passed_over.clone(),
            ..Push::default()
        };
        let mark = match edits.len() {
            0 | 1 => None,
            _ => Some(self.put_mark().await?),
        };
        let pushed = self.carry_out(local, edits, &marks, &mut push).await;
        // A push that stopped half way leaves its mark: there is time to push again.
        if let (Some(mark), Ok(())) = (mark, &pushed) {
            self.clear_mark(mark).await;
        }
        // Saved also after a failure: what was written is known, and the next push goes on from it.
        local.save_pulled()?;
        pushed?;
        // Of two who write different files at once, whoever lists last sees the other's.
        match self.etags().await {
            Ok(stored) => push.meanwhile = changed(local, &stored),
            Err(source) => return Err(unseen(&push, source)),
        }
        Ok(push)
    }

    /// Marks the folder, so that nobody takes half of this push for a whole.
    async fn put_mark(&self) -> Result<Etag, Error> {
        let (platform, account) = (&self.platform, &self.account);
        // Unlike any other mark, so that one that was left behind is not taken for this one.
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

    async fn clear_mark(&self, mark: Etag) {
        let (platform, account) = (&self.platform, &self.account);
        if let Err(error) = folder::remove(platform, account, PUSH_MARKER, mark).await {
            // It is believed for a while only, and another operator's is theirs to clear.
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
        for name in changed(local, &stored) {
            if !self.adopt(local, &name).await? {
                names.push(name);
            }
        }
        if names.is_empty() {
            return Ok(());
        }
        Err(Error::ChangedInStore { names })
    }

    /// Takes what the store holds as read, if it is the very content that is here.
    async fn adopt(&self, local: &mut LocalFolder, name: &Arc<str>) -> Result<bool, Error> {
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

    /// The marks of every object, the empty ones of removed files included.
    async fn marks(&self) -> Result<BTreeMap<Arc<str>, Etag>, Error> {
        let listed = folder::list_all(&self.platform, &self.account).await?;
        let removed = listed.into_iter().filter(|file| file.size == 0);
        Ok(removed.map(|file| (file.name, Etag(file.etag))).collect())
    }

    async fn carry_out(
        &self,
        local: &mut LocalFolder,
        edits: Vec<(Arc<str>, Edit)>,
        removed: &BTreeMap<Arc<str>, Etag>,
        push: &mut Push,
    ) -> Result<(), Error> {
        let mut done = Vec::new();
        for (name, edit) in edits {
            let read = local.pulled.files.get(&name);
            let mark = match read {
                Some(read) => Some(Etag(Arc::clone(&read.etag))),
                None => removed.get(&name).cloned(),
            };
            let (content, names) = match edit {
                Edit::Write(content) => (content, &mut push.written),
                Edit::Remove => (Bytes::new(), &mut push.removed),
            };
            let etag = self.overwrite(&name, content.clone(), mark, &done).await?;
            note(local, &name, &content, etag);
            names.push(Arc::clone(&name));
            done.push(name);
        }
        Ok(())
    }

    /// Writes one file over what was read, and settles a lost answer by reading back.
    pub(crate) async fn overwrite(
        &self,
        name: &Arc<str>,
        content: Bytes,
        over: Option<Etag>,
        written: &[Arc<str>],
    ) -> Result<Etag, Error> {
        let condition = over.map_or(Condition::Absent, Condition::Unchanged);
        let (platform, account) = (&self.platform, &self.account);
        let outcome = folder::write(platform, account, name, content.clone(), condition).await;
        let source = match outcome {
            Ok(etag) => return Ok(etag),
            Err(source) => source,
        };
        // A write whose answer was lost may have met its own effect when the library sent it.
        let settled = folder::read(platform, account, name).await;
        match settled {
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

/// The names of files that are not in the store as they were read.
fn changed(local: &LocalFolder, stored: &BTreeMap<Arc<str>, Arc<str>>) -> Vec<Arc<str>> {
    let read = &local.pulled.files;
    let names: BTreeSet<&Arc<str>> = read.keys().chain(stored.keys()).collect();
    let is_changed = |name: &&Arc<str>| read.get(*name).map(|read| &read.etag) != stored.get(*name);
    names.into_iter().filter(is_changed).cloned().collect()
}

fn unseen(push: &Push, source: Error) -> Error {
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

fn edits(local: &LocalFolder) -> Vec<(Arc<str>, Edit)> {
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

fn note(local: &mut LocalFolder, name: &Arc<str>, content: &Bytes, etag: Etag) {
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
