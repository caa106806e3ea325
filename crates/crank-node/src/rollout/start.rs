//! Keeps the start of a roll-out in the store, so that its time goes on when all nodes start anew.

use crank_mesh::Rollout;
use crank_platform_client::rollouts::{self as rows, Decision, Start};
use crank_platform_client::{Error as StoreError, Rows};
use crank_protocol::Millis;
use crank_protocol::rollout::Phase;

use super::{DecidingNode, Posting, RolloutBoard};

impl<P: Rows, B: RolloutBoard> DecidingNode<P, B> {
    /// Records when this order was first read, or takes over what is recorded.
    ///
    /// `held` is the verdict on an earlier order. Without a store that tells the time nothing is
    /// kept, as the clocks of nodes cannot be compared.
    ///
    /// # Errors
    /// Returns why the store did not answer or accept it.
    pub(super) async fn keep_start(
        &self,
        rollout: &Rollout,
        posting: &Posting,
        held: Option<&Decision>,
    ) -> Result<(), StoreError> {
        let Some(now) = posting.read_at else {
            return Ok(());
        };
        let order = &rollout.order;
        let known = rows::read_start(&self.platform, &self.account, &order.service).await?;
        let kept = known
            .as_ref()
            .filter(|known| continues(known, rollout, held));
        let at = match kept {
            Some(kept) => kept.at,
            None => now.before(Millis::from(rollout.ordered_at.elapsed())),
        };
        if kept.is_some() {
            self.offer_at(rollout, Phase::Trial, now.since(at)).await;
        }
        let start = Start {
            order: order.clone(),
            at,
        };
        if known.as_ref() == Some(&start) {
            return Ok(());
        }
        rows::write_start(&self.platform, &self.account, known.as_ref(), &start).await
    }
}

/// Returns whether an order is the recorded one, or repeats it before there is a verdict on it.
fn continues(known: &Start, rollout: &Rollout, held: Option<&Decision>) -> bool {
    let order = &rollout.order;
    let has_verdict = held.is_some_and(|held| held.order >= known.order.revision);
    let repeats = known.order.target == order.target && known.order.duration == order.duration;
    known.order.revision == order.revision || (repeats && !has_verdict)
}
