//! Roll-outs: each node passes on what it learns of orders and verdicts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crank_engine::Moment;
use crank_engine::rollout::KnownRollout;
use crank_protocol::rollout::RolloutState;
use crank_protocol::wire::Control;
use xtra::Handler;

use super::message::OfferRollout;
use super::state::Mesh;
use crate::Rollout;

impl Mesh {
    /// Merges the state of a roll-out, and passes it on if it is news; `from` is the connection it
    /// came over, or `None` if this node learned of it otherwise.
    pub(crate) fn learn_rollout(&mut self, state: RolloutState, from: Option<u64>, now: Moment) {
        let order = state.order.clone();
        let phase = state.phase;
        if !self.rollouts.merge(state, now) {
            return;
        }
        log::info!(
            event = "rollout", service:% = order.service, target:% = order.target,
            order = order.revision.0, phase:? = phase;
            "roll-out: news of an order or verdict"
        );
        self.publish_rollouts(now);
        let states = self.rollouts.states(now);
        let news = states
            .into_iter()
            .find(|state| state.order.service == order.service);
        let Some(news) = news else {
            return;
        };
        let connection_ids: Vec<u64> = self
            .connections
            .iter()
            .filter(|(id, connection)| Some(**id) != from && connection.peer.is_some())
            .map(|(id, _)| *id)
            .collect();
        self.send_frames(&connection_ids, &Control::Rollout(Box::new(news)));
    }

    /// Tells a node to which a connection was opened of all roll-outs.
    pub(crate) fn tell_rollouts(&mut self, connection_id: u64, now: Moment) {
        for state in self.rollouts.states(now) {
            self.send_frame(connection_id, &Control::Rollout(Box::new(state)));
        }
    }

    fn publish_rollouts(&self, now: Moment) {
        let instant = Instant::now();
        let rollout = |known: &KnownRollout| {
            let age = Duration::from(known.age(now));
            Rollout {
                order: known.state.order.clone(),
                phase: known.state.phase,
                ordered_at: instant.checked_sub(age).unwrap_or(instant),
            }
        };
        let rollouts: Vec<Rollout> = self.rollouts.rollouts().map(rollout).collect();
        self.outputs.rollouts.send_replace(Arc::from(rollouts));
    }
}

impl Handler<OfferRollout> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: OfferRollout, _: &mut xtra::Context<Self>) {
        let now = self.now();
        self.learn_rollout(message.state, None, now);
    }
}
