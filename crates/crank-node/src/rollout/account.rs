//! What the entry keeps about each roll-out: the share of the release, and the answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::rollout::{
    MAX_LATENCY_CLASS, Newcomers, Releases, ShareBudget, latency_class, trial_credit,
    trial_servers, trial_share, trial_window,
};
use crank_mesh::{Rollout, View};
use crank_protocol::rollout::{Evidence, ExposureLimit, Phase, Subject, Tally};
use crank_protocol::{Millis, Name};
use parking_lot::Mutex;

use super::attempt::{Answer, Attempt, Counted, End};
use crate::clock::Clock;

/// A server is slow at its start: its latencies count from this time after it appeared.
const COLD_TIME: Millis = Millis(3_000);
/// How long after the deadline of a completed roll-out servers of other releases get no requests.
const BARRED_TIME: Millis = Millis(60_000);

/// The roll-outs that an entry takes part in; clones share their state.
#[derive(Debug, Clone)]
pub struct Rollouts {
    clock: Clock,
    /// `None` if the deployment has no roll-outs, so that new releases are not held back.
    limit: Option<ExposureLimit>,
    process: u64,
    services: Arc<Mutex<BTreeMap<Name, ServiceAccount>>>,
}

#[derive(Debug, Default)]
struct ServiceAccount {
    view: Option<Arc<View>>,
    newcomers: Newcomers,
    rollout: Option<Account>,
}

/// The account of one order.
#[derive(Debug)]
struct Account {
    rollout: Rollout,
    releases: Releases,
    first_seen: BTreeMap<Name, Moment>,
    budget: ShareBudget,
    /// The order's age when this node learned of it.
    known_from: Millis,
    /// The number of nodes in reach.
    nodes: usize,
    in_flight: u32,
    tallies: BTreeMap<Subject, Tally>,
}

impl Rollouts {
    /// Creates an empty state; a `limit` also holds back releases that appear without an order.
    ///
    /// ```
    /// use crank_node::{clock::Clock, rollout::Rollouts};
    /// let rollouts = Rollouts::new(Clock::new(), None);
    /// assert!(rollouts.evidence().is_empty());
    /// ```
    #[must_use]
    pub fn new(clock: Clock, limit: Option<ExposureLimit>) -> Self {
        Self {
            clock,
            limit,
            process: rand::random(),
            services: Arc::default(),
        }
    }

    /// Returns the bounds on the requests of an unproven release.
    ///
    /// ```
    /// # use crank_node::{clock::Clock, rollout::Rollouts};
    /// assert_eq!(Rollouts::new(Clock::new(), None).limit().slack, 50);
    /// ```
    #[must_use]
    pub fn limit(&self) -> ExposureLimit {
        self.limit.unwrap_or_default()
    }

    /// Applies the roll-outs that the mesh knows.
    ///
    /// ```
    /// # use crank_node::rollout::Rollouts;
    /// fn apply(rollouts: &Rollouts, mesh: &crank_mesh::Handle) {
    ///     rollouts.apply(&mesh.rollouts().borrow());
    /// }
    /// ```
    pub fn apply(&self, known: &[Rollout]) {
        let mut services = self.services.lock();
        for rollout in known {
            let service = services.entry(rollout.order.service.clone()).or_default();
            let order = rollout.order.revision;
            let account = service.rollout.take();
            let account = account.filter(|account| account.rollout.order.revision == order);
            service.rollout = Some(match account {
                Some(account) => Account {
                    rollout: rollout.clone(),
                    ..account
                },
                None => Account::new(rollout.clone(), self.process),
            });
            service.view = None;
        }
    }

    /// Returns the sets of nodes that the next attempt must not choose: with the first set if it
    /// can, else with the second.
    pub(crate) fn barred(&self, service: &Name, view: &Arc<View>) -> Vec<Vec<Name>> {
        let now = self.clock.now();
        let mut services = self.services.lock();
        let account = match services.get_mut(service) {
            Some(account) => account,
            None if self.limit.is_none() => return vec![Vec::new()],
            None => services.entry(service.clone()).or_default(),
        };
        account.refresh(now, service, view);
        match &mut account.rollout {
            Some(account) => account.barred(self.limit()),
            None if self.limit.is_none() => vec![Vec::new()],
            None => vec![account.newcomers.held().to_vec()],
        }
    }

    /// Counts the start of an attempt at a node's server.
    pub(crate) fn start_attempt(&self, service: &Name, route: &Name, node: &Name) -> Attempt {
        let started_at = self.clock.now();
        let mut services = self.services.lock();
        let account = services.get_mut(service);
        let account = account.and_then(|account| account.rollout.as_mut());
        let counted = account.map(|account| {
            let is_new = account.start_attempt(node);
            Counted {
                rollouts: self.clone(),
                service: service.clone(),
                order: account.rollout.order.revision,
                is_new,
                subject: Subject {
                    route: route.clone(),
                    server: is_new.then(|| node.clone()),
                },
                node: node.clone(),
                started_at,
            }
        });
        Attempt::new(counted)
    }

    /// Counts the end of an attempt, unless another order has come since its start.
    pub(super) fn finish_attempt(&self, counted: &Counted, end: End) {
        let now = self.clock.now();
        let mut services = self.services.lock();
        let account = services.get_mut(&counted.service);
        let account = account.and_then(|account| account.rollout.as_mut());
        let account = account.filter(|account| account.rollout.order.revision == counted.order);
        if let Some(account) = account {
            account.finish(now, self.limit(), counted, end);
        }
    }

    /// Returns what this node has seen of each roll-out, with all its counters.
    ///
    /// ```
    /// # use crank_node::rollout::Rollouts;
    /// fn in_flight(rollouts: &Rollouts) -> u32 {
    ///     rollouts.evidence().iter().map(|evidence| evidence.in_flight).sum()
    /// }
    /// ```
    #[must_use]
    pub fn evidence(&self) -> Vec<Evidence> {
        let services = self.services.lock();
        let accounts = services
            .values()
            .filter_map(|account| account.rollout.as_ref());
        let evidence = |account: &Account| Evidence {
            service: account.rollout.order.service.clone(),
            order: account.rollout.order.revision,
            process: self.process,
            phase: account.rollout.phase,
            in_flight: account.in_flight,
            tallies: account.tallies.values().cloned().collect(),
        };
        accounts.map(evidence).collect()
    }
}

impl ServiceAccount {
    fn refresh(&mut self, now: Moment, service: &Name, view: &Arc<View>) {
        let current = self.view.as_ref();
        let is_same = current.is_some_and(|current| Arc::ptr_eq(current, view));
        if is_same && self.newcomers.held().is_empty() {
            return;
        }
        self.view = Some(view.clone());
        let reachable = || view.members().filter(|member| view.is_reachable(member));
        match &mut self.rollout {
            Some(account) => {
                account.nodes = reachable().count();
                account.releases = Releases::new(&account.rollout.order, reachable());
                for node in &account.releases.new {
                    account.first_seen.entry(node.clone()).or_insert(now);
                }
            }
            None => self.newcomers.update(now, service, reachable()),
        }
    }
}

impl Account {
    fn new(rollout: Rollout, process: u64) -> Self {
        Self {
            known_from: Millis::from(rollout.ordered_at.elapsed()),
            rollout,
            nodes: 0,
            releases: Releases::default(),
            first_seen: BTreeMap::new(),
            budget: ShareBudget::new(process),
            in_flight: 0,
            tallies: BTreeMap::new(),
        }
    }

    fn age(&self) -> Millis {
        Millis::from(self.rollout.ordered_at.elapsed())
    }

    /// Adds to the budget what the order's age grants.
    fn grant(&mut self, limit: ExposureLimit) {
        let duration = self.rollout.order.duration;
        let credit = |age| trial_credit(age, duration, limit, self.nodes);
        let granted = credit(self.age()).saturating_sub(credit(self.known_from));
        self.budget.grant(granted);
    }

    fn barred(&mut self, limit: ExposureLimit) -> Vec<Vec<Name>> {
        if self.rollout.phase == Phase::Trial {
            self.grant(limit);
        }
        let Releases { old, new } = &self.releases;
        if old.is_empty() && self.rollout.phase != Phase::RolledBack {
            return vec![Vec::new()];
        }
        match self.rollout.phase {
            Phase::Held | Phase::RolledBack => vec![new.clone()],
            Phase::Completed if new.is_empty() => vec![Vec::new()],
            Phase::Completed => {
                let duration = self.rollout.order.duration;
                let is_over = self.age().0 > duration.0 + BARRED_TIME.0;
                vec![if is_over { Vec::new() } else { old.clone() }]
            }
            Phase::Trial if !self.budget.allows() => vec![new.clone()],
            Phase::Trial => {
                let (age, duration) = (self.age(), self.rollout.order.duration);
                let share = trial_share(age, duration, limit, old.len());
                if share.0 == 0 {
                    return vec![new.clone()];
                }
                let servers = trial_servers(share, old.len());
                let window = trial_window(new, servers, age);
                let others = new.iter().filter(|node| !window.contains(node));
                let trial_only = old.iter().chain(others).cloned().collect();
                vec![trial_only, new.clone()]
            }
        }
    }

    /// Returns whether the node's server runs the new release.
    fn start_attempt(&mut self, node: &Name) -> bool {
        let is_new = self.releases.new.contains(node);
        if is_new {
            self.budget.spend();
        } else {
            self.in_flight += 1;
        }
        is_new
    }

    fn finish(&mut self, now: Moment, limit: ExposureLimit, counted: &Counted, end: End) {
        if !counted.is_new {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
        let answer = match end {
            End::Dropped => return,
            End::NotReached => {
                if counted.is_new {
                    self.budget.refund();
                }
                return;
            }
            End::Reached(answer) => {
                let duration = self.rollout.order.duration;
                let old_servers = self.releases.old.len();
                self.budget
                    .earn(trial_share(self.age(), duration, limit, old_servers));
                answer
            }
        };
        let Some(answer) = answer else {
            return;
        };
        let is_warm = !counted.is_new || {
            let seen = self.first_seen.get(&counted.node);
            seen.is_some_and(|seen| counted.started_at >= seen.after(COLD_TIME))
        };
        let tally = self
            .tallies
            .entry(counted.subject.clone())
            .or_insert_with(|| Tally {
                subject: counted.subject.clone(),
                answered: 0,
                failed: 0,
                latencies: Vec::new(),
            });
        let class = match answer {
            Answer::Good => {
                tally.answered += 1;
                latency_class(now.0.saturating_sub(counted.started_at.0))
            }
            Answer::Failed => {
                tally.failed += 1;
                return;
            }
            Answer::Late => MAX_LATENCY_CLASS,
        };
        if is_warm {
            if tally.latencies.len() <= class {
                tally.latencies.resize(class + 1, 0);
            }
            tally.latencies[class] += 1;
        }
    }
}
