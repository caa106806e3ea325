//! Spreading and restarts: three proxies in two data centres, and the store.
//!
//! Versions are accepted in order, as [`crate::publish`] shows. Any accepted version, whole or as a
//! delta from any earlier one, may reach any proxy at any moment, any number of times, in any order
//! or damaged; that covers lost, late, doubled and crossed messages.

mod proxy;

use std::sync::Arc;

use crank_engine::config;
use crank_protocol::Name;
use crank_protocol::config::{Config, Delta, Snapshot, Stamp, Version};
use crank_protocol::member::{Member, Place};

use crate::Invariant;
use crate::explore::Step;
use crate::folder::{GOOD, Table};
use proxy::{Outcomes, Proxy};

const PROXIES: usize = 3;
const DATA_CENTRES: [&str; PROXIES] = ["one", "one", "two"];

/// What keeps spreading safe; a search takes out one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// Only a later version replaces what is held.
    LaterOnly,
    /// A delta applies only to the base that it names.
    ExactBase,
    /// The result of a delta must have the digest that it states.
    ResultDigest,
    /// A starting proxy serves only with evidence that it holds the fleet's version.
    StartEvidence,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spread {
    without: Option<Guard>,
    full_promise: bool,
    snapshots: Vec<Snapshot>,
    members: Vec<Member>,
    outcomes: Outcomes,
}

/// The accepted version, and what each proxy holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    head: usize,
    proxies: [Proxy; PROXIES],
    broken: Option<Invariant>,
}

/// A message that may reach a proxy; versions are counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Message {
    Whole(usize),
    WholeDamaged(usize),
    Delta(usize, usize),
    DeltaDamaged(usize, usize),
}

impl Spread {
    /// The specification, whole or without one guard.
    ///
    /// ```
    /// use crank_model::spread::Spread;
    /// let spec = Spread::new(None);
    /// assert!(!spec.steps(&spec.start()).is_empty());
    /// ```
    #[must_use]
    pub fn new(without: Option<Guard>) -> Self {
        let table = Table::new();
        let snapshots = GOOD.iter().zip(1..).map(|(content, number)| Snapshot {
            stamp: Stamp {
                version: Version(number),
                digest: table.digest(*content).clone(),
            },
            config: table.config(*content).clone(),
        });
        let mut spec = Self {
            without,
            full_promise: false,
            snapshots: snapshots.collect(),
            members: (0..PROXIES).filter_map(member).collect(),
            outcomes: Outcomes::new(),
        };
        spec.outcomes = spec.outcomes();
        spec
    }

    /// The specification with a promise that the system does not make: that a proxy which restarts
    /// while the store is down serves nothing older than it served before the restart.
    ///
    /// ```
    /// use crank_model::spread::Spread;
    /// let spec = Spread::with_full_promise();
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn with_full_promise() -> Self {
        Self {
            full_promise: true,
            ..Self::new(None)
        }
    }

    /// Nothing is accepted, and all proxies have just started.
    ///
    /// ```
    /// # use crank_model::spread::Spread;
    /// let spec = Spread::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn start(&self) -> State {
        State {
            head: 0,
            proxies: [Proxy::default(); PROXIES],
            broken: None,
        }
    }

    /// The invariant that a state breaks.
    ///
    /// ```
    /// # use crank_model::spread::Spread;
    /// # let spec = Spread::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn broken(&self, state: &State) -> Option<Invariant> {
        state.broken
    }

    /// Whether the last version is in force on every proxy.
    ///
    /// ```
    /// # use crank_model::spread::Spread;
    /// # let spec = Spread::new(None);
    /// assert!(!spec.is_goal(&spec.start()));
    /// ```
    #[must_use]
    pub fn is_goal(&self, state: &State) -> bool {
        let last = self.snapshots.len();
        let mut proxies = state.proxies.iter();
        state.head == last && proxies.all(|proxy| proxy.ready && proxy.held == last)
    }

    /// Everything that may happen next.
    ///
    /// ```
    /// # use crank_model::spread::Spread;
    /// # let spec = Spread::new(None);
    /// assert_eq!(spec.steps(&spec.start())[0].label, "version 1 is accepted");
    /// ```
    #[must_use]
    pub fn steps(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        if state.broken.is_some() {
            return steps;
        }
        if state.head < self.snapshots.len() {
            let mut next = state.clone();
            next.head += 1;
            let label = format!("version {} is accepted", next.head);
            steps.push(Step { label, next });
        }
        for proxy in 0..PROXIES {
            self.proxy_steps(state, proxy, &mut steps);
        }
        steps
    }

    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    fn snapshot(&self, number: usize) -> Option<&Snapshot> {
        self.snapshots.get(number.checked_sub(1)?)
    }

    fn stamp(&self, number: usize) -> Option<Stamp> {
        self.snapshot(number).map(|snapshot| snapshot.stamp.clone())
    }

    fn delta(&self, base: usize, result: usize) -> Option<Delta> {
        let (base, result) = (self.snapshot(base)?, self.snapshot(result)?);
        Some(config::diff(base, result))
    }
}

fn messages(head: usize) -> Vec<Message> {
    let mut messages = Vec::new();
    for result in 1..=head {
        messages.extend([Message::Whole(result), Message::WholeDamaged(result)]);
        for base in 1..result {
            messages.push(Message::Delta(base, result));
            messages.push(Message::DeltaDamaged(base, result));
        }
    }
    messages
}

/// A whole configuration whose routes were lost on the way.
fn damaged(snapshot: &Snapshot) -> Snapshot {
    let config = Config {
        routes: Default::default(),
        ..snapshot.config.clone()
    };
    let stamp = snapshot.stamp.clone();
    Snapshot { stamp, config }
}

/// A delta whose last change was lost on the way.
fn cut(mut delta: Delta) -> Delta {
    delta.changes.pop();
    delta
}

fn member(number: usize) -> Option<Member> {
    let name = |text: &str| Name::try_from(Arc::from(text)).ok();
    Some(Member {
        id: name(&format!("proxy-{}", number + 1))?,
        place: Place {
            region: name("region")?,
            data_centre: name(DATA_CENTRES[number])?,
        },
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        link: 0,
        state: crank_protocol::member::State::Alive,
        endpoint: None,
    })
}
