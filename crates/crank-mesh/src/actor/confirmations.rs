//! Which nodes follow the store, and the confirmations of its newest configuration.

use std::time::{Duration, Instant};

use crank_engine::Moment;
use crank_engine::spread::VersionComparison;
use crank_protocol::wire::{Confirmation, Control};

use super::state::Mesh;

impl Mesh {
    /// Records a confirmation, and passes it on unless it is old; `from` is the connection it came
    /// over, or `None` if the store gave it.
    pub(crate) fn record_confirmation(
        &mut self,
        confirmation: &Confirmation,
        from: Option<u64>,
        now: Moment,
    ) {
        self.freshness.record(confirmation, now, &mut self.rng);
        let age = self.freshness.age(now).map(Duration::from);
        let confirmed_at = age.and_then(|age| Instant::now().checked_sub(age));
        self.outputs.confirmed_at.send_replace(confirmed_at);
        self.publish_store_era(confirmation);
        self.update_store_check(now);
        self.pass_on_confirmation(from, now);
    }

    /// Publishes the era of the store, and logs that a new one has begun.
    fn publish_store_era(&self, confirmation: &Confirmation) {
        let era = self.freshness.era();
        let has_risen = self
            .outputs
            .store_era
            .send_if_modified(|held| std::mem::replace(held, era) != era);
        if has_risen {
            log::warn!(
                event = "store_era",
                position:% = confirmation.position,
                version = confirmation.version.0;
                "the store has come back from an older copy: what was written since is lost there"
            );
        }
    }

    /// Passes the newest confirmation on over every connection except `from`, unless that was done
    /// or this node lacks the confirmed version.
    pub(crate) fn pass_on_confirmation(&mut self, from: Option<u64>, now: Moment) {
        let held = self.replica.stamp().map(|stamp| stamp.version);
        let Some(confirmation) = self.freshness.take_unsent(held, now) else {
            return;
        };
        let connection_ids: Vec<u64> = self
            .connections
            .iter()
            .filter(|(id, connection)| Some(**id) != from && connection.peer.is_some())
            .filter(|(_, connection)| self.is_push_connection(connection))
            .map(|(id, _)| *id)
            .collect();
        self.send_frames(&connection_ids, &Control::Confirmed(confirmation));
    }

    /// Publishes whether this node follows the platform's store, and whether it has to check it.
    pub(crate) fn update_store_duties(&mut self, now: Moment) {
        let follows = self.topology.is_store_reader;
        let has_changed = self
            .outputs
            .should_follow_store
            .send_if_modified(|held| std::mem::replace(held, follows) != follows);
        if has_changed {
            log::info!(
                event = "store_following", follows = follows;
                "this node begins or ceases to follow the store"
            );
        }
        self.update_store_check(now);
    }

    /// Publishes whether this node has to check the store, and how.
    pub(crate) fn update_store_check(&mut self, now: Moment) {
        let newer_stamp = self.newer_config.as_ref().map(|newer| &newer.stamp);
        let knows_newer = newer_stamp.is_some()
            && self.replica.compare(newer_stamp) == VersionComparison::PeerAhead;
        let held = self.replica.stamp().map(|stamp| stamp.version);
        let check = self.freshness.check_due(held, knows_newer, now);
        self.outputs
            .store_check
            .send_if_modified(|current| std::mem::replace(current, check) != check);
    }
}
