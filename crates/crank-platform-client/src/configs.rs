//! Accepted configurations: immutable objects under their digest.

use std::sync::Arc;

use bytes::Bytes;
use crank_engine::config;
use crank_protocol::Name;
use crank_protocol::config::{Config, Digest, Snapshot, Stamp};

use crate::{Condition, Error, Platform};

/// Writes a configuration under its digest; one that is there already is the same.
///
/// # Errors
/// [`Error::Unavailable`], or [`Error::ConditionFailed`] or [`Error::AnswerLost`] where it is not
/// there yet: writing it again does no harm.
///
/// ```
/// # use crank_platform_client::{configs, Memory};
/// # use crank_protocol::{Name, config::{Owner, Config, Stamp, Version}};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = Name::new("sutkent").unwrap();
/// # let head = Owner { name: account.clone(), notice_ends: None };
/// # let config = Config::new(head);
/// let platform = Memory::new();
/// let digest = configs::write(&platform, &account, &config).await.unwrap();
/// let stamp = Stamp { version: Version(1), digest };
/// assert_eq!(configs::read(&platform, &account, &stamp).await.unwrap().config, config);
/// # });
/// ```
pub async fn write(
    platform: &impl Platform,
    account: &Name,
    config: &Config,
) -> Result<Digest, Error> {
    let digest = config::digest(config);
    let key = key(account, &digest);
    let content = serde_json::to_vec(config).map_err(|error| malformed(&key, &error))?;
    let written = platform.write(&key, Bytes::from(content), Condition::Absent);
    match written.await {
        Ok(_) => Ok(digest),
        Err(error @ (Error::ConditionFailed | Error::AnswerLost { .. })) => {
            let stands = platform.read(&key).await?.is_some();
            stands.then_some(digest).ok_or(error)
        }
        Err(error) => Err(error),
    }
}

/// Reads an accepted configuration and checks its digest.
///
/// # Errors
/// [`Error::Unavailable`], or [`Error::Malformed`] where it is not there or not what the stamp says.
///
/// ```
/// # use crank_platform_client::{configs, Memory};
/// # use crank_protocol::{Name, config::{Digest, Stamp, Version}};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = Name::new("sutkent").unwrap();
/// let stamp = Stamp { version: Version(1), digest: Digest::new(&"00".repeat(32)).unwrap() };
/// assert!(configs::read(&Memory::new(), &account, &stamp).await.is_err());
/// # });
/// ```
pub async fn read(
    platform: &impl Platform,
    account: &Name,
    stamp: &Stamp,
) -> Result<Snapshot, Error> {
    let key = key(account, &stamp.digest);
    let object = platform.read(&key).await?;
    let object = object.ok_or_else(|| malformed(&key, &"it is not there"))?;
    let config: Config =
        serde_json::from_slice(&object.content).map_err(|error| malformed(&key, &error))?;
    config::verify_digest(config, stamp.clone()).map_err(|error| malformed(&key, &error))
}

fn key(account: &Name, digest: &Digest) -> String {
    format!("{account}/configs/{digest}")
}

fn malformed(key: &str, detail: &impl ToString) -> Error {
    Error::Malformed {
        what: Arc::from(format!("object {key}")),
        detail: Arc::from(detail.to_string()),
    }
}
