//! One service's requests as a discrete-event simulation of the engine's own decisions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crank_engine::Moment;
use crank_engine::admission::Admission;
use crank_engine::balance::{AttemptResult, ChosenTarget, Distance, TargetPool};
use crank_engine::limit::{Capacity, Decision, PendingRequest};
use crank_engine::retry::{self, RetryBudget, RetryContext};
use crank_protocol::Millis;
use crank_protocol::call::{Load, Refusal};
use crank_protocol::config::Importance;
use crank_protocol::member::{Member, Stage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::parts::{
    Entry, Event, Reply, Request, Seen, Sent, Server, full, member, micros, name, service,
};
use crate::setup::{Chooser, Fault, Figures, Queueing, Setup, Trouble};

const SECOND: u64 = 1_000_000;
const MILLI: u64 = 1_000;

/// The simulation.
pub(crate) struct World {
    setup: Setup,
    rng: ChaCha8Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    sent: Vec<Sent>,
    figures: Figures,
}

impl World {
    /// A world at its beginning.
    pub(crate) fn new(setup: Setup) -> Self {
        let queue = match setup.queueing {
            Queueing::Endless => u32::MAX,
            Queueing::Engine => setup.queue,
        };
        let size = Capacity {
            slots: setup.slots,
            queue,
        };
        let servers = setup.servers.iter().enumerate().map(|(number, place)| {
            let mut admission = Admission::new(size);
            admission.set_stage(Moment(0), Stage::Ready, Millis(0));
            Server {
                id: name("server", number),
                place: place.clone(),
                admission,
            }
        });
        let entries = setup
            .entries
            .iter()
            .enumerate()
            .map(|(number, place)| Entry {
                place: place.clone(),
                pool: TargetPool::new(name("entry", number), place.clone()),
                budget: RetryBudget::new(setup.retry_budget),
            });
        Self {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now: 0,
            events: BinaryHeap::new(),
            order: 0,
            entries: entries.collect(),
            servers: servers.collect(),
            requests: Vec::new(),
            sent: Vec::new(),
            figures: Figures::default(),
            setup,
        }
    }

    /// Runs to the end.
    pub(crate) fn run(mut self) -> Figures {
        let joins: Vec<f64> = self
            .setup
            .troubles
            .iter()
            .map(|trouble| trouble.from)
            .collect();
        self.at(0, Event::Members);
        for join in joins {
            self.at(micros(join), Event::Members);
        }
        for entry in 0..self.entries.len() {
            self.next_arrival(entry);
        }
        let end = micros(self.setup.seconds);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.step(event);
        }
        self.figures.latencies.sort_unstable();
        let counted = self.setup.seconds * 0.75;
        self.figures.capacity = self.capacity() * counted;
        self.figures
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive { entry } => self.arrive(entry),
            Event::Reach { attempt } => self.reach(attempt),
            Event::Served { attempt } => self.served(attempt),
            Event::Back {
                attempt,
                answer,
                load,
            } => self.back(attempt, answer, load),
            Event::Expire { request } => self.expire(request),
            Event::Members => self.members(),
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn capacity(&self) -> f64 {
        let slots = f64::from(self.setup.slots) * self.servers.len() as f64;
        slots * 1_000.0 / self.setup.mean
    }

    fn next_arrival(&mut self, entry: usize) {
        let rate = self.setup.load * self.capacity() / self.entries.len() as f64;
        let gap = self.exponential(SECOND as f64 / rate);
        self.at(self.now + gap, Event::Arrive { entry });
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let draw: f64 = self.rng.random();
        (-(1.0 - draw).ln() * mean) as u64
    }

    fn members(&mut self) {
        let service = service(&self.setup);
        let name = crate::named("service");
        let now = Moment(self.now);
        let members: Vec<Member> = (0..self.servers.len())
            .filter(|server| !self.is_absent(*server))
            .map(|server| member(&self.servers[server], self.setup.slots))
            .collect();
        for entry in &mut self.entries {
            entry.pool.update(now, &name, &service, &members);
        }
    }

    fn is_absent(&self, server: usize) -> bool {
        self.setup.troubles.iter().any(|trouble| {
            trouble.server == server
                && matches!(trouble.fault, Fault::Cold(_))
                && self.now < micros(trouble.from)
        })
    }

    fn trouble(&self, server: usize) -> Option<Trouble> {
        let mut troubles = self.setup.troubles.iter();
        troubles
            .find(|trouble| {
                let time = micros(trouble.from)..micros(trouble.until);
                trouble.server == server && time.contains(&self.now)
            })
            .copied()
    }

    fn counts(&self, request: usize) -> bool {
        self.requests[request].began as f64 > self.setup.seconds * SECOND as f64 / 4.0
    }

    fn arrive(&mut self, entry: usize) {
        self.next_arrival(entry);
        let deadline = Moment(self.now).after(self.setup.timeout).0;
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            began: self.now,
            deadline,
            tried: Vec::new(),
            is_done: false,
            open: None,
        });
        self.at(deadline, Event::Expire { request });
        self.entries[entry].budget.record_request();
        self.figures.offered += u64::from(self.counts(request));
        self.send(request);
    }

    fn send(&mut self, request: usize) {
        let Some(server) = self.choose(request) else {
            self.fail(request, false);
            return;
        };
        let attempt = self.sent.len();
        self.sent.push(Sent {
            request,
            server,
            began: self.now,
            runs: false,
        });
        let held = &mut self.requests[request];
        held.tried.push(self.servers[server].id.clone());
        held.open = Some(attempt);
        if self.counts(request) {
            self.figures.attempts += 1;
            self.figures.far += u64::from(self.distance(attempt) == Distance::Far);
        }
        self.at(self.now + self.delay(attempt), Event::Reach { attempt });
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        let held = &self.requests[request];
        match self.setup.chooser {
            Chooser::Random => {
                let open: Vec<usize> = (0..self.servers.len())
                    .filter(|server| !self.is_absent(*server))
                    .filter(|server| !held.tried.contains(&self.servers[*server].id))
                    .collect();
                (!open.is_empty()).then(|| open[self.rng.random_range(0..open.len())])
            }
            Chooser::Engine => {
                let pool = &mut self.entries[held.entry].pool;
                let ChosenTarget { id, .. } =
                    pool.choose(Moment(self.now), &held.tried, &mut self.rng)?;
                self.servers.iter().position(|server| server.id == id)
            }
        }
    }

    fn distance(&self, attempt: usize) -> Distance {
        let sent = &self.sent[attempt];
        let entry = &self.entries[self.requests[sent.request].entry];
        Distance::between(&entry.place, &self.servers[sent.server].place)
    }

    /// One way.
    fn delay(&self, attempt: usize) -> u64 {
        match self.distance(attempt) {
            Distance::Near => MILLI / 10,
            Distance::Region => MILLI,
            Distance::Far => 8 * MILLI,
        }
    }

    fn reach(&mut self, attempt: usize) {
        let (server, request) = (self.sent[attempt].server, self.sent[attempt].request);
        match self.trouble(server).map(|trouble| trouble.fault) {
            Some(Fault::Dead) => self.reply(attempt, Reply::Unreached, None),
            Some(Fault::Silent) => {}
            _ => {
                let deadline = match self.setup.queueing {
                    Queueing::Endless => Moment(u64::MAX),
                    Queueing::Engine => Moment(self.requests[request].deadline),
                };
                let ticket = PendingRequest {
                    id: attempt as u64,
                    importance: Importance::Normal,
                    deadline,
                    depth: 0,
                    expected_run_time: None,
                };
                let admission = &mut self.servers[server].admission;
                let steps = admission.admit(Moment(self.now), ticket);
                self.carry_out(steps);
            }
        }
    }

    fn carry_out(&mut self, steps: Vec<Decision>) {
        for step in steps {
            match step {
                Decision::Run { id } => self.serve(id as usize),
                Decision::Refuse { id, refusal } => {
                    let reply = match refusal {
                        Refusal::TooLate => Reply::TooLate,
                        _ => Reply::Full,
                    };
                    self.reply(id as usize, reply, Some(self.load(id as usize)));
                }
            }
        }
    }

    fn serve(&mut self, attempt: usize) {
        self.sent[attempt].runs = true;
        let factor = match self.trouble(self.sent[attempt].server) {
            Some(Trouble {
                fault: Fault::Slow(factor),
                ..
            }) => factor,
            Some(Trouble {
                fault: Fault::Cold(factor),
                from,
                until,
                ..
            }) => {
                let age = (self.now as f64 / SECOND as f64 - from) / (until - from);
                1.0 + (factor - 1.0) * (1.0 - age)
            }
            _ => 1.0,
        };
        let took = self.exponential(self.setup.mean * MILLI as f64 * factor);
        self.at(self.now + took, Event::Served { attempt });
    }

    fn load(&self, attempt: usize) -> Seen {
        let Load {
            running,
            waiting,
            slots,
        } = self.servers[self.sent[attempt].server].admission.load();
        Seen {
            running,
            waiting,
            slots,
        }
    }

    fn served(&mut self, attempt: usize) {
        let server = self.sent[attempt].server;
        let steps = self.servers[server]
            .admission
            .finish(Moment(self.now), attempt as u64);
        self.carry_out(steps);
        self.reply(attempt, Reply::Answered, Some(self.load(attempt)));
    }

    fn reply(&mut self, attempt: usize, answer: Reply, load: Option<Seen>) {
        let time = self.now + self.delay(attempt);
        self.at(
            time,
            Event::Back {
                attempt,
                answer,
                load,
            },
        );
    }

    fn back(&mut self, attempt: usize, answer: Reply, load: Option<Seen>) {
        let (request, began) = (self.sent[attempt].request, self.sent[attempt].began);
        if self.requests[request].is_done {
            return;
        }
        let micros = self.now - began;
        let (end, refusal) = match answer {
            Reply::Answered => (AttemptResult::Answered { micros }, None),
            Reply::Full => (AttemptResult::Full, Some(full())),
            Reply::TooLate => (AttemptResult::Unrelated, Some(Refusal::TooLate)),
            Reply::Unreached => (AttemptResult::Failed, Some(Refusal::NotSent)),
        };
        self.finish(attempt, end, load);
        match refusal {
            None => self.succeed(request),
            Some(refusal) => self.again(request, refusal),
        }
    }

    fn finish(&mut self, attempt: usize, end: AttemptResult, load: Option<Seen>) {
        let sent = &self.sent[attempt];
        let id = &self.servers[sent.server].id;
        let entry = self.requests[sent.request].entry;
        let end = if self.setup.ejection {
            end
        } else {
            AttemptResult::Unrelated
        };
        let load = load.map(
            |Seen {
                 running,
                 waiting,
                 slots,
             }| Load {
                running,
                waiting,
                slots,
            },
        );
        let pool = &mut self.entries[entry].pool;
        pool.finish(Moment(self.now), id, end, load);
    }

    fn again(&mut self, request: usize, refusal: Refusal) {
        let held = &self.requests[request];
        let attempt = RetryContext {
            idempotent: false,
            depth: 0,
            attempts: held.tried.len() as u32,
            reached: 0,
            max_reached: retry::MAX_ATTEMPTS,
            deadline: Moment(held.deadline),
        };
        let budget = &mut self.entries[held.entry].budget;
        let refused = retry::refused(refusal, None);
        if retry::approve_retry(Moment(self.now), attempt, &refused, budget) {
            self.send(request);
        } else {
            self.fail(request, false);
        }
    }

    fn succeed(&mut self, request: usize) {
        self.requests[request].is_done = true;
        if self.counts(request) {
            let took = self.now - self.requests[request].began;
            self.figures.latencies.push(took);
        }
    }

    fn fail(&mut self, request: usize, unknown: bool) {
        self.requests[request].is_done = true;
        if self.counts(request) {
            self.figures.unknown += u64::from(unknown);
            self.figures.refused += u64::from(!unknown);
        }
    }

    fn expire(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        self.fail(request, true);
        if let Some(attempt) = self.requests[request].open {
            let micros = self.now - self.sent[attempt].began;
            self.finish(attempt, AttemptResult::Slow { micros }, None);
            self.leave_queue(attempt);
        }
    }

    /// The caller's leaving takes a request out of a queue, but does not stop one that runs.
    fn leave_queue(&mut self, attempt: usize) {
        if self.setup.queueing == Queueing::Engine && !self.sent[attempt].runs {
            let server = self.sent[attempt].server;
            let admission = &mut self.servers[server].admission;
            let steps = admission.finish(Moment(self.now), attempt as u64);
            self.carry_out(steps);
        }
    }
}
