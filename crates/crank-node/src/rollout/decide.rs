//! Decides roll-outs: any of a few nodes may, and the store keeps the first verdict.

use std::collections::BTreeMap;
use std::time::Duration;

use crank_engine::Moment;
use crank_engine::rollout::{self, Finding, Monitor, Releases, is_settled, verdict};
use crank_mesh::{Handle, ReceivedMessage, Rollout, View};
use crank_platform_client::rollouts::{self as rows, Decision};
use crank_platform_client::{Error as StoreError, Rows};
use crank_protocol::config::Revision;
use crank_protocol::member::State;
use crank_protocol::rollout::{Evidence, Phase, RolloutReport, RolloutState};
use crank_protocol::wire::Topic;
use crank_protocol::{Millis, Name};
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{MissedTickBehavior, interval};

use super::report::current_deciders;
use super::{Posting, RolloutBoard};
use crate::clock::Clock;

/// The interval between two evaluations.
const DECIDE_INTERVAL: Duration = Duration::from_millis(250);
/// How much later each further decider reports to the operators, in case the ones before it cannot.
const REPORT_DELAY: Millis = Millis(700);

/// A node that may decide roll-outs.
pub struct DecidingNode<P, B> {
    /// The client account.
    pub account: Name,
    /// The name of the node.
    pub node: Name,
    /// The clock of the process.
    pub clock: Clock,
    /// The client of the table with the verdicts.
    pub platform: P,
    /// Where operators look.
    pub board: B,
    /// The mesh.
    pub mesh: Handle,
}

/// What a decider holds about an order.
struct Case {
    order: Revision,
    evidence: rollout::Evidence,
    monitor: Monitor,
    decided_at: Option<Moment>,
    /// The phase that operators are known to see.
    posted: Option<Phase>,
    logged: Option<Finding>,
}

impl Case {
    fn new(order: Revision) -> Self {
        Self {
            order,
            evidence: rollout::Evidence::default(),
            monitor: Monitor::default(),
            decided_at: None,
            posted: None,
            logged: None,
        }
    }
}

/// Collects the evidence of all nodes, and decides the roll-outs that this node is a decider of,
/// until the mesh stops.
///
/// ```
/// # use crank_node::rollout::{DecidingNode, RolloutBoard, decide};
/// # use crank_platform_client::Rows;
/// fn start<P: Rows, B: RolloutBoard>(node: DecidingNode<P, B>) {
///     tokio::spawn(decide(node));
/// }
/// ```
pub async fn decide<P: Rows, B: RolloutBoard>(node: DecidingNode<P, B>) {
    let mut cases: BTreeMap<Name, Case> = BTreeMap::new();
    let mut messages = node.mesh.messages();
    let mut ticks = interval(DECIDE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = messages.recv() => match received {
                Ok(received) => receive(&received, &mut cases),
                Err(RecvError::Lagged(missed)) => {
                    log::debug!(missed = missed; "messages about roll-outs missed; they are repeated");
                }
                Err(RecvError::Closed) => return,
            },
            _ = ticks.tick() => {
                let known = node.mesh.rollouts().borrow().clone();
                for rollout in known.iter() {
                    let service = rollout.order.service.clone();
                    let order = rollout.order.revision;
                    let case = cases.entry(service).or_insert_with(|| Case::new(order));
                    if case.order < order {
                        *case = Case::new(order);
                    }
                    node.handle(rollout, case).await;
                }
            }
        }
    }
}

fn receive(received: &ReceivedMessage, cases: &mut BTreeMap<Name, Case>) {
    if received.message.topic != Topic::Rollout {
        return;
    }
    let evidence: Evidence = match ciborium::from_reader(received.message.payload.as_slice()) {
        Ok(evidence) => evidence,
        Err(error) => {
            log::warn!(from:% = received.from, error:% = error; "evidence cannot be read");
            return;
        }
    };
    let case = cases
        .entry(evidence.service.clone())
        .or_insert_with(|| Case::new(evidence.order));
    if case.order < evidence.order {
        *case = Case::new(evidence.order);
    }
    if case.order == evidence.order {
        case.evidence.merge(&received.from, evidence);
    }
}

impl<P: Rows, B: RolloutBoard> DecidingNode<P, B> {
    async fn handle(&self, rollout: &Rollout, case: &mut Case) {
        if case.order != rollout.order.revision || case.posted.is_some_and(Phase::is_final) {
            return;
        }
        let view = self.mesh.view().borrow().clone();
        let deciders = current_deciders(case.order, &view);
        let Some(rank) = deciders.iter().position(|decider| *decider == self.node) else {
            return;
        };
        let now = self.clock.now();
        if rollout.phase.is_final() {
            self.conclude(rollout, case, rank as u64, &view, now).await;
            return;
        }
        let servers = Releases::new(&rollout.order, view.members()).new.len();
        case.monitor.update(now, servers, &case.evidence.totals());
        log_finding(rollout, case);
        let age = Millis::from(rollout.ordered_at.elapsed());
        let verdict = verdict(case.monitor.finding(), age, rollout.order.duration);
        if let Some(verdict) = verdict {
            if verdict == Phase::RolledBack && rollout.phase == Phase::Trial {
                self.offer(rollout, Phase::Held).await;
            }
            self.settle(rollout, verdict).await;
        } else if rank == 0 && case.posted.is_none() {
            self.post_start(rollout, case).await;
        }
    }

    /// Records a verdict unless there is one, and tells all nodes of the recorded one.
    async fn settle(&self, rollout: &Rollout, verdict: Phase) {
        let order = &rollout.order;
        let recorded = self.record(rollout, verdict).await;
        match recorded {
            Ok(Some(phase)) => {
                log::info!(
                    event = "rollout_verdict", service:% = order.service, target:% = order.target,
                    order = order.revision.0, phase:? = phase;
                    "roll-out: verdict recorded"
                );
                self.offer(rollout, phase).await;
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!(service:% = order.service, error:% = error; "verdict not recorded yet");
            }
        }
    }

    /// Returns the recorded verdict; `None` if a later order has one.
    async fn record(&self, rollout: &Rollout, verdict: Phase) -> Result<Option<Phase>, StoreError> {
        let order = &rollout.order;
        let held = rows::read(&self.platform, &self.account, &order.service).await?;
        match &held {
            Some(held) if held.order == order.revision => return Ok(Some(held.phase)),
            Some(held) if held.order > order.revision => return Ok(None),
            Some(_) | None => {}
        }
        let decision = Decision {
            order: order.revision,
            target: order.target.clone(),
            phase: verdict,
            reported: false,
        };
        let service = &order.service;
        rows::write(
            &self.platform,
            &self.account,
            service,
            held.as_ref(),
            &decision,
        )
        .await?;
        Ok(Some(verdict))
    }

    /// Tells operators of a verdict, once the servers that are to stop get no more requests.
    async fn conclude(
        &self,
        rollout: &Rollout,
        case: &mut Case,
        rank: u64,
        view: &View,
        now: Moment,
    ) {
        let decided_at = *case.decided_at.get_or_insert(now);
        let waiting = match rollout.phase {
            Phase::Completed => waiting_nodes(&case.evidence, view),
            Phase::RolledBack | Phase::Held | Phase::Trial => 0,
        };
        let is_due = now >= decided_at.after(Millis(REPORT_DELAY.0 * rank));
        if !is_due || !is_settled(waiting, decided_at, now) {
            return;
        }
        let order = &rollout.order;
        let Some(posting) = self.posting(rollout).await else {
            return;
        };
        let held = rows::read(&self.platform, &self.account, &order.service).await;
        match held {
            Ok(Some(held)) if held.order == order.revision => {
                if held.reported {
                    case.posted = Some(held.phase);
                    return;
                }
                if self.post(rollout, case, held.phase, &posting).await {
                    let reported = Decision {
                        reported: true,
                        ..held.clone()
                    };
                    let (account, service) = (&self.account, &order.service);
                    let written =
                        rows::write(&self.platform, account, service, Some(&held), &reported).await;
                    if let Err(error) = written {
                        log::debug!(error:% = error; "the report of a verdict is not marked as made");
                    }
                }
            }
            Ok(_) => case.posted = Some(rollout.phase),
            Err(error) => {
                log::warn!(service:% = order.service, error:% = error; "verdict cannot be read")
            }
        }
    }

    /// Tells operators that a roll-out runs, unless there is a verdict, of which a node that has
    /// just started may not have heard.
    async fn post_start(&self, rollout: &Rollout, case: &mut Case) {
        let order = &rollout.order;
        // Read before the verdict, so that the report of a verdict is never replaced.
        let Some(posting) = self.posting(rollout).await else {
            return;
        };
        match rows::read(&self.platform, &self.account, &order.service).await {
            Ok(Some(held)) if held.order == order.revision => {
                self.offer(rollout, held.phase).await;
            }
            Ok(Some(held)) if held.order > order.revision => {}
            Ok(held) => {
                if let Err(error) = self.keep_start(rollout, &posting, held.as_ref()).await {
                    log::warn!(
                        service:% = order.service, error:% = error;
                        "the start of a roll-out is not kept yet"
                    );
                    return;
                }
                self.post(rollout, case, Phase::Trial, &posting).await;
            }
            Err(error) => {
                log::warn!(service:% = order.service, error:% = error; "verdict cannot be read");
            }
        }
    }

    /// Reads what operators are told now, as the condition of the next report.
    async fn posting(&self, rollout: &Rollout) -> Option<Posting> {
        let service = &rollout.order.service;
        match self.board.posting(service).await {
            Ok(posting) => Some(posting),
            Err(error) => {
                log::warn!(service:% = service, error:% = error; "operators not told yet");
                None
            }
        }
    }

    async fn post(&self, rollout: &Rollout, case: &mut Case, phase: Phase, over: &Posting) -> bool {
        let report = RolloutReport {
            service: rollout.order.service.clone(),
            target: rollout.order.target.clone(),
            phase,
        };
        match self.board.post(&report, over).await {
            Ok(()) => {
                log::info!(
                    event = "rollout_posted", service:% = report.service, target:% = report.target,
                    phase:? = phase;
                    "roll-out: operators told"
                );
                case.posted = Some(phase);
                true
            }
            Err(error) => {
                log::warn!(service:% = report.service, error:% = error; "operators not told yet");
                false
            }
        }
    }

    pub(super) async fn offer(&self, rollout: &Rollout, phase: Phase) {
        let age = Millis::from(rollout.ordered_at.elapsed());
        self.offer_at(rollout, phase, age).await;
    }

    pub(super) async fn offer_at(&self, rollout: &Rollout, phase: Phase, age: Millis) {
        let order = rollout.order.clone();
        let offered = self
            .mesh
            .offer_rollout(RolloutState { order, phase, age })
            .await;
        if let Err(error) = offered {
            log::error!(error:% = error; "a roll-out could not be told to the mesh");
        }
    }
}

/// Counts the nodes that may still have requests at servers of other releases.
fn waiting_nodes(evidence: &rollout::Evidence, view: &View) -> usize {
    let members = view
        .members()
        .filter(|member| matches!(member.state, State::Alive | State::Suspect));
    let waiting = members.filter(|member| !evidence.has_moved(&member.id, Phase::Completed));
    waiting.count()
}

fn log_finding(rollout: &Rollout, case: &mut Case) {
    let finding = case.monitor.finding();
    if case.logged == Some(finding) {
        return;
    }
    case.logged = Some(finding);
    let worst = case.monitor.worst_route();
    log::info!(
        event = "rollout_evidence", service:% = rollout.order.service,
        target:% = rollout.order.target, finding:? = finding,
        answers = case.monitor.answers(), worst:? = worst;
        "roll-out: evidence"
    );
}
