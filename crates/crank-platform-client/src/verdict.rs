//! What became of the folder's last reading.

use crank_engine::Nonce;
use crank_protocol::Name;
use crank_protocol::status::Verdict;
use serde::{Deserialize, Serialize};

use crate::table::{self, Guard};
use crate::{Error, Key, Platform, RowWrite};

const VERDICT: &str = "verdict";
const MAX_FAULTS: usize = 200;

/// The verdict row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictRecord {
    /// What became of the folder.
    pub verdict: Verdict,
    /// Drawn by the publisher that noted it.
    pub nonce: Nonce,
}

/// Reads the verdict, if one was noted.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{verdict, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert_eq!(verdict::read(&Memory::new(), &account).await, Ok(None));
/// # });
/// ```
pub async fn read(
    platform: &impl Platform,
    account: &Name,
) -> Result<Option<VerdictRecord>, Error> {
    let row = platform.row(&key(account)).await?;
    row.map(|row| table::content(&row)).transpose()
}

/// Notes a verdict over the one that was read, so that a publisher that was paused does not write
/// over a newer one. Of a refused folder's faults the first 200 are kept.
///
/// # Errors
/// [`Error::ConditionFailed`] where another was noted, [`Error::Unavailable`] or
/// [`Error::AnswerLost`].
///
/// ```
/// # use crank_engine::Nonce;
/// # use crank_platform_client::{verdict, Memory};
/// # use crank_protocol::{Name, status::Verdict};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = Name::new("sutkent").unwrap();
/// let platform = Memory::new();
/// let at = time::OffsetDateTime::UNIX_EPOCH;
/// let noted = verdict::VerdictRecord { verdict: Verdict::Refused { faults: vec![], at }, nonce: Nonce(1) };
/// verdict::write(&platform, &account, None, &noted).await.unwrap();
/// assert_eq!(verdict::read(&platform, &account).await, Ok(Some(noted)));
/// # });
/// ```
pub async fn write(
    platform: &impl Platform,
    account: &Name,
    seen: Option<&VerdictRecord>,
    noted: &VerdictRecord,
) -> Result<(), Error> {
    let from = seen.map(|seen| mark(seen.nonce));
    let guard = from.as_deref().map_or(Guard::Absent, Guard::Mark);
    let kept = VerdictRecord {
        verdict: bounded(noted.verdict.clone()),
        nonce: noted.nonce,
    };
    let row = table::put(key(account), &mark(kept.nonce), &kept, &guard)?;
    platform.transact(vec![row]).await
}

pub(crate) fn accepted(account: &Name, verdict: &Verdict, nonce: Nonce) -> Result<RowWrite, Error> {
    let noted = VerdictRecord {
        verdict: verdict.clone(),
        nonce,
    };
    table::put(key(account), &mark(nonce), &noted, &Guard::Always)
}

fn bounded(verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::Refused { mut faults, at } => {
            faults.truncate(MAX_FAULTS);
            Verdict::Refused { faults, at }
        }
        Verdict::Accepted { .. } => verdict,
    }
}

fn key(account: &Name) -> Key {
    table::key(account, VERDICT, VERDICT)
}

fn mark(nonce: Nonce) -> String {
    format!("{:032x}", nonce.0)
}
