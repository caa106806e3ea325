//! Follows the orders that operators give in the project's own table.

use std::time::Duration;

use crank_mesh::Handle;
use crank_platform_client::rollouts::{self as rows, Order};
use crank_platform_client::{Error as StoreError, Rows};
use crank_protocol::rollout::{Phase, RolloutReport, RolloutState};
use crank_protocol::{Millis, Name};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::{Posting, RolloutBoard};

/// The interval between two reads of the orders.
const ORDER_INTERVAL: Duration = Duration::from_secs(1);

/// The board of the project's own platform, where operators read the verdicts themselves.
#[derive(Debug, Clone, Copy)]
pub struct VerdictBoard;

impl RolloutBoard for VerdictBoard {
    async fn posting(&self, _service: &Name) -> Result<Posting, StoreError> {
        Ok(Posting::default())
    }

    async fn post(&self, _report: &RolloutReport, _over: &Posting) -> Result<(), StoreError> {
        Ok(())
    }
}

/// Tells the mesh of operators' orders and of the verdicts on them, while this node is one of the
/// few that read for all, until the mesh stops.
///
/// ```
/// # use crank_node::rollout::follow_orders;
/// # use crank_platform_client::Memory;
/// fn start(account: crank_protocol::Name, mesh: crank_mesh::Handle) {
///     let (_, is_reader) = tokio::sync::watch::channel(true);
///     tokio::spawn(follow_orders(account, Memory::new(), mesh, is_reader));
/// }
/// ```
pub async fn follow_orders<P: Rows>(
    account: Name,
    platform: P,
    mesh: Handle,
    is_reader: watch::Receiver<bool>,
) {
    let mut ticks = interval(ORDER_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !*is_reader.borrow() {
            continue;
        }
        match read_states(&account, &platform, &mesh).await {
            Ok(states) => {
                for state in states {
                    if let Err(error) = mesh.offer_rollout(state).await {
                        log::info!(error:% = error; "orders are no longer followed");
                        return;
                    }
                }
            }
            Err(error) => log::warn!(error:% = error; "orders of roll-outs cannot be read"),
        }
    }
}

/// Reads the orders that have no verdict as far as the mesh knows, each with its verdict.
async fn read_states<P: Rows>(
    account: &Name,
    platform: &P,
    mesh: &Handle,
) -> Result<Vec<RolloutState>, StoreError> {
    let known = mesh.rollouts().borrow().clone();
    let is_over = |order: &Order| {
        let mut ended = known.iter().filter(|rollout| rollout.phase.is_final());
        ended.any(|rollout| rollout.order == order.order)
    };
    let mut states = Vec::new();
    for order in rows::read_orders(platform, account).await? {
        if is_over(&order) {
            continue;
        }
        let order = order.order;
        let decision = rows::read(platform, account, &order.service).await?;
        let decision = decision.filter(|decision| decision.order == order.revision);
        states.push(RolloutState {
            phase: decision.map_or(Phase::Trial, |decision| decision.phase),
            age: Millis(0),
            order,
        });
    }
    Ok(states)
}
