//! A fleet in simulated time: entries, homes, messages between them, and callers.

use std::collections::{BTreeMap, BTreeSet};

use crank_engine::Moment;
use crank_engine::quota::{EntryLimiter, Fleet, Home, LimitTable, account_hash};
use crank_protocol::Name;
use crank_protocol::config::{ClientAccount, RateLimit, Version};
use crank_protocol::member::{Member, Place, State};
use crank_protocol::quota::{AccountHash, Message};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// The length of a step of the simulation, in microseconds.
pub(crate) const STEP: u64 = 10_000;
pub(crate) const SECOND: u64 = 1_000_000;
/// The window in which the limit must hold.
pub(crate) const WINDOW: u64 = 5 * SECOND;
const MESSAGE_DELAY: u64 = 30_000;
/// How long a request waits at a full service before it is turned away.
const TURN_AWAY_DELAY: u64 = 200_000;
const LOSS: f64 = 0.02;
/// How often each node looks whether reports are due.
const CHECK_INTERVAL: u64 = 100_000;

pub(crate) struct Node {
    limiter: EntryLimiter,
    home: Home,
    fleet: Fleet,
    limits: LimitTable,
    is_up: bool,
}

/// A request that was admitted at a moment.
pub(crate) type Admission = (AccountHash, u64);

pub(crate) struct World {
    pub(crate) now: u64,
    nodes: BTreeMap<Name, Node>,
    members: BTreeMap<Name, Member>,
    /// Nodes by the part of the network that they are in; nodes of different parts are cut off.
    parts: BTreeMap<Name, u32>,
    in_flight: Vec<(u64, Name, Name, Message)>,
    config: (Version, BTreeMap<Name, ClientAccount>),
    pub(crate) admitted: Vec<Admission>,
    pub(crate) refused: Vec<Admission>,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    random: ChaCha8Rng,
    /// The part of the admitted requests that a full service turns away after a while.
    pub(crate) turned_away: f64,
    returns: Vec<(u64, Name, AccountHash)>,
}

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub(crate) fn node_name(number: usize) -> Name {
    name(&format!("node-{number}"))
}

fn member(id: &Name, link: u32) -> Member {
    Member {
        id: id.clone(),
        place: Place {
            region: name("bahia"),
            data_centre: name("bahia-1"),
        },
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        link,
        state: State::Alive,
        endpoint: None,
    }
}

pub(crate) fn limits(limits: &[(&str, u32, u32)]) -> BTreeMap<Name, ClientAccount> {
    let clients = limits.iter().map(|(account, per_second, burst)| {
        let rate = Some(RateLimit {
            per_second: *per_second,
            burst: *burst,
        });
        let client = ClientAccount {
            rate,
            ..ClientAccount::default()
        };
        (name(account), client)
    });
    clients.collect()
}

impl World {
    pub(crate) fn new(seed: u64, nodes: usize, clients: BTreeMap<Name, ClientAccount>) -> Self {
        let mut world = Self {
            now: 0,
            nodes: BTreeMap::new(),
            members: BTreeMap::new(),
            parts: BTreeMap::new(),
            in_flight: Vec::new(),
            config: (Version(1), clients),
            admitted: Vec::new(),
            refused: Vec::new(),
            messages: 0,
            bytes: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            turned_away: 0.0,
            returns: Vec::new(),
        };
        for number in 0..nodes {
            let id = node_name(number);
            // One node in six has a wide link.
            let link = if number % 6 == 0 { 200 } else { 10 };
            world.members.insert(id.clone(), member(&id, link));
        }
        for number in 0..nodes {
            world.start(number);
        }
        world
    }

    pub(crate) fn random(&mut self) -> f64 {
        use rand_chacha::rand_core::Rng;
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Starts the process of a node, without any memory of one before.
    pub(crate) fn start(&mut self, number: usize) {
        let id = node_name(number);
        let mut limiter = EntryLimiter::new(self.now ^ (number as u64) << 32 | 1);
        let limits = LimitTable::new(self.config.0, &self.config.1);
        limiter.set_limits(limits.clone());
        let mut fleet = Fleet::default();
        fleet.update(Moment(self.now), self.members.values());
        let node = Node {
            limiter,
            home: Home::default(),
            fleet,
            limits,
            is_up: true,
        };
        self.nodes.insert(id, node);
    }

    /// Kills the process of a node; the others see its state as given.
    pub(crate) fn kill(&mut self, number: usize) {
        self.nodes.get_mut(&node_name(number)).unwrap().is_up = false;
    }

    /// Puts a node into a part of the network that doesn't reach the others.
    pub(crate) fn cut(&mut self, number: usize, part: u32) {
        self.parts.insert(node_name(number), part);
    }

    pub(crate) fn heal(&mut self) {
        self.parts.clear();
    }

    /// Shows the nodes that `sees` accepts the states of all nodes.
    pub(crate) fn show(&mut self, sees: impl Fn(usize) -> bool, state: impl Fn(usize) -> State) {
        let mut members = self.members.clone();
        for (number, id) in (0..members.len()).map(|number| (number, node_name(number))) {
            members.get_mut(&id).unwrap().state = state(number);
        }
        for number in 0..members.len() {
            if sees(number) {
                let node = self.nodes.get_mut(&node_name(number)).unwrap();
                node.fleet.update(Moment(self.now), members.values());
            }
        }
    }

    /// Puts limits in force at the nodes that `sees` accepts.
    pub(crate) fn configure(
        &mut self,
        version: u64,
        clients: BTreeMap<Name, ClientAccount>,
        sees: impl Fn(usize) -> bool,
    ) {
        self.config = (Version(version), clients);
        for number in 0..self.members.len() {
            if sees(number) {
                let node = self.nodes.get_mut(&node_name(number)).unwrap();
                node.limits = LimitTable::new(self.config.0, &self.config.1);
                node.limiter.set_limits(node.limits.clone());
            }
        }
    }

    /// Runs until a moment. `rate` returns an account's requests a second at a node.
    pub(crate) fn run_until(
        &mut self,
        end: u64,
        accounts: &[&str],
        rate: impl Fn(&str, usize) -> f64,
    ) {
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.give_back();
            for account in accounts {
                for number in 0..self.members.len() {
                    self.send_requests(account, number, rate(account, number));
                }
            }
            self.report();
        }
    }

    fn send_requests(&mut self, account: &str, number: usize, per_second: f64) {
        let expected = per_second * STEP as f64 / SECOND as f64;
        let mut count = expected.floor();
        count += f64::from(u8::from(self.random() < expected - count));
        let node = self.nodes.get_mut(&node_name(number)).unwrap();
        if !node.is_up {
            return;
        }
        let account = account_hash(&name(account));
        let now = Moment(self.now);
        let results: Vec<bool> = (0..count as u64)
            .map(|_| node.limiter.admit(now, account).is_ok())
            .collect();
        for is_admitted in results {
            if !is_admitted {
                self.refused.push((account, self.now));
            } else if self.turned_away > 0.0 && self.random() < self.turned_away {
                let at = self.now + TURN_AWAY_DELAY;
                self.returns.push((at, node_name(number), account));
            } else {
                self.admitted.push((account, self.now));
            }
        }
    }

    fn give_back(&mut self) {
        let now = self.now;
        let returns = std::mem::take(&mut self.returns);
        for (at, id, account) in returns {
            if at > now {
                self.returns.push((at, id, account));
            } else if let Some(node) = self.nodes.get_mut(&id) {
                node.limiter.give_back(account);
            }
        }
    }

    fn report(&mut self) {
        let mut sent = Vec::new();
        for (number, (id, node)) in self.nodes.iter_mut().enumerate() {
            let is_check = (self.now + number as u64 * STEP).is_multiple_of(CHECK_INTERVAL);
            if !node.is_up || !(is_check || node.limiter.is_urgent()) {
                continue;
            }
            for (home, report) in node.limiter.reports(Moment(self.now), &node.fleet) {
                sent.push((id.clone(), home, Message::Report(report)));
            }
        }
        for (from, to, message) in sent {
            self.post(from, to, message);
        }
    }

    fn post(&mut self, from: Name, to: Name, message: Message) {
        self.messages += 1;
        let mut encoded = Vec::new();
        ciborium::into_writer(&message, &mut encoded).unwrap();
        assert!(encoded.len() <= crank_protocol::wire::MAX_PEER_MESSAGE_BYTES);
        self.bytes += encoded.len() as u64;
        if self.random() >= LOSS {
            let at = self.now + MESSAGE_DELAY;
            self.in_flight.push((at, from, to, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        let due: Vec<(u64, Name, Name, Message)> = due;
        for (_, from, to, message) in due {
            let part = |id: &Name| self.parts.get(id).copied().unwrap_or(0);
            if part(&from) == part(&to) && self.nodes[&to].is_up {
                self.receive(from, to, message);
            }
        }
    }

    fn receive(&mut self, from: Name, to: Name, message: Message) {
        let now = Moment(self.now);
        let node = self.nodes.get_mut(&to).unwrap();
        match message {
            Message::Grants(grants) => node.limiter.receive(&from, grants),
            Message::Report(report) => {
                let known = node.fleet.known_nodes(now);
                let shard = report.shard;
                let Some(answer) = node.home.receive(now, &from, &report, known, &node.limits)
                else {
                    return;
                };
                let mut out = vec![(from, answer.grants)];
                if answer.tells_others {
                    out.extend(node.home.tell_others(now, shard, known, &node.limits));
                }
                for (entry, grants) in out {
                    self.post(to.clone(), entry, Message::Grants(grants));
                }
            }
        }
    }

    /// Returns the most requests of an account that were admitted in one window, and when it began.
    pub(crate) fn worst_window(&self, account: &str, from: u64, until: u64) -> (u64, u64) {
        let account = account_hash(&name(account));
        let times: Vec<u64> = self
            .admitted
            .iter()
            .filter(|(of, at)| *of == account && (from..until).contains(at))
            .map(|(_, at)| *at)
            .collect();
        let mut worst = (0, 0);
        let mut first = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] + WINDOW <= *at {
                first += 1;
            }
            worst = worst.max(((last - first + 1) as u64, times[first]));
        }
        worst
    }

    /// Returns the requests of an account between two moments: admitted and refused.
    pub(crate) fn served(&self, account: &str, from: u64, until: u64) -> (u64, u64) {
        let account = account_hash(&name(account));
        let count = |list: &[Admission]| {
            let of = list.iter();
            of.filter(|(of, at)| *of == account && (from..until).contains(at))
                .count() as u64
        };
        (count(&self.admitted), count(&self.refused))
    }

    /// Returns how many of an account's requests one bucket for all nodes would have admitted.
    pub(crate) fn ideal(&self, account: &str, limit: (u32, u32), from: u64, until: u64) -> u64 {
        let hash = account_hash(&name(account));
        let all = self.admitted.iter().chain(&self.refused);
        let mut times: Vec<u64> = all
            .filter(|(of, at)| *of == hash && *at < until)
            .map(|(_, at)| *at)
            .collect();
        times.sort_unstable();
        let (rate, size) = (f64::from(limit.0), f64::from(limit.1));
        let (mut tokens, mut last, mut admitted) = (size, 0, 0);
        for at in times {
            tokens = (tokens + (at - last) as f64 / SECOND as f64 * rate).min(size);
            last = at;
            if tokens >= 1.0 {
                tokens -= 1.0;
                admitted += u64::from(at >= from);
            }
        }
        admitted
    }

    pub(crate) fn nodes_up(&self) -> BTreeSet<Name> {
        let up = self.nodes.iter().filter(|(_, node)| node.is_up);
        up.map(|(id, _)| id.clone()).collect()
    }
}

/// Returns the most requests that may be admitted in a window.
pub(crate) fn allowed(limit: (u32, u32)) -> u64 {
    let requests = f64::from(limit.0) * 5.0 + f64::from(limit.1);
    (requests * 1.1 + 20.0) as u64
}
