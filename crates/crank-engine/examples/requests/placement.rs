//! Where a request goes: the engine's choice and the ways that it is compared with.

use crank_engine::Moment;
use crank_engine::balance::{AttemptResult, Distance};
use crank_engine::ewma::Ewma;
use crank_protocol::Name;
use crank_protocol::call::Load;
use rand::RngExt;

use crate::model::Event;
use crate::setup::TargetChoice;
use crate::simulation::Simulation;

/// The number of targets that the hot and cold rule looks at.
const HOT_COLD_DRAWS: usize = 3;
/// A target with more than this share of its slots in use is hot.
const HOT_SHARE: f64 = 0.75;
/// An offered slot is used within this time, in microseconds, or lapses.
const OFFER_TIME: u64 = 100_000;
const MILLI: u64 = 1_000;

/// A server for an attempt, and whether the attempt may wait in its queue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placement {
    pub(crate) server: usize,
    pub(crate) may_queue: bool,
}

/// What an entry notes for the choices that it is compared with.
pub(crate) struct Notes {
    offered_slots: Vec<(u64, usize)>,
    loads: Vec<u32>,
    latencies: Vec<Ewma>,
}

impl Notes {
    pub(crate) fn new(servers: usize) -> Self {
        Self {
            offered_slots: Vec::new(),
            loads: vec![0; servers],
            latencies: vec![Ewma::default(); servers],
        }
    }

    pub(crate) fn record(
        &mut self,
        _now: u64,
        server: usize,
        result: AttemptResult,
        load: Option<Load>,
    ) {
        if let Some(load) = load {
            self.loads[server] = load.running + load.waiting;
        }
        if let AttemptResult::Answered { micros } = result {
            self.latencies[server].add(micros);
        }
    }
}

impl Simulation {
    /// Returns the next server to try, if there is one.
    pub(crate) fn place(&mut self, request: usize) -> Option<Placement> {
        match self.setup.target_choice {
            TargetChoice::Random => self.random_server(request),
            TargetChoice::JoinIdleQueue => self
                .offered_server(request)
                .or_else(|| self.engine_choice(request)),
            TargetChoice::HotCold => self
                .hot_cold_server(request)
                .or_else(|| self.engine_choice(request)),
            TargetChoice::Engine | TargetChoice::EngineBySlots | TargetChoice::LateBinding => {
                self.engine_choice(request)
            }
        }
    }

    fn engine_choice(&mut self, request: usize) -> Option<Placement> {
        let state = &self.requests[request];
        let asked: Vec<Name> = [state.tried.as_slice(), state.full.as_slice()].concat();
        let pool = &mut self.entries[state.entry].pool;
        let now = Moment(self.now);
        let probed = (state.full.len() < self.setup.probes)
            .then(|| pool.choose_with_free_slot(now, &asked, &mut self.rng))
            .flatten();
        let may_queue = probed.is_none();
        let chosen = probed.or_else(|| pool.choose(now, &state.tried, &mut self.rng))?;
        let server = self
            .servers
            .iter()
            .position(|server| server.id == chosen.id)?;
        Some(Placement { server, may_queue })
    }

    fn untried_servers(&self, request: usize, is_allowed: impl Fn(Distance) -> bool) -> Vec<usize> {
        let state = &self.requests[request];
        let place = &self.entries[state.entry].place;
        (0..self.servers.len())
            .filter(|server| !self.is_absent(*server))
            .filter(|server| is_allowed(Distance::between(place, &self.servers[*server].place)))
            .filter(|server| {
                let id = &self.servers[*server].id;
                !state.tried.contains(id) && !state.full.contains(id)
            })
            .collect()
    }

    fn random_server(&mut self, request: usize) -> Option<Placement> {
        let eligible = self.untried_servers(request, |_| true);
        let may_queue = true;
        (!eligible.is_empty()).then(|| Placement {
            server: eligible[self.rng.random_range(0..eligible.len())],
            may_queue,
        })
    }

    /// Takes a slot that a server has offered to the entry of the request.
    fn offered_server(&mut self, request: usize) -> Option<Placement> {
        let entry = self.requests[request].entry;
        let now = self.now;
        let offered = &mut self.entries[entry].notes.offered_slots;
        offered.retain(|(at, _)| now < at + OFFER_TIME);
        let untried = self.untried_servers(request, |_| true);
        let offered = &mut self.entries[entry].notes.offered_slots;
        let index = offered
            .iter()
            .position(|(_, server)| untried.contains(server))?;
        let (_, server) = offered.remove(index);
        let may_queue = false;
        Some(Placement { server, may_queue })
    }

    /// Tells a random entry of the server's data centre that a slot is free.
    pub(crate) fn offer_free_slot(&mut self, server: usize) {
        let load = self.servers[server].admission.load();
        let is_offered = self.setup.target_choice == TargetChoice::JoinIdleQueue;
        if !is_offered || load.running >= load.slots {
            return;
        }
        let place = self.servers[server].place.clone();
        let near: Vec<usize> = (0..self.entries.len())
            .filter(|entry| self.entries[*entry].place == place)
            .collect();
        if near.is_empty() {
            return;
        }
        self.results.messages += 1;
        let entry = near[self.rng.random_range(0..near.len())];
        let offer = (self.now, server);
        self.entries[entry].notes.offered_slots.push(offer);
    }

    fn hot_cold_server(&mut self, request: usize) -> Option<Placement> {
        let mut near = self.untried_servers(request, |distance| distance == Distance::Near);
        let mut drawn = Vec::new();
        while drawn.len() < HOT_COLD_DRAWS && !near.is_empty() {
            drawn.push(near.swap_remove(self.rng.random_range(0..near.len())));
        }
        let notes = &self.entries[self.requests[request].entry].notes;
        let hot = f64::from(self.setup.slots) * HOT_SHARE;
        let cold = drawn
            .iter()
            .filter(|server| f64::from(notes.loads[**server]) <= hot)
            .min_by_key(|server| notes.latencies[**server].mean());
        let server = *cold?;
        let may_queue = false;
        Some(Placement { server, may_queue })
    }

    pub(crate) fn distance(&self, attempt: usize) -> Distance {
        let attempt_state = &self.attempts[attempt];
        let entry = &self.entries[self.requests[attempt_state.request].entry];
        Distance::between(&entry.place, &self.servers[attempt_state.server].place)
    }

    /// Returns the one-way network delay of an attempt in microseconds.
    pub(crate) fn delay(&self, attempt: usize) -> u64 {
        match self.distance(attempt) {
            Distance::Near => MILLI / 10,
            Distance::Region => MILLI,
            Distance::Far => 8 * MILLI,
        }
    }

    /// Asks the entry whether another server has started the request, which takes a round trip; the
    /// slot is empty until then. Returns true if so.
    pub(crate) fn is_bound(&mut self, attempt: usize) -> bool {
        self.results.messages += 2;
        let request = self.attempts[attempt].request;
        let is_bound = self.requests[request].has_started;
        self.requests[request].has_started = true;
        if is_bound {
            let time = self.now + 2 * self.delay(attempt);
            self.schedule(time, Event::RunEnds { attempt });
        }
        is_bound
    }
}
