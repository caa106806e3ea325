//! The part of the interface that deals with roll-outs.

use std::sync::Arc;
use std::time::Instant;

use crank_protocol::rollout::{Phase, RolloutOrder, RolloutState};
use tokio::sync::watch;

use super::Handle;
use crate::Error;
use crate::actor::OfferRollout;

/// The newest order of a service and how far its roll-out has come, as this node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// How far the roll-out has come.
    pub phase: Phase,
    /// When the first node learned of the order.
    pub ordered_at: Instant,
}

impl Handle {
    /// Tells all nodes of an order, or of how far its roll-out has come.
    ///
    /// An older order, a less advanced phase or a smaller age changes nothing.
    ///
    /// # Errors
    /// Returns [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::Handle;
    /// # use crank_protocol::rollout::{RolloutOrder, RolloutState};
    /// async fn start(mesh: &Handle, order: RolloutOrder) -> Result<(), crank_mesh::Error> {
    ///     mesh.offer_rollout(RolloutState::new(order)).await
    /// }
    /// ```
    pub async fn offer_rollout(&self, state: RolloutState) -> Result<(), Error> {
        let message = OfferRollout { state };
        self.mesh.send(message).await.map_err(|_| Error::Stopped)
    }

    /// Returns a channel with the newest roll-out of each service.
    ///
    /// ```
    /// # use crank_mesh::Handle;
    /// fn has_rollouts(mesh: &Handle) -> bool {
    ///     !mesh.rollouts().borrow().is_empty()
    /// }
    /// ```
    #[must_use]
    pub fn rollouts(&self) -> watch::Receiver<Arc<[Rollout]>> {
        self.rollouts.clone()
    }
}
