//! A folder on the operator's own machine.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crank_engine::folder::{File, PullRecord, is_ignored_file};
use crank_protocol::Name;

use crate::Error;

// A dot file, so that the merge passes it over.
const PULLED: &str = ".crank-pulled.json";

/// The files of a local folder, and what was read from the store the last time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalFolder {
    path: PathBuf,
    /// The contents by name, without editors' leavings and empty files.
    pub files: BTreeMap<Arc<str>, Vec<u8>>,
    /// The names of files that are passed over as editors' leavings.
    pub passed_over: Vec<Arc<str>>,
    /// What was read from the store the last time.
    pub pulled: PullRecord,
}

/// Reads every file of a local folder, as the merge takes them.
///
/// # Errors
/// [`Error::File`] or [`Error::Subfolder`].
///
/// ```
/// let folder = tempfile::tempdir()?;
/// std::fs::write(folder.path().join("10-account.ini"), "[account]\nname = sutkent\n")?;
/// assert_eq!(crank_operator::read_local_folder(folder.path())?.len(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn read_local_folder(path: &Path) -> Result<Vec<File>, Error> {
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(at(path))? {
        let entry = entry.map_err(at(path))?;
        let name: Arc<str> = entry.file_name().to_string_lossy().into();
        let inner = entry.path();
        let is_dir = fs::metadata(&inner).map_err(at(&inner))?.is_dir();
        if is_dir && !is_ignored_file(&name) {
            return Err(Error::Subfolder { path: inner });
        }
        if is_dir || &*name == PULLED {
            continue;
        }
        let content = fs::read(&inner).map_err(at(&inner))?;
        files.push(File { name, content });
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}

impl LocalFolder {
    /// Opens a local folder of a client account in a store; one that is not there is made.
    ///
    /// What was read from another store, named by its address and bucket, counts as not read.
    ///
    /// # Errors
    /// [`Error::File`], [`Error::Subfolder`], [`Error::InvalidPullRecord`] or [`Error::OtherAccount`].
    ///
    /// ```
    /// use crank_operator::LocalFolder;
    /// let account = crank_protocol::Name::new("sutkent")?;
    /// let parent = tempfile::tempdir()?;
    /// let local = LocalFolder::open(&parent.path().join("folder"), "memory", &account)?;
    /// assert!(local.files.is_empty());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn open(path: &Path, store: &str, account: &Name) -> Result<Self, Error> {
        fs::create_dir_all(path).map_err(at(path))?;
        let read = read_pulled(&path.join(PULLED))?;
        let pulled = read
            .filter(|read| &*read.store == store)
            .unwrap_or_else(|| PullRecord {
                store: store.into(),
                account: account.clone(),
                files: BTreeMap::new(),
            });
        if pulled.account != *account {
            return Err(Error::OtherAccount {
                path: path.to_owned(),
                pulled: pulled.account,
                account: account.clone(),
            });
        }
        let mut local = Self {
            path: path.to_owned(),
            files: BTreeMap::new(),
            passed_over: Vec::new(),
            pulled,
        };
        for file in read_local_folder(path)? {
            if is_ignored_file(&file.name) {
                local.passed_over.push(file.name);
            } else if !file.content.is_empty() {
                local.files.insert(file.name, file.content);
            }
        }
        Ok(local)
    }

    /// The folder's path.
    ///
    /// ```
    /// # use crank_operator::LocalFolder;
    /// # let account = crank_protocol::Name::new("sutkent")?;
    /// # let folder = tempfile::tempdir()?;
    /// assert_eq!(LocalFolder::open(folder.path(), "memory", &account)?.path(), folder.path());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn write(&self, name: &str, content: &[u8]) -> Result<(), Error> {
        // A rename, so that nobody ever reads half a file.
        let half = self.path.join(format!(".{name}.half"));
        fs::write(&half, content).map_err(at(&half))?;
        let whole = self.path.join(name);
        fs::rename(&half, &whole).map_err(at(&whole))
    }

    pub(crate) fn remove(&self, name: &str) -> Result<(), Error> {
        let path = self.path.join(name);
        fs::remove_file(&path).map_err(at(&path))
    }

    pub(crate) fn save_pulled(&self) -> Result<(), Error> {
        let text =
            serde_json::to_vec_pretty(&self.pulled).map_err(|error| Error::InvalidPullRecord {
                path: self.path.join(PULLED),
                detail: error.to_string().into(),
            })?;
        self.write(PULLED, &text)
    }
}

fn read_pulled(path: &Path) -> Result<Option<PullRecord>, Error> {
    let text = match fs::read(path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            return Ok(None);
        }
        Err(error) => return Err(at(path)(error)),
    };
    serde_json::from_slice(&text)
        .map(Some)
        .map_err(|error| Error::InvalidPullRecord {
            path: path.to_owned(),
            detail: error.to_string().into(),
        })
}

fn at(path: &Path) -> impl FnOnce(std::io::Error) -> Error + use<> {
    let path = path.to_owned();
    move |source| Error::File { path, source }
}
