//! The operators' folder: the objects under one prefix.
//!
//! The object store has no conditional removal, so a file is removed by a conditional write of
//! nothing: an empty object counts as no file.

use std::sync::Arc;

use bytes::Bytes;
use crank_engine::publish::ListedFile;
use crank_protocol::Name;

use crate::{Condition, Error, Etag, Object, Platform};

/// Lists the folder's files in the byte order of their names, without the empty ones.
///
/// # Errors
/// [`Error::Unavailable`].
///
/// ```
/// # use crank_platform_client::{folder, Condition, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// let platform = Memory::new();
/// folder::write(&platform, &account, "10-all.ini", "[account]".into(), Condition::Absent)
///     .await
///     .unwrap();
/// assert_eq!(&*folder::list(&platform, &account).await.unwrap()[0].name, "10-all.ini");
/// # });
/// ```
pub async fn list(platform: &impl Platform, account: &Name) -> Result<Vec<ListedFile>, Error> {
    let mut files = list_all(platform, account).await?;
    files.retain(|file| file.size > 0);
    Ok(files)
}

/// Lists the folder's objects, the empty ones included, as the conditions of writes need them.
///
/// # Errors
/// [`Error::Unavailable`].
///
/// ```
/// # use crank_platform_client::{folder, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert_eq!(folder::list_all(&Memory::new(), &account).await, Ok(Vec::new()));
/// # });
/// ```
pub async fn list_all(platform: &impl Platform, account: &Name) -> Result<Vec<ListedFile>, Error> {
    let prefix = key(account, "");
    let listings = platform.list(&prefix).await?;
    let listed = listings.into_iter().map(|listing| ListedFile {
        name: Arc::from(listing.key.strip_prefix(&prefix).unwrap_or(&listing.key)),
        etag: listing.etag.0,
        size: listing.size,
    });
    Ok(listed.collect())
}

/// Reads a file, if there is one.
///
/// # Errors
/// [`Error::Unavailable`].
///
/// ```
/// # use crank_platform_client::{folder, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert_eq!(folder::read(&Memory::new(), &account, "10-all.ini").await, Ok(None));
/// # });
/// ```
pub async fn read(
    platform: &impl Platform,
    account: &Name,
    name: &str,
) -> Result<Option<Object>, Error> {
    platform.read(&key(account, name)).await
}

/// Writes a file.
///
/// # Errors
/// [`Error::ConditionFailed`], [`Error::Unavailable`] or [`Error::AnswerLost`].
///
/// ```
/// # use crank_platform_client::{folder, Condition, Error, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// let platform = Memory::new();
/// let write = |text: &'static str| {
///     folder::write(&platform, &account, "a.ini", text.into(), Condition::Absent)
/// };
/// assert!(write("[account]").await.is_ok());
/// assert_eq!(write("[service a]").await, Err(Error::ConditionFailed));
/// # });
/// ```
pub async fn write(
    platform: &impl Platform,
    account: &Name,
    name: &str,
    content: Bytes,
    condition: Condition,
) -> Result<Etag, Error> {
    platform
        .write(&key(account, name), content, condition)
        .await
}

/// Removes a file that still has the content that was read.
///
/// # Errors
/// [`Error::ConditionFailed`], [`Error::Unavailable`] or [`Error::AnswerLost`].
///
/// ```
/// # use crank_platform_client::{folder, Condition, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// let platform = Memory::new();
/// let etag = folder::write(&platform, &account, "a.ini", "[account]".into(), Condition::Absent)
///     .await
///     .unwrap();
/// folder::remove(&platform, &account, "a.ini", etag).await.unwrap();
/// assert_eq!(folder::list(&platform, &account).await, Ok(Vec::new()));
/// # });
/// ```
pub async fn remove(
    platform: &impl Platform,
    account: &Name,
    name: &str,
    etag: Etag,
) -> Result<Etag, Error> {
    let condition = Condition::Unchanged(etag);
    write(platform, account, name, Bytes::new(), condition).await
}

fn key(account: &Name, name: &str) -> String {
    format!("{account}/folder/{name}")
}
