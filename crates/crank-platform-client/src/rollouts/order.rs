//! The rows with operators' orders, one a service, on the project's own platform.

use crank_protocol::Name;
use crank_protocol::rollout::RolloutOrder;
use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

use crate::table::{self, Guard};
use crate::{Error, Key, Rows, without_malformed};

const ORDERS: &str = "rollout-orders";
/// The most orders that are read; more services are rolled out in turn.
const MAX_ORDERS: u32 = 200;

/// An order, and when the operator gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The order. Its revision is the number of orders that the service has had.
    pub order: RolloutOrder,
    /// The time of day on the operator's machine.
    #[serde(with = "time::serde::rfc3339")]
    pub given_at: OffsetDateTime,
}

/// Reads the latest order for a service, if there is one.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{rollouts, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let name = |text| crank_protocol::Name::new(text).unwrap();
/// let order = rollouts::read_order(&Memory::new(), &name("sutkent"), &name("vat")).await;
/// assert_eq!(order, Ok(None));
/// # });
/// ```
pub async fn read_order(
    platform: &impl Rows,
    account: &Name,
    service: &Name,
) -> Result<Option<Order>, Error> {
    let row = platform.row(&key(account, service)).await?;
    row.map(|row| table::content(&row)).transpose()
}

/// Reads the latest orders for all services; what cannot be read is logged and left out.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::Malformed`].
///
/// ```
/// # use crank_platform_client::{rollouts, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert!(rollouts::read_orders(&Memory::new(), &account).await.unwrap().is_empty());
/// # });
/// ```
pub async fn read_orders(platform: &impl Rows, account: &Name) -> Result<Vec<Order>, Error> {
    let partition = table::partition(account, ORDERS);
    let rows = platform.rows(&partition, MAX_ORDERS).await?;
    Ok(without_malformed(rows.iter().map(table::content)))
}

/// Writes an order, unless the row is no longer the one that was read.
///
/// # Errors
/// [`Error::ConditionFailed`] where another operator wrote it, [`Error::Unavailable`] or
/// [`Error::AnswerLost`].
///
/// ```
/// # use crank_platform_client::{rollouts::{self, Order}, Memory};
/// # use crank_protocol::{Millis, Name, config::Revision, rollout::RolloutOrder};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let (account, service) = (Name::new("sutkent").unwrap(), Name::new("vat").unwrap());
/// let platform = Memory::new();
/// let (target, duration, revision) = ("v2".into(), Millis(600_000), Revision(1));
/// let order = RolloutOrder { service, target, duration, revision };
/// let order = Order { order, given_at: time::OffsetDateTime::UNIX_EPOCH };
/// assert_eq!(rollouts::write_order(&platform, &account, None, &order).await, Ok(()));
/// assert!(rollouts::write_order(&platform, &account, None, &order).await.is_err());
/// assert_eq!(rollouts::read_orders(&platform, &account).await, Ok(vec![order]));
/// # });
/// ```
pub async fn write_order(
    platform: &impl Rows,
    account: &Name,
    from: Option<&Order>,
    to: &Order,
) -> Result<(), Error> {
    let from = from.map(mark);
    let guard = from.as_deref().map_or(Guard::Absent, Guard::Mark);
    let key = key(account, &to.order.service);
    let row = table::put(key, &mark(to), to, &guard)?;
    platform.transact(vec![row]).await
}

fn key(account: &Name, service: &Name) -> Key {
    table::key(account, ORDERS, service.as_str())
}

fn mark(order: &Order) -> String {
    order.order.revision.0.to_string()
}
