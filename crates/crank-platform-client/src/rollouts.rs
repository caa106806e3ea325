//! The rows about roll-outs, two a service: when the order was read, and the decision.

mod order;

use std::sync::Arc;

use crank_protocol::config::Revision;
use crank_protocol::rollout::{Phase, RolloutOrder};
use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::table::{self, Guard};
use crate::{Error, Key, Rows};

pub use order::{Order, read_order, read_orders, write_order};

const ROLLOUTS: &str = "rollouts";
/// The start of the keys of the rows that tell when an order began.
const START_PREFIX: &str = "start/";

/// The verdict on an order, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// The revision of the order.
    pub order: Revision,
    /// The release of the order.
    pub target: Arc<str>,
    /// The verdict.
    pub phase: Phase,
    /// Whether operators were told of it.
    pub reported: bool,
}

/// A point in time on the store's own steady clock, in milliseconds. It goes on when all nodes start
/// anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreTime(pub u64);

impl StoreTime {
    /// Returns the point in time that is `age` earlier, saturating at zero.
    ///
    /// ```
    /// use crank_platform_client::rollouts::StoreTime;
    /// use crank_protocol::Millis;
    /// assert_eq!(StoreTime(9_000).before(Millis(2_000)), StoreTime(7_000));
    /// ```
    #[must_use]
    pub fn before(self, age: Millis) -> Self {
        Self(self.0.saturating_sub(age.0))
    }

    /// Returns the time since `earlier`; zero if that is later.
    ///
    /// ```
    /// use crank_platform_client::rollouts::StoreTime;
    /// use crank_protocol::Millis;
    /// assert_eq!(StoreTime(9_000).since(StoreTime(7_000)), Millis(2_000));
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

/// When the nodes learned of an order, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The order; of orders that repeat one another, the last.
    pub order: RolloutOrder,
    /// When the first node learned of it, or of the first that it repeats.
    pub at: StoreTime,
}

/// Reads when the nodes learned of the latest order for a service, if there is one.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{rollouts, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let name = |text| crank_protocol::Name::new(text).unwrap();
/// let start = rollouts::read_start(&Memory::new(), &name("sutkent"), &name("vat")).await;
/// assert_eq!(start, Ok(None));
/// # });
/// ```
pub async fn read_start(
    platform: &impl Rows,
    account: &Name,
    service: &Name,
) -> Result<Option<Start>, Error> {
    let row = platform.row(&start_key(account, service)).await?;
    row.map(|row| table::content(&row)).transpose()
}

/// Writes when the nodes learned of an order, unless the row is no longer the one that was read.
///
/// # Errors
/// [`Error::ConditionFailed`] where another node wrote it, [`Error::Unavailable`] or
/// [`Error::AnswerLost`].
///
/// ```
/// # use crank_platform_client::{rollouts::{self, Start, StoreTime}, Memory};
/// # use crank_protocol::{Millis, Name, config::Revision, rollout::RolloutOrder};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let (account, service) = (Name::new("sutkent").unwrap(), Name::new("vat").unwrap());
/// let platform = Memory::new();
/// let (target, duration, revision) = ("v2".into(), Millis(12_000), Revision(7));
/// let order = RolloutOrder { service: service.clone(), target, duration, revision };
/// let start = Start { order, at: StoreTime(5_000) };
/// assert_eq!(rollouts::write_start(&platform, &account, None, &start).await, Ok(()));
/// let late = Start { at: StoreTime(9_000), ..start.clone() };
/// assert!(rollouts::write_start(&platform, &account, None, &late).await.is_err());
/// let kept = rollouts::read_start(&platform, &account, &service).await;
/// assert_eq!(kept, Ok(Some(start)));
/// # });
/// ```
pub async fn write_start(
    platform: &impl Rows,
    account: &Name,
    from: Option<&Start>,
    to: &Start,
) -> Result<(), Error> {
    let from = from.map(start_mark);
    let guard = from.as_deref().map_or(Guard::Absent, Guard::Mark);
    let key = start_key(account, &to.order.service);
    let row = table::put(key, &start_mark(to), to, &guard)?;
    platform.transact(vec![row]).await
}

/// Reads the latest decision about a service, if there is one.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{rollouts, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let name = |text| crank_protocol::Name::new(text).unwrap();
/// assert_eq!(rollouts::read(&Memory::new(), &name("sutkent"), &name("vat")).await, Ok(None));
/// # });
/// ```
pub async fn read(
    platform: &impl Rows,
    account: &Name,
    service: &Name,
) -> Result<Option<Decision>, Error> {
    let row = platform.row(&key(account, service)).await?;
    row.map(|row| table::content(&row)).transpose()
}

/// Writes a decision, unless the row is no longer the one that was read.
///
/// # Errors
/// [`Error::ConditionFailed`] where another node wrote it, [`Error::Unavailable`] or
/// [`Error::AnswerLost`].
///
/// ```
/// # use crank_platform_client::{rollouts::{self, Decision}, Memory};
/// # use crank_protocol::{Name, config::Revision, rollout::Phase};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let (account, service) = (Name::new("sutkent").unwrap(), Name::new("vat").unwrap());
/// let platform = Memory::new();
/// let (order, target, phase) = (Revision(7), "v2".into(), Phase::Completed);
/// let decision = Decision { order, target, phase, reported: false };
/// let written = rollouts::write(&platform, &account, &service, None, &decision);
/// assert_eq!(written.await, Ok(()));
/// let late = Decision { phase: Phase::RolledBack, ..decision };
/// assert!(rollouts::write(&platform, &account, &service, None, &late).await.is_err());
/// # });
/// ```
pub async fn write(
    platform: &impl Rows,
    account: &Name,
    service: &Name,
    from: Option<&Decision>,
    to: &Decision,
) -> Result<(), Error> {
    let from = from.map(mark);
    let guard = from.as_deref().map_or(Guard::Absent, Guard::Mark);
    let row = table::put(key(account, service), &mark(to), to, &guard)?;
    platform.transact(vec![row]).await
}

fn key(account: &Name, service: &Name) -> Key {
    table::key(account, ROLLOUTS, service.as_str())
}

fn start_key(account: &Name, service: &Name) -> Key {
    table::key(account, ROLLOUTS, &format!("{START_PREFIX}{service}"))
}

fn start_mark(start: &Start) -> String {
    format!("{}-{}", start.order.revision.0, start.at.0)
}

fn mark(decision: &Decision) -> String {
    let phase = match decision.phase {
        Phase::Trial => "trial",
        Phase::Held => "held",
        Phase::Completed => "completed",
        Phase::RolledBack => "rolled-back",
    };
    format!("{}-{phase}-{}", decision.order.0, decision.reported)
}
