//! Load balancing: chooses a target by load and distance, with outlier ejection and slow start.

mod distance;
mod eject;
mod subset;
mod target;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crank_protocol::call::Load;
use crank_protocol::config::Service;
use crank_protocol::member::{Member, Place, Stage, State};
use crank_protocol::{Millis, Name};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::Moment;
use distance::DISTANCES;
use target::Target;

pub use distance::Distance;
pub use eject::{CONSECUTIVE_FAILURES, MAX_EJECTION_TIME, MIN_EJECTION_TIME};
pub use subset::{MIN_LOCAL_TARGETS, MIN_REMOTE_TARGETS};

/// The utilization of a target's slots above which more distant targets are considered too.
const FULL_UTILIZATION: f64 = 1.0;

/// The target that was chosen for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChosenTarget {
    /// The ID of the target's node.
    pub id: Name,
    /// The address at which that node accepts connections from other nodes.
    pub address: SocketAddr,
}

/// The result of an attempt, as far as it says something about the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The target answered.
    Answered {
        /// The time until the answer started, in microseconds.
        micros: u64,
    },
    /// The target refused the request because it was overloaded.
    Full,
    /// The target accepts no new requests because it is not ready or is leaving.
    Leaving,
    /// The target did not answer before the deadline.
    Slow {
        /// The time that the caller waited, in microseconds.
        micros: u64,
    },
    /// The target or the connection to it failed.
    Failed,
    /// The attempt ended for a reason that has nothing to do with the target.
    Unrelated,
}

/// The targets of one service, as one node sees them.
///
/// A target is chosen by the power of two choices: two targets are drawn at random, and the one
/// with the lower cost is chosen, based on the load and the slowdown that targets report. Targets
/// in the same data centre are preferred over those in the same region, and these over those in
/// other regions, as long as a nearer target has a free slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPool {
    #[serde(rename = "own")]
    own_id: Name,
    place: Place,
    warm_up: Millis,
    #[serde(rename = "known")]
    targets: BTreeMap<Name, Target>,
    subset: BTreeMap<Distance, Vec<Name>>,
    #[serde(rename = "seen_before")]
    had_targets: bool,
}

impl TargetPool {
    /// Creates a pool without targets for the node with this ID and place.
    ///
    /// ```
    /// use crank_engine::{Moment, balance::TargetPool};
    /// use crank_protocol::{Name, member::Place};
    /// use rand::SeedableRng;
    /// let name = |text: &str| Name::new(text).unwrap();
    /// let place = Place { region: name("bahia"), data_centre: name("b1") };
    /// let mut pool = TargetPool::new(name("n1"), place);
    /// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// assert_eq!(pool.choose(Moment(0), &[], &mut rng), None);
    /// ```
    #[must_use]
    pub fn new(own_id: Name, place: Place) -> Self {
        Self {
            own_id,
            place,
            warm_up: Millis(0),
            targets: BTreeMap::new(),
            subset: BTreeMap::new(),
            had_targets: false,
        }
    }

    /// Updates the service's policy and the targets from the current members of the mesh.
    ///
    /// A target that remains keeps its measured load, latency and failures. A target that appears
    /// after the first update with targets gets a slow start.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::TargetPool};
    /// # use crank_protocol::{Name, config::Service, member::Member};
    /// fn refresh(pool: &mut TargetPool, name: &Name, service: &Service, members: &[Member]) {
    ///     pool.update(Moment(1), name, service, members);
    /// }
    /// ```
    pub fn update<'a>(
        &mut self,
        now: Moment,
        name: &Name,
        service: &Service,
        members: impl IntoIterator<Item = &'a Member>,
    ) {
        self.warm_up = service.warm_up;
        let mut previous = std::mem::take(&mut self.targets);
        let mut nodes = 0;
        for member in members {
            nodes += usize::from(is_up(member));
            let Some(slots) = usable_slots(member, name, service) else {
                continue;
            };
            let distance = Distance::between(&self.place, &member.place);
            let warm_up_start = self.warm_up_start(now);
            let mut target = previous
                .remove(&member.id)
                .unwrap_or_else(|| Target::new(member.address, distance, warm_up_start));
            target.refresh(member, distance, slots);
            self.targets.insert(member.id.clone(), target);
        }
        self.had_targets |= !self.targets.is_empty();
        self.subset = subset::select(&self.own_id, nodes, service.connections, &self.targets);
    }

    fn warm_up_start(&self, now: Moment) -> Option<Moment> {
        self.had_targets.then_some(now)
    }

    /// Chooses a target that was not tried yet, and counts an attempt at it as in flight until
    /// [`TargetPool::finish`] is called.
    ///
    /// Returns `None` if every target was tried or is leaving.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::{ChosenTarget, TargetPool}};
    /// # use rand::Rng;
    /// fn retry(
    ///     pool: &mut TargetPool, now: Moment, first: &ChosenTarget, rng: &mut impl Rng,
    /// ) -> Option<ChosenTarget> {
    ///     pool.choose(now, &[first.id.clone()], rng)
    /// }
    /// ```
    pub fn choose(
        &mut self,
        now: Moment,
        tried: &[Name],
        rng: &mut impl Rng,
    ) -> Option<ChosenTarget> {
        let id = match self.best_candidate(now, tried, rng) {
            Some(candidate) => candidate.id,
            None => self.fallback(now, tried)?,
        };
        self.start_attempt(id)
    }

    /// Chooses a target as [`TargetPool::choose`] does, but only one that is expected to have a
    /// free slot.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::TargetPool};
    /// # use crank_protocol::Name;
    /// # use rand::Rng;
    /// fn can_run_at_once(
    ///     pool: &mut TargetPool, now: Moment, tried: &[Name], rng: &mut impl Rng,
    /// ) -> bool {
    ///     pool.choose_with_free_slot(now, tried, rng).is_some()
    /// }
    /// ```
    pub fn choose_with_free_slot(
        &mut self,
        now: Moment,
        tried: &[Name],
        rng: &mut impl Rng,
    ) -> Option<ChosenTarget> {
        let candidate = self.best_candidate(now, tried, rng)?;
        if candidate.utilization > FULL_UTILIZATION {
            return None;
        }
        self.start_attempt(candidate.id)
    }

    fn start_attempt(&mut self, id: Name) -> Option<ChosenTarget> {
        let target = self.targets.get_mut(&id)?;
        target.start_attempt();
        let address = target.address;
        Some(ChosenTarget { id, address })
    }

    fn best_candidate(&self, now: Moment, tried: &[Name], rng: &mut impl Rng) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for distance in DISTANCES {
            let Some(candidate) = self.better_of_two(now, distance, tried, rng) else {
                continue;
            };
            let has_free_slot = candidate.utilization <= FULL_UTILIZATION;
            if best
                .as_ref()
                .is_none_or(|best| candidate.score < best.score)
            {
                best = Some(candidate);
            }
            if has_free_slot {
                break;
            }
        }
        best
    }

    fn better_of_two(
        &self,
        now: Moment,
        distance: Distance,
        tried: &[Name],
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let mut eligible: Vec<&Name> = self
            .subset
            .get(&distance)?
            .iter()
            .filter(|id| !tried.contains(id))
            .filter(|id| {
                self.targets
                    .get(*id)
                    .is_some_and(|target| target.is_eligible(now))
            })
            .collect();
        let first = self.draw(now, &mut eligible, rng)?;
        let second = self.draw(now, &mut eligible, rng);
        let candidate = |id: &Name| self.evaluate(now, distance, id);
        let first = candidate(first)?;
        match second.and_then(candidate) {
            Some(second) if second.score < first.score => Some(second),
            Some(_) | None => Some(first),
        }
    }

    /// Draws a target and removes it from `eligible`.
    ///
    /// A target in slow start is redrawn with a probability that falls as it warms up.
    fn draw<'a>(
        &self,
        now: Moment,
        eligible: &mut Vec<&'a Name>,
        rng: &mut impl Rng,
    ) -> Option<&'a Name> {
        if eligible.is_empty() {
            return None;
        }
        let mut index = rng.random_range(0..eligible.len());
        if rng.random::<f64>() > self.slow_start_share(now, eligible[index]) {
            index = rng.random_range(0..eligible.len());
        }
        Some(eligible.swap_remove(index))
    }

    fn slow_start_share(&self, now: Moment, id: &Name) -> f64 {
        self.targets
            .get(id)
            .map_or(0.0, |target| target.slow_start_share(now, self.warm_up))
    }

    fn evaluate(&self, now: Moment, distance: Distance, id: &Name) -> Option<Candidate> {
        let target = self.targets.get(id)?;
        let utilization = target.utilization(now, self.warm_up);
        Some(Candidate {
            utilization,
            score: target.cost(now, utilization) + distance.penalty(),
            id: id.clone(),
        })
    }

    /// Returns the nearest untried target with the fewest requests in flight, even if it is
    /// ejected or outside the subset: when all others were tried or ejected, it may still answer.
    fn fallback(&self, now: Moment, tried: &[Name]) -> Option<Name> {
        self.targets
            .iter()
            .filter(|(id, target)| !tried.contains(id) && !target.is_leaving(now))
            .min_by_key(|(_, target)| (target.distance, target.in_flight()))
            .map(|(id, _)| id.clone())
    }

    /// Records the result of an attempt and the load that the target reported with it, and ejects
    /// the target if it fails or is slow.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::{AttemptResult, ChosenTarget, TargetPool}};
    /// fn record_failure(pool: &mut TargetPool, now: Moment, choice: &ChosenTarget) {
    ///     pool.finish(now, &choice.id, AttemptResult::Failed, None);
    /// }
    /// ```
    pub fn finish(&mut self, now: Moment, id: &Name, result: AttemptResult, load: Option<Load>) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.finish(now, result, load);
        eject::eject_if_unhealthy(now, &mut self.targets, id);
    }

    /// Returns the targets that the node may connect to.
    ///
    /// ```
    /// # use crank_engine::balance::TargetPool;
    /// fn has_no_targets(pool: &TargetPool) -> bool {
    ///     pool.targets().count() == 0
    /// }
    /// ```
    pub fn targets(&self) -> impl Iterator<Item = &Name> {
        self.subset.values().flatten()
    }

    /// Returns the targets that are ejected now.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::TargetPool};
    /// fn has_no_ejected_targets(pool: &TargetPool, now: Moment) -> bool {
    ///     pool.ejected(now).count() == 0
    /// }
    /// ```
    pub fn ejected(&self, now: Moment) -> impl Iterator<Item = &Name> {
        self.targets
            .iter()
            .filter(move |(_, target)| target.is_ejected(now))
            .map(|(id, _)| id)
    }

    /// Returns the total number of slots of all targets.
    ///
    /// ```
    /// # use crank_engine::balance::TargetPool;
    /// fn has_room_for(pool: &TargetPool, requests: u32) -> bool {
    ///     pool.slots() >= requests
    /// }
    /// ```
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.targets.values().map(|target| target.slots).sum()
    }
}

/// A target that was drawn for an attempt.
///
/// The utilization assumes that the target gets the request; the score is what the request costs
/// there plus the penalty for the distance, and the lowest score wins.
#[derive(Debug)]
struct Candidate {
    utilization: f64,
    score: f64,
    id: Name,
}

fn is_up(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Suspect)
}

/// Returns the number of slots that a member offers for a service, or `None` if it offers none.
fn usable_slots(member: &Member, name: &Name, service: &Service) -> Option<u32> {
    let endpoint = member.endpoint.as_ref()?;
    let is_ready = &endpoint.service == name && endpoint.stage == Stage::Ready;
    let slots = endpoint.slots.min(service.slots);
    (is_ready && slots > 0 && is_up(member)).then_some(slots)
}
