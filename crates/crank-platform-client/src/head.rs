//! The head row and the history of accepted versions.

use crank_engine::publish::{Head, HeadUpdate};
use crank_protocol::Name;
use crank_protocol::config::{Snapshot, Stamp};
use crank_protocol::status::{HistoryEntry, Verdict};

use crate::table::{self, Guard};
use crate::{Error, Key, Platform, configs, verdict};

const HEAD: &str = "head";
const HISTORY: &str = "history";

/// Reads which version is accepted.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{head, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert_eq!(head::read(&Memory::new(), &account).await, Ok(None));
/// # });
/// ```
pub async fn read(platform: &impl Platform, account: &Name) -> Result<Option<Head>, Error> {
    let row = platform.row(&head_key(account)).await?;
    row.map(|row| table::content(&row)).transpose()
}

/// Reads the accepted version whole: what a starting node learns from the store.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{head, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert_eq!(head::snapshot(&Memory::new(), &account).await, Ok(None));
/// # });
/// ```
pub async fn snapshot(platform: &impl Platform, account: &Name) -> Result<Option<Snapshot>, Error> {
    match read(platform, account).await? {
        Some(head) => configs::read(platform, account, &head.stamp)
            .await
            .map(Some),
        None => Ok(None),
    }
}

/// Moves the head row, adds the version to the history and notes the verdict, all or nothing.
///
/// # Errors
/// [`Error::ConditionFailed`] where the head is not what the move starts from,
/// [`Error::Unavailable`], or [`Error::AnswerLost`]: then read the head and look for the nonce.
///
/// ```
/// # use crank_engine::{Nonce, publish};
/// # use crank_platform_client::{head, Memory};
/// # use crank_protocol::{Name, config::Digest, status::HistoryEntry};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = Name::new("sutkent").unwrap();
/// # let digest = Digest::new(&"00".repeat(32)).unwrap();
/// let platform = Memory::new();
/// let step = publish::head_update(None, &digest, Nonce(1)).unwrap();
/// let entry = HistoryEntry {
///     stamp: step.to.stamp.clone(),
///     at: time::OffsetDateTime::UNIX_EPOCH,
///     publisher: Name::new("n1").unwrap(),
/// };
/// head::advance(&platform, &account, &step, &entry).await.unwrap();
/// assert_eq!(head::read(&platform, &account).await, Ok(Some(step.to)));
/// # });
/// ```
pub async fn advance(
    platform: &impl Platform,
    account: &Name,
    advance: &HeadUpdate,
    entry: &HistoryEntry,
) -> Result<(), Error> {
    let from = advance.from.as_ref().map(mark);
    let guard = from.as_deref().map_or(Guard::Absent, Guard::Mark);
    let to = &advance.to;
    let head = table::put(head_key(account), &mark(&to.stamp), to, &guard)?;
    let history_key = history_key(account, &to.stamp);
    let history = table::put(history_key, &mark(&to.stamp), entry, &Guard::Absent)?;
    let accepted = Verdict::Accepted {
        stamp: entry.stamp.clone(),
        at: entry.at,
    };
    let verdict = verdict::accepted(account, &accepted, to.nonce)?;
    platform.transact(vec![head, history, verdict]).await
}

/// Reads the last accepted versions, newest first.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{head, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert_eq!(head::history(&Memory::new(), &account, 10).await, Ok(Vec::new()));
/// # });
/// ```
pub async fn history(
    platform: &impl Platform,
    account: &Name,
    limit: u32,
) -> Result<Vec<HistoryEntry>, Error> {
    let partition = table::partition(account, HISTORY);
    let rows = platform.rows(&partition, limit).await?;
    rows.iter().map(table::content).collect()
}

fn head_key(account: &Name) -> Key {
    table::key(account, HEAD, HEAD)
}

fn history_key(account: &Name, stamp: &Stamp) -> Key {
    table::key(account, HISTORY, &format!("{:020}", stamp.version.0))
}

fn mark(stamp: &Stamp) -> String {
    format!("{}-{}", stamp.version, stamp.digest)
}
