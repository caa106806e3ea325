//! A discrete-event simulation of the requests of one service, which uses the engine's decisions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crank_engine::Moment;
use crank_engine::admission::Admission;
use crank_engine::balance::{AttemptResult, Distance, TargetPool};
use crank_engine::ewma::SteadyMean;
use crank_engine::limit::{Capacity, Decision, PendingRequest};
use crank_engine::retry::{self, RetryBudget, RetryContext};
use crank_engine::slowdown::{Run, Slowdown};
use crank_protocol::call::Refusal;
use crank_protocol::config::Importance;
use crank_protocol::member::{Member, Stage};
use crank_protocol::{Millis, Permille};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::{
    Attempt, Entry, Event, Reply, ReportedLoad, Request, Server, member, micros, numbered_name,
    overload_refusal, service,
};
use crate::placement::{Notes, Placement};
use crate::setup::{Fault, FaultWindow, Queueing, Results, Setup, TargetChoice};

const SECOND: u64 = 1_000_000;
const MILLI: u64 = 1_000;

/// A simulation of entry nodes and backend servers; times are in microseconds.
pub(crate) struct Simulation {
    pub(crate) setup: Setup,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    pub(crate) entries: Vec<Entry>,
    pub(crate) servers: Vec<Server>,
    pub(crate) requests: Vec<Request>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) results: Results,
}

impl Simulation {
    /// Creates a simulation at time zero.
    pub(crate) fn new(setup: Setup) -> Self {
        let queue = match setup.queueing {
            Queueing::Endless => u32::MAX,
            Queueing::Engine => setup.queue,
        };
        let capacity = Capacity {
            slots: setup.slots,
            queue,
        };
        let servers = setup.servers.iter().enumerate().map(|(number, place)| {
            let mut admission = Admission::new(capacity);
            admission.set_stage(Moment(0), Stage::Ready, Millis(0));
            Server {
                id: numbered_name("server", number),
                place: place.clone(),
                admission,
                slowdown: Slowdown::default(),
            }
        });
        let entries = setup
            .entries
            .iter()
            .enumerate()
            .map(|(number, place)| Entry {
                place: place.clone(),
                pool: TargetPool::new(numbered_name("entry", number), place.clone()),
                budget: RetryBudget::new(setup.retry_budget),
                run_time: SteadyMean::default(),
                notes: Notes::new(setup.servers.len()),
            });
        Self {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            entries: entries.collect(),
            servers: servers.collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            results: Results::default(),
            setup,
        }
    }

    /// Runs the simulation to the end and returns the results.
    pub(crate) fn run(mut self) -> Results {
        let window_starts: Vec<f64> = self
            .setup
            .fault_windows
            .iter()
            .map(|fault_window| fault_window.from)
            .collect();
        self.schedule(0, Event::MembersChange);
        for start in window_starts {
            self.schedule(micros(start), Event::MembersChange);
        }
        for entry in 0..self.entries.len() {
            self.schedule_next_request(entry);
        }
        let end = micros(self.setup.seconds);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.count_waste(time);
            self.now = time;
            self.handle_event(event);
        }
        self.results.latencies.sort_unstable();
        let counted_seconds = self.setup.seconds * 0.75;
        self.results.capacity = self.capacity() * counted_seconds;
        self.results
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrives { entry } => self.handle_request(entry),
            Event::RequestReturns { request } => self.handle_return(request),
            Event::AttemptArrives { attempt } => self.handle_attempt(attempt),
            Event::RunEnds { attempt } => self.handle_run_end(attempt),
            Event::Response {
                attempt,
                reply,
                load,
            } => self.handle_response(attempt, reply, load),
            Event::DeadlinePasses { request } => self.handle_deadline(request),
            Event::MembersChange => self.update_members(),
        }
    }

    /// Schedules an event; events at the same time happen in the order of these calls.
    pub(crate) fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    /// Returns how many requests per second all servers can run.
    fn capacity(&self) -> f64 {
        let slots = f64::from(self.setup.slots) * self.servers.len() as f64;
        slots * 1_000.0 / self.setup.mean
    }

    fn schedule_next_request(&mut self, entry: usize) {
        let mean_rate = self.setup.load * self.capacity() / self.entries.len() as f64;
        let rate = mean_rate * self.demand(entry);
        let gap = self.exponential(SECOND as f64 / rate);
        self.schedule(self.now + gap, Event::RequestArrives { entry });
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let draw: f64 = self.rng.random();
        (-(1.0 - draw).ln() * mean) as u64
    }

    fn update_members(&mut self) {
        let service = service(&self.setup);
        let name = crate::setup::name("service");
        let now = Moment(self.now);
        let members: Vec<Member> = (0..self.servers.len())
            .filter(|server| !self.is_absent(*server))
            .map(|server| member(&self.servers[server], self.setup.slots))
            .collect();
        for entry in &mut self.entries {
            entry.pool.update(now, &name, &service, &members);
        }
    }

    /// Returns whether a server with a cold start has not joined yet.
    pub(crate) fn is_absent(&self, server: usize) -> bool {
        self.setup.fault_windows.iter().any(|fault_window| {
            fault_window.server == server
                && matches!(fault_window.fault, Fault::Cold(_))
                && self.now < micros(fault_window.from)
        })
    }

    fn fault_window(&self, server: usize) -> Option<FaultWindow> {
        let mut fault_windows = self.setup.fault_windows.iter();
        fault_windows
            .find(|fault_window| {
                let window = micros(fault_window.from)..micros(fault_window.until);
                fault_window.server == server && window.contains(&self.now)
            })
            .copied()
    }

    /// Returns whether a request counts in the results: the first quarter of the time is warm-up.
    fn is_counted(&self, request: usize) -> bool {
        self.requests[request].first_started as f64 > self.setup.seconds * SECOND as f64 / 4.0
    }

    fn handle_request(&mut self, entry: usize) {
        self.schedule_next_request(entry);
        let request = self.add_request(entry, self.now, 0);
        self.results.offered += u64::from(self.is_counted(request));
        self.send_attempt(request);
    }

    /// Adds a request that the caller sent first at `first_started`.
    pub(crate) fn add_request(&mut self, entry: usize, first_started: u64, returns: u32) -> usize {
        let deadline = Moment(self.now).after(self.setup.timeout).0;
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            started: self.now,
            first_started,
            returns,
            deadline,
            tried: Vec::new(),
            full: Vec::new(),
            has_started: false,
            is_finished: false,
            open_attempt: None,
        });
        self.schedule(deadline, Event::DeadlinePasses { request });
        self.entries[entry].budget.record_request();
        request
    }

    pub(crate) fn send_attempt(&mut self, request: usize) {
        let Some(placement) = self.place(request) else {
            self.fail(request, false);
            return;
        };
        self.send_to(request, placement);
        if self.setup.target_choice == TargetChoice::LateBinding
            && placement.may_queue
            && let Some(second) = self.place(request)
        {
            self.send_to(request, second);
        }
    }

    fn send_to(&mut self, request: usize, placement: Placement) {
        let Placement { server, may_queue } = placement;
        let entry = &self.entries[self.requests[request].entry];
        let expected = entry.run_time.mean().map(|micros| Millis(micros / MILLI));
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            server,
            started: self.now,
            run_started: self.now,
            expected_run_time: expected,
            may_queue,
            is_running: false,
        });
        let request_state = &mut self.requests[request];
        request_state.tried.push(self.servers[server].id.clone());
        request_state.open_attempt = Some(attempt);
        if self.is_counted(request) {
            self.results.attempts += 1;
            self.results.messages += 2;
            self.results.far += u64::from(self.distance(attempt) == Distance::Far);
        }
        self.schedule(
            self.now + self.delay(attempt),
            Event::AttemptArrives { attempt },
        );
    }

    fn handle_attempt(&mut self, attempt: usize) {
        let (server, request) = (
            self.attempts[attempt].server,
            self.attempts[attempt].request,
        );
        match self
            .fault_window(server)
            .map(|fault_window| fault_window.fault)
        {
            Some(Fault::Dead) => self.schedule_reply(attempt, Reply::Unreachable, None),
            Some(Fault::Silent) => {}
            _ => {
                let deadline = match self.setup.queueing {
                    Queueing::Endless => Moment(u64::MAX),
                    Queueing::Engine => {
                        let started = Moment(self.requests[request].started);
                        let deadline = Moment(self.requests[request].deadline);
                        deadline.min(started.after(self.setup.objective))
                    }
                };
                let pending_request = PendingRequest {
                    id: attempt as u64,
                    importance: Importance::Normal,
                    deadline,
                    depth: 0,
                    expected_run_time: self.attempts[attempt].expected_run_time,
                    account: None,
                };
                let admission = &mut self.servers[server].admission;
                let now = Moment(self.now);
                let decisions = if self.attempts[attempt].may_queue {
                    admission.admit(now, pending_request)
                } else {
                    admission.admit_without_wait(now, pending_request)
                };
                self.apply_decisions(decisions);
            }
        }
    }

    fn apply_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Run { id } => self.start_run(id as usize),
                Decision::Refuse { id, refusal } => {
                    let reply = match refusal {
                        Refusal::TooLate => Reply::TooLate,
                        _ => Reply::Full,
                    };
                    self.schedule_reply(id as usize, reply, Some(self.load(id as usize)));
                }
            }
        }
    }

    fn start_run(&mut self, attempt: usize) {
        self.attempts[attempt].is_running = true;
        self.attempts[attempt].run_started = self.now;
        if self.setup.target_choice == TargetChoice::LateBinding && self.is_bound(attempt) {
            return;
        }
        let factor = match self.fault_window(self.attempts[attempt].server) {
            Some(FaultWindow {
                fault: Fault::Slow(factor),
                ..
            }) => factor,
            Some(FaultWindow {
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
        let factor = factor * self.run_factor(self.attempts[attempt].server);
        let duration = self.exponential(self.setup.mean * MILLI as f64 * factor);
        self.schedule(self.now + duration, Event::RunEnds { attempt });
    }

    fn load(&self, attempt: usize) -> ReportedLoad {
        let server = &self.servers[self.attempts[attempt].server];
        let mut load = server.admission.load();
        if self.setup.target_choice == TargetChoice::Engine {
            load.slowdown = server.slowdown.current(Moment(self.now));
        }
        ReportedLoad::new(load)
    }

    fn handle_run_end(&mut self, attempt: usize) {
        let server = self.attempts[attempt].server;
        let noise = self.noise(server);
        let attempt_state = &self.attempts[attempt];
        let run = Run {
            micros: self.now - attempt_state.run_started,
            expected: attempt_state.expected_run_time,
            stated: Some(Permille((noise * 1_000.0) as u32)),
        };
        self.servers[server].slowdown.record(Moment(self.now), run);
        let decisions = self.servers[server]
            .admission
            .finish(Moment(self.now), attempt as u64);
        self.apply_decisions(decisions);
        self.offer_free_slot(server);
        self.schedule_reply(attempt, Reply::Answered, Some(self.load(attempt)));
    }

    fn schedule_reply(&mut self, attempt: usize, reply: Reply, load: Option<ReportedLoad>) {
        let time = self.now + self.delay(attempt);
        self.schedule(
            time,
            Event::Response {
                attempt,
                reply,
                load,
            },
        );
    }

    fn handle_response(&mut self, attempt: usize, reply: Reply, load: Option<ReportedLoad>) {
        let (request, started) = (
            self.attempts[attempt].request,
            self.attempts[attempt].started,
        );
        if self.requests[request].is_finished {
            return;
        }
        let micros = self.now - started;
        let (result, refusal) = match reply {
            Reply::Answered => (AttemptResult::Answered { micros }, None),
            Reply::Full => (AttemptResult::Full, Some(overload_refusal())),
            Reply::TooLate => (AttemptResult::Unrelated, Some(Refusal::TooLate)),
            Reply::Unreachable => (AttemptResult::Failed, Some(Refusal::NotSent)),
        };
        self.record_result(attempt, result, load);
        if refusal.is_none() && !self.attempts[attempt].may_queue {
            let entry = self.requests[request].entry;
            self.entries[entry].run_time.add(micros);
        }
        if reply == Reply::Full && !self.attempts[attempt].may_queue {
            let request_state = &mut self.requests[request];
            request_state.full.extend(request_state.tried.pop());
            self.send_attempt(request);
            return;
        }
        match refusal {
            None => self.succeed(request),
            Some(refusal) => self.retry_or_fail(request, refusal),
        }
    }

    fn record_result(&mut self, attempt: usize, result: AttemptResult, load: Option<ReportedLoad>) {
        let attempt_state = &self.attempts[attempt];
        let id = &self.servers[attempt_state.server].id;
        let entry = self.requests[attempt_state.request].entry;
        let result = if self.setup.ejection {
            result
        } else {
            AttemptResult::Unrelated
        };
        let server = attempt_state.server;
        let load = load.map(ReportedLoad::into_load);
        self.entries[entry]
            .notes
            .record(self.now, server, result, load);
        let pool = &mut self.entries[entry].pool;
        pool.finish(Moment(self.now), id, result, load);
    }

    fn retry_or_fail(&mut self, request: usize, refusal: Refusal) {
        let request_state = &self.requests[request];
        let context = RetryContext {
            idempotent: false,
            depth: 0,
            attempts: request_state.tried.len() as u32,
            reached: 0,
            max_reached: retry::MAX_ATTEMPTS,
            deadline: Moment(request_state.deadline),
        };
        let budget = &mut self.entries[request_state.entry].budget;
        let refused = retry::refused(refusal, None);
        if retry::approve_retry(Moment(self.now), context, &refused, budget) {
            self.send_attempt(request);
        } else {
            self.fail(request, false);
        }
    }

    fn succeed(&mut self, request: usize) {
        self.requests[request].is_finished = true;
        if self.is_counted(request) {
            let duration = self.now - self.requests[request].first_started;
            self.results.latencies.push(duration);
            let is_in_objective = Millis(duration / MILLI) <= self.setup.objective;
            self.results.in_objective += u64::from(is_in_objective);
        }
    }

    fn fail(&mut self, request: usize, is_unknown: bool) {
        self.requests[request].is_finished = true;
        if self.will_return(request) {
            return;
        }
        if self.is_counted(request) {
            self.results.unknown += u64::from(is_unknown);
            self.results.refused += u64::from(!is_unknown);
        }
    }

    fn handle_deadline(&mut self, request: usize) {
        if self.requests[request].is_finished {
            return;
        }
        self.fail(request, true);
        if let Some(attempt) = self.requests[request].open_attempt {
            let micros = self.now - self.attempts[attempt].started;
            self.record_result(attempt, AttemptResult::Slow { micros }, None);
            self.cancel_if_queued(attempt);
        }
    }

    /// Removes a cancelled attempt from the server's queue; a running one is not stopped.
    fn cancel_if_queued(&mut self, attempt: usize) {
        if self.setup.queueing == Queueing::Engine && !self.attempts[attempt].is_running {
            let server = self.attempts[attempt].server;
            let admission = &mut self.servers[server].admission;
            let decisions = admission.finish(Moment(self.now), attempt as u64);
            self.apply_decisions(decisions);
        }
    }
}
