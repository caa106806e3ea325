//! The rows with the decisions about roll-outs, one a service.

use std::sync::Arc;

use crank_protocol::Name;
use crank_protocol::config::Revision;
use crank_protocol::rollout::Phase;
use serde::{Deserialize, Serialize};

use crate::table::{self, Guard};
use crate::{Error, Key, Rows};

const ROLLOUTS: &str = "rollouts";

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

fn mark(decision: &Decision) -> String {
    let phase = match decision.phase {
        Phase::Trial => "trial",
        Phase::Held => "held",
        Phase::Completed => "completed",
        Phase::RolledBack => "rolled-back",
    };
    format!("{}-{phase}-{}", decision.order.0, decision.reported)
}
