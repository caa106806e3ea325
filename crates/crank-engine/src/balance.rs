//! The choice of a target: load and distance, ejection, gentle start.

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
use target::Target;

pub use eject::{CONSECUTIVE_FAILURES, MAX_EJECTION_TIME, MIN_EJECTION_TIME};
pub use subset::{MIN_LOCAL_TARGETS, MIN_REMOTE_TARGETS};

/// The share of a target's slots beyond which farther targets are weighed too.
const FULL: f64 = 1.0;

/// How far a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In the same data centre.
    Near,
    /// In another data centre of the same region.
    Region,
    /// In another region.
    Far,
}

const DISTANCES: [Distance; 3] = [Distance::Near, Distance::Region, Distance::Far];

impl Distance {
    /// How far one place is from another.
    ///
    /// ```
    /// use crank_engine::balance::Distance;
    /// use crank_protocol::{Name, member::Place};
    /// let place = |region: &str, data_centre: &str| Place {
    ///     region: Name::new(region).unwrap(),
    ///     data_centre: Name::new(data_centre).unwrap(),
    /// };
    /// let here = place("bahia", "b1");
    /// assert_eq!(Distance::between(&here, &place("bahia", "b2")), Distance::Region);
    /// assert_eq!(Distance::between(&here, &place("maranhao", "m1")), Distance::Far);
    /// ```
    #[must_use]
    pub fn between(one: &Place, other: &Place) -> Self {
        if one.region != other.region {
            Self::Far
        } else if one.data_centre != other.data_centre {
            Self::Region
        } else {
            Self::Near
        }
    }

    /// What the way costs, as a share of a target's slots.
    fn handicap(self) -> f64 {
        match self {
            Self::Near => 0.0,
            Self::Region => 0.1,
            Self::Far => 1.5,
        }
    }
}

/// A chosen target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChosenTarget {
    /// The target's node.
    pub id: Name,
    /// Where that node takes connections from other nodes.
    pub address: SocketAddr,
}

/// How an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// It answered.
    Answered {
        /// How long its answer took to begin, in microseconds.
        micros: u64,
    },
    /// It refused for want of room.
    Full,
    /// It takes no new work.
    Leaving,
    /// It gave no answer in the time there was.
    Slow {
        /// How long it was waited for, in microseconds.
        micros: u64,
    },
    /// It failed, or the way to it did.
    Failed,
    /// The attempt says nothing of the target.
    Unrelated,
}

/// The targets of one service, as one node sees them.
///
/// The choice is between two drawn at random, by the load that their own answers told. Own data
/// centre goes before region before far, as long as a nearer one has room.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPool {
    own: Name,
    place: Place,
    warm_up: Millis,
    known: BTreeMap<Name, Target>,
    subset: BTreeMap<Distance, Vec<Name>>,
    seen_before: bool,
}

impl TargetPool {
    /// A pool without targets, for the node of this name and place.
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
    pub fn new(own: Name, place: Place) -> Self {
        Self {
            own,
            place,
            warm_up: Millis(0),
            known: BTreeMap::new(),
            subset: BTreeMap::new(),
            seen_before: false,
        }
    }

    /// Takes the service's policy and the members as they are now.
    ///
    /// A target that stays keeps what was learnt of it. One that appears later than the first
    /// members starts gently.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::TargetPool};
    /// # use crank_protocol::{Name, config::Service, member::Member};
    /// fn refresh(pool: &mut TargetPool, now: Moment, name: &Name, service: &Service, all: &[Member]) {
    ///     pool.update(now, name, service, all);
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
        let mut old = std::mem::take(&mut self.known);
        let mut nodes = 0;
        for member in members {
            nodes += usize::from(is_up(member));
            let Some(slots) = slots_of(member, name, service) else {
                continue;
            };
            let distance = Distance::between(&self.place, &member.place);
            let began = self.began(now);
            let mut target = old
                .remove(&member.id)
                .unwrap_or_else(|| Target::new(member.address, distance, began));
            target.refresh(member, distance, slots);
            self.known.insert(member.id.clone(), target);
        }
        self.seen_before |= !self.known.is_empty();
        self.subset = subset::pick(&self.own, nodes, service.connections, &self.known);
    }

    fn began(&self, now: Moment) -> Option<Moment> {
        self.seen_before.then_some(now)
    }

    /// Chooses a target that was not tried yet, and counts the attempt as in flight until
    /// [`TargetPool::finish`].
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::{ChosenTarget, TargetPool}};
    /// fn another(pool: &mut TargetPool, now: Moment, first: &ChosenTarget, rng: &mut impl rand::Rng) -> bool {
    ///     pool.choose(now, &[first.id.clone()], rng).is_some()
    /// }
    /// ```
    pub fn choose(
        &mut self,
        now: Moment,
        tried: &[Name],
        rng: &mut impl Rng,
    ) -> Option<ChosenTarget> {
        let id = match self.weigh(now, tried, rng) {
            Some(found) => found.id,
            None => self.last_resort(now, tried)?,
        };
        self.begin(id)
    }

    /// The same, but only a target that seems to have a slot free.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::TargetPool};
    /// # use crank_protocol::Name;
    /// fn may_run_at_once(pool: &mut TargetPool, now: Moment, asked: &[Name], rng: &mut impl rand::Rng) -> bool {
    ///     pool.choose_with_free_slot(now, asked, rng).is_some()
    /// }
    /// ```
    pub fn choose_with_free_slot(
        &mut self,
        now: Moment,
        asked: &[Name],
        rng: &mut impl Rng,
    ) -> Option<ChosenTarget> {
        let found = self.weigh(now, asked, rng)?;
        if found.used > FULL {
            return None;
        }
        self.begin(found.id)
    }

    fn begin(&mut self, id: Name) -> Option<ChosenTarget> {
        let target = self.known.get_mut(&id)?;
        target.begin();
        let address = target.address;
        Some(ChosenTarget { id, address })
    }

    fn weigh(&self, now: Moment, tried: &[Name], rng: &mut impl Rng) -> Option<Scored> {
        let mut best: Option<Scored> = None;
        for distance in DISTANCES {
            let Some(found) = self.better_of_two(now, distance, tried, rng) else {
                continue;
            };
            let has_room = found.used <= FULL;
            if best.as_ref().is_none_or(|best| found.score < best.score) {
                best = Some(found);
            }
            if has_room {
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
    ) -> Option<Scored> {
        let mut open: Vec<&Name> = self
            .subset
            .get(&distance)?
            .iter()
            .filter(|id| !tried.contains(id))
            .filter(|id| {
                self.known
                    .get(*id)
                    .is_some_and(|target| target.is_open(now))
            })
            .collect();
        let first = self.draw(now, &mut open, rng)?;
        let second = self.draw(now, &mut open, rng);
        let scored = |id: &Name| self.score(now, distance, id);
        let first = scored(first)?;
        match second.and_then(scored) {
            Some(second) if second.score < first.score => Some(second),
            Some(_) | None => Some(first),
        }
    }

    /// Draws one; a target that starts gently is passed over as long as it is cold.
    fn draw<'a>(
        &self,
        now: Moment,
        open: &mut Vec<&'a Name>,
        rng: &mut impl Rng,
    ) -> Option<&'a Name> {
        if open.is_empty() {
            return None;
        }
        let mut index = rng.random_range(0..open.len());
        if rng.random::<f64>() > self.warmth(now, open[index]) {
            index = rng.random_range(0..open.len());
        }
        Some(open.swap_remove(index))
    }

    fn warmth(&self, now: Moment, id: &Name) -> f64 {
        self.known
            .get(id)
            .map_or(0.0, |target| target.warmth(now, self.warm_up))
    }

    fn score(&self, now: Moment, distance: Distance, id: &Name) -> Option<Scored> {
        let target = self.known.get(id)?;
        let used = target.used(now, self.warm_up);
        Some(Scored {
            used,
            score: used + distance.handicap(),
            id: id.clone(),
        })
    }

    /// With all others tried or ejected, an ejected one is better than none.
    fn last_resort(&self, now: Moment, tried: &[Name]) -> Option<Name> {
        self.known
            .iter()
            .filter(|(id, target)| !tried.contains(id) && !target.is_leaving(now))
            .min_by_key(|(_, target)| (target.distance, target.in_flight()))
            .map(|(id, _)| id.clone())
    }

    /// An attempt has ended.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::{ChosenTarget, AttemptResult, TargetPool}};
    /// fn lost(pool: &mut TargetPool, now: Moment, choice: &ChosenTarget) {
    ///     pool.finish(now, &choice.id, AttemptResult::Failed, None);
    /// }
    /// ```
    pub fn finish(&mut self, now: Moment, id: &Name, end: AttemptResult, load: Option<Load>) {
        let Some(target) = self.known.get_mut(id) else {
            return;
        };
        target.finish(now, end, load);
        eject::review(now, &mut self.known, id);
    }

    /// The targets that the node may connect to.
    ///
    /// ```
    /// # use crank_engine::balance::TargetPool;
    /// fn is_alone(pool: &TargetPool) -> bool {
    ///     pool.targets().count() == 0
    /// }
    /// ```
    pub fn targets(&self) -> impl Iterator<Item = &Name> {
        self.subset.values().flatten()
    }

    /// The targets that are ejected now.
    ///
    /// ```
    /// # use crank_engine::{Moment, balance::TargetPool};
    /// fn all_in(pool: &TargetPool, now: Moment) -> bool {
    ///     pool.ejected(now).count() == 0
    /// }
    /// ```
    pub fn ejected(&self, now: Moment) -> impl Iterator<Item = &Name> {
        self.known
            .iter()
            .filter(move |(_, target)| target.is_ejected(now))
            .map(|(id, _)| id)
    }

    /// The slots of all targets together.
    ///
    /// ```
    /// # use crank_engine::balance::TargetPool;
    /// fn has_room_for(pool: &TargetPool, requests: u32) -> bool {
    ///     pool.slots() >= requests
    /// }
    /// ```
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.known.values().map(|target| target.slots).sum()
    }
}

#[derive(Debug)]
struct Scored {
    used: f64,
    score: f64,
    id: Name,
}

fn is_up(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Suspect)
}

fn slots_of(member: &Member, name: &Name, service: &Service) -> Option<u32> {
    let endpoint = member.endpoint.as_ref()?;
    let serves = &endpoint.service == name && endpoint.stage == Stage::Ready;
    let slots = endpoint.slots.min(service.slots);
    (serves && slots > 0 && is_up(member)).then_some(slots)
}
