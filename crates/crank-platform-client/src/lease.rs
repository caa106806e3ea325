//! The row of the publisher's lease.

use crank_engine::publish::{Lease, LeaseWrite};
use crank_protocol::Name;

use crate::table::{self, Guard};
use crate::{Error, Key, Platform};

const LEASE: &str = "lease";

/// Reads the lease, if there ever was one.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{lease, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert_eq!(lease::read(&Memory::new(), &account).await, Ok(None));
/// # });
/// ```
pub async fn read(platform: &impl Platform, account: &Name) -> Result<Option<Lease>, Error> {
    let row = platform.row(&key(account)).await?;
    row.map(|row| table::content(&row)).transpose()
}

/// Takes or renews the lease.
///
/// # Errors
/// [`Error::ConditionFailed`] where another node wrote it, [`Error::Unavailable`] or
/// [`Error::AnswerLost`].
///
/// ```
/// # use crank_engine::publish::{Lease, LeaseWrite};
/// # use crank_platform_client::{lease, Memory};
/// # use crank_protocol::Name;
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = Name::new("sutkent").unwrap();
/// let platform = Memory::new();
/// let to = Lease { holder: Name::new("n1").unwrap(), beat: 1, released: false };
/// let write = LeaseWrite { from: None, to };
/// assert_eq!(lease::write(&platform, &account, &write).await, Ok(()));
/// assert!(lease::write(&platform, &account, &write).await.is_err());
/// # });
/// ```
pub async fn write(
    platform: &impl Platform,
    account: &Name,
    write: &LeaseWrite,
) -> Result<(), Error> {
    let from = write.from.as_ref().map(mark);
    let guard = from.as_deref().map_or(Guard::Absent, Guard::Mark);
    let row = table::put(key(account), &mark(&write.to), &write.to, &guard)?;
    platform.transact(vec![row]).await
}

fn key(account: &Name) -> Key {
    table::key(account, LEASE, LEASE)
}

fn mark(lease: &Lease) -> String {
    format!("{}-{}", lease.holder, lease.beat)
}
