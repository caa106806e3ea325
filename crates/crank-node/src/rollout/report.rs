//! Sends what this node has seen to the nodes that decide.

use std::collections::BTreeMap;
use std::time::Duration;

use crank_engine::rollout::{MOVE_TIME, deciders};
use crank_mesh::{Handle, View};
use crank_protocol::Name;
use crank_protocol::config::Revision;
use crank_protocol::member::State;
use crank_protocol::rollout::Evidence;
use crank_protocol::wire::{MAX_PEER_MESSAGE_BYTES, PeerMessage, Topic};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Rollouts;

/// The interval between two reports.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// How often a report about a verdict is repeated after the latest time at which it matters.
const FINAL_REPORT_TIME: Duration = Duration::from_secs(2);

/// Applies what the mesh knows of roll-outs, and reports the evidence while one runs, until the
/// mesh stops.
///
/// ```
/// # use crank_node::rollout::{Rollouts, report};
/// fn start(rollouts: Rollouts, mesh: crank_mesh::Handle) {
///     tokio::spawn(report(rollouts, mesh));
/// }
/// ```
pub async fn report(rollouts: Rollouts, mesh: Handle) {
    let mut known = mesh.rollouts();
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut decided: BTreeMap<Revision, Instant> = BTreeMap::new();
    rollouts.apply(&known.borrow_and_update());
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = known.changed() => {
                if changed.is_err() {
                    return;
                }
                rollouts.apply(&known.borrow_and_update());
            }
        }
        for evidence in rollouts.evidence() {
            if evidence.phase.is_final() {
                let since = *decided.entry(evidence.order).or_insert_with(Instant::now);
                if since.elapsed() > Duration::from(MOVE_TIME) + FINAL_REPORT_TIME {
                    continue;
                }
            }
            send(&evidence, &mesh).await;
        }
    }
}

/// Returns the nodes that decide an order now.
pub(super) fn current_deciders(order: Revision, view: &View) -> Vec<Name> {
    let members = view
        .members()
        .filter(|member| member.state == State::Alive && view.is_reachable(member));
    deciders(order, members.map(|member| &member.id))
}

async fn send(evidence: &Evidence, mesh: &Handle) {
    let view = mesh.view().borrow().clone();
    let deciders = current_deciders(evidence.order, &view);
    for payload in encode_in_parts(evidence) {
        for decider in &deciders {
            let message = PeerMessage {
                topic: Topic::Rollout,
                payload: payload.clone().into(),
            };
            if let Err(error) = mesh.send_message(decider.clone(), message).await {
                log::warn!(error:% = error; "evidence about a roll-out not sent");
            }
        }
    }
}

/// Encodes the evidence in as many messages as its counters need.
fn encode_in_parts(evidence: &Evidence) -> Vec<Vec<u8>> {
    let mut payloads = Vec::new();
    let mut rest = evidence.tallies.as_slice();
    loop {
        let mut count = rest.len();
        let payload = loop {
            let part = Evidence {
                tallies: rest[..count].to_vec(),
                ..evidence.clone()
            };
            let mut payload = Vec::new();
            if let Err(error) = ciborium::into_writer(&part, &mut payload) {
                log::error!(error:% = error; "evidence about a roll-out not encoded");
                return payloads;
            }
            if payload.len() <= MAX_PEER_MESSAGE_BYTES || count <= 1 {
                break payload;
            }
            count /= 2;
        };
        payloads.push(payload);
        rest = &rest[count..];
        if rest.is_empty() {
            return payloads;
        }
    }
}
