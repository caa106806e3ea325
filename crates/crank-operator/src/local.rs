//! A configuration folder on the operator's computer.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crank_engine::folder::{File, PullRecord, is_ignored_file};
use crank_protocol::Name;

use crate::Error;

// A dot file, so that the merge ignores it.
const PULL_RECORD_FILE: &str = ".crank-pulled.json";

/// Holds the files of a local folder and the record of what was last read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalFolder {
    path: PathBuf,
    /// The contents by file name, without editors' temporary files and empty files.
    pub files: BTreeMap<Arc<str>, Vec<u8>>,
    /// The names of files that are ignored as editors' temporary files.
    pub ignored_files: Vec<Arc<str>>,
    /// The record of what was last read from the store.
    pub pulled: PullRecord,
}

/// Reads every file of a local folder, sorted by name, as input for the merge.
///
/// # Errors
/// Returns [`Error::File`] or [`Error::Subfolder`].
///
/// ```
/// let folder = tempfile::tempdir()?;
/// std::fs::write(folder.path().join("10-account.ini"), "[account]\nname = sutkent\n")?;
/// assert_eq!(crank_operator::read_local_folder(folder.path())?.len(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn read_local_folder(path: &Path) -> Result<Vec<File>, Error> {
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(file_error(path))? {
        let entry = entry.map_err(file_error(path))?;
        let name: Arc<str> = entry.file_name().to_string_lossy().into();
        let entry_path = entry.path();
        let is_dir = fs::metadata(&entry_path)
            .map_err(file_error(&entry_path))?
            .is_dir();
        if is_dir && !is_ignored_file(&name) {
            return Err(Error::Subfolder { path: entry_path });
        }
        if is_dir || &*name == PULL_RECORD_FILE {
            continue;
        }
        let content = fs::read(&entry_path).map_err(file_error(&entry_path))?;
        files.push(File { name, content });
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}

impl LocalFolder {
    /// Opens the local folder of a client account, and creates it if it does not exist.
    ///
    /// `store` names the store by its address and bucket. A pull record of another store is ignored,
    /// as if nothing had been pulled.
    ///
    /// # Errors
    /// Returns [`Error::File`], [`Error::Subfolder`], [`Error::InvalidPullRecord`] or [`Error::OtherAccount`].
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
        fs::create_dir_all(path).map_err(file_error(path))?;
        let record = read_pull_record(&path.join(PULL_RECORD_FILE))?;
        let pulled = record
            .filter(|record| &*record.store == store)
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
            ignored_files: Vec::new(),
            pulled,
        };
        for file in read_local_folder(path)? {
            if is_ignored_file(&file.name) {
                local.ignored_files.push(file.name);
            } else if !file.content.is_empty() {
                local.files.insert(file.name, file.content);
            }
        }
        Ok(local)
    }

    /// Returns the path of the folder.
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
        // Writes a temporary file and renames it, so that no reader sees a partial file.
        let temporary = self.path.join(format!(".{name}.half"));
        fs::write(&temporary, content).map_err(file_error(&temporary))?;
        let target = self.path.join(name);
        fs::rename(&temporary, &target).map_err(file_error(&target))
    }

    pub(crate) fn remove(&self, name: &str) -> Result<(), Error> {
        let path = self.path.join(name);
        fs::remove_file(&path).map_err(file_error(&path))
    }

    pub(crate) fn save_pull_record(&self) -> Result<(), Error> {
        let text =
            serde_json::to_vec_pretty(&self.pulled).map_err(|error| Error::InvalidPullRecord {
                path: self.path.join(PULL_RECORD_FILE),
                detail: error.to_string().into(),
            })?;
        self.write(PULL_RECORD_FILE, &text)
    }
}

fn read_pull_record(path: &Path) -> Result<Option<PullRecord>, Error> {
    let text = match fs::read(path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            return Ok(None);
        }
        Err(error) => return Err(file_error(path)(error)),
    };
    serde_json::from_slice(&text)
        .map(Some)
        .map_err(|error| Error::InvalidPullRecord {
            path: path.to_owned(),
            detail: error.to_string().into(),
        })
}

fn file_error(path: &Path) -> impl FnOnce(std::io::Error) -> Error + use<> {
    let path = path.to_owned();
    move |source| Error::File { path, source }
}
