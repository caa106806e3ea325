//! Waiting for a place: carries out what [`Admission`] decides.

use std::collections::HashMap;
use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::admission::Admission;
use crank_engine::drain::DrainProgress;
use crank_engine::limit::{Capacity, Decision, PendingRequest};
use crank_protocol::Millis;
use crank_protocol::call::{Load, Refusal};
use crank_protocol::config::Importance;
use crank_protocol::member::Stage;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// What a request asks of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// What is given up first when there is not room for all.
    pub importance: Importance,
    /// When its time is over.
    pub deadline: Moment,
    /// The layer of the call chain; zero for a caller outside the mesh.
    pub depth: u32,
    /// How long it is expected to run, where that is known.
    pub run: Option<Millis>,
}

impl AdmissionRequest {
    /// The bid of a caller's request of ordinary importance.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_node::admission::AdmissionRequest;
    /// assert_eq!(AdmissionRequest::new(Moment(9)).depth, 0);
    /// ```
    #[must_use]
    pub fn new(deadline: Moment) -> Self {
        Self {
            importance: Importance::default(),
            deadline,
            depth: 0,
            run: None,
        }
    }

    fn ticket(self, id: u64) -> PendingRequest {
        let Self {
            importance,
            deadline,
            depth,
            run,
        } = self;
        PendingRequest {
            id,
            importance,
            deadline,
            depth,
            expected_run_time: run,
        }
    }
}

/// Lets requests through as an [`Admission`] decides.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")] async fn main() {
/// use crank_engine::limit::Capacity;
/// use crank_node::{clock::Clock, admission::{AdmissionRequest, AdmissionController}};
/// use crank_protocol::{Millis, member::Stage};
/// let clock = Clock::new();
/// let gate = AdmissionController::new(clock, Capacity { slots: 1, queue: 0 });
/// gate.announce(Stage::Ready, Millis(100));
/// let deadline = clock.now().after(Millis(60_000));
/// let pass = gate.enter(AdmissionRequest::new(deadline)).await;
/// assert!(pass.is_ok());
/// assert!(gate.enter(AdmissionRequest::new(deadline)).await.is_err());
/// # }
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionController {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    waiters: HashMap<u64, oneshot::Sender<Result<(), Refusal>>>,
    next: u64,
}

impl State {
    fn carry_out(&mut self, steps: Vec<Decision>) {
        for step in steps {
            let (id, result) = match step {
                Decision::Run { id } => (id, Ok(())),
                Decision::Refuse { id, refusal } => (id, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // A waiter that is gone gives its place back when its pass is dropped.
                let _ = waiter.send(result);
            }
        }
    }
}

/// A place; dropping it gives the place to the next request.
#[derive(Debug)]
pub struct Permit {
    gate: AdmissionController,
    id: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut state = self.gate.state.lock();
        state.waiters.remove(&self.id);
        let steps = state.admission.finish(now, self.id);
        state.carry_out(steps);
    }
}

impl AdmissionController {
    /// A gate that is closed until [`AdmissionController::announce`] says `Ready`.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # let _runtime = tokio::runtime::Runtime::new().unwrap();
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 6, queue: 12 });
    /// assert_eq!(gate.load().slots, 6);
    /// ```
    #[must_use]
    pub fn new(clock: Clock, size: Capacity) -> Self {
        let state = State {
            admission: Admission::new(size),
            waiters: HashMap::new(),
            next: 0,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Waits for a place for a request of this layer of a call chain.
    ///
    /// # Errors
    /// What [`Admission`] refuses with, and [`Refusal::TooLate`] once the deadline is over. In
    /// every case the request has not run. Dropping the future leaves the queue.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// # use crank_engine::{Moment, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::{AdmissionRequest, AdmissionController}};
    /// # use crank_protocol::call::Refusal;
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// let refused = gate.enter(AdmissionRequest::new(Moment(u64::MAX))).await;
    /// assert_eq!(refused.err(), Some(Refusal::Leaving));
    /// # }
    /// ```
    pub async fn enter(&self, bid: AdmissionRequest) -> Result<Permit, Refusal> {
        let (pass, receiver) = self.ask(bid, Admission::admit);
        let turn = tokio::time::timeout_at(self.clock.instant(bid.deadline), receiver);
        match turn.await {
            Ok(Ok(Ok(()))) => Ok(pass),
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => Err(Refusal::TooLate),
        }
    }

    /// Takes a place that is free now.
    ///
    /// # Errors
    /// As [`AdmissionController::enter`]; [`Refusal::Overloaded`] where none is free.
    ///
    /// ```
    /// # use crank_engine::{Moment, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::{AdmissionRequest, AdmissionController}};
    /// # use crank_protocol::call::Refusal;
    /// # let _runtime = tokio::runtime::Runtime::new().unwrap();
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// let refused = gate.enter_free(AdmissionRequest::new(Moment(u64::MAX)));
    /// assert_eq!(refused.err(), Some(Refusal::Leaving));
    /// ```
    pub fn enter_free(&self, bid: AdmissionRequest) -> Result<Permit, Refusal> {
        let (pass, mut receiver) = self.ask(bid, Admission::admit_without_wait);
        match receiver.try_recv() {
            Ok(turn) => turn.map(|()| pass),
            Err(_) => Err(Refusal::TooLate),
        }
    }

    /// Puts a request's question to the admission; the answer comes on the receiver.
    fn ask(
        &self,
        bid: AdmissionRequest,
        enter: fn(&mut Admission, Moment, PendingRequest) -> Vec<Decision>,
    ) -> (Permit, oneshot::Receiver<Result<(), Refusal>>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        let id = state.next;
        state.next += 1;
        state.waiters.insert(id, sender);
        let steps = enter(&mut state.admission, self.clock.now(), bid.ticket(id));
        state.carry_out(steps);
        let gate = self.clone();
        (Permit { gate, id }, receiver)
    }

    /// Takes another size.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// gate.resize(Capacity { slots: 2, queue: 0 });
    /// assert_eq!(gate.load().slots, 2);
    /// ```
    pub fn resize(&self, size: Capacity) {
        let mut state = self.state.lock();
        let steps = state.admission.resize(self.clock.now(), size);
        state.carry_out(steps);
    }

    /// What stands behind the gate is at this stage of its life.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::{Millis, member::Stage};
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// gate.announce(Stage::Draining, Millis(5_000));
    /// ```
    pub fn announce(&self, stage: Stage, grace: Millis) {
        let mut state = self.state.lock();
        let steps = state.admission.set_stage(self.clock.now(), stage, grace);
        state.carry_out(steps);
    }

    /// The node begins to leave: new requests are refused, those inside are finished.
    ///
    /// ```
    /// # use crank_engine::{drain::DrainProgress, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::Millis;
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// gate.drain(Millis(0));
    /// assert_eq!(gate.progress(), DrainProgress::Drained);
    /// ```
    pub fn drain(&self, grace: Millis) {
        self.state
            .lock()
            .admission
            .start_drain(self.clock.now(), grace);
    }

    /// How far the leaving has come.
    ///
    /// ```
    /// # use crank_engine::{drain::DrainProgress, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// assert_eq!(gate.progress(), DrainProgress::Serving);
    /// ```
    #[must_use]
    pub fn progress(&self) -> DrainProgress {
        self.state.lock().admission.progress(self.clock.now())
    }

    /// The refusal of what cannot wait here, with when to come back.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::call::Refusal;
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// assert!(matches!(gate.overloaded(), Refusal::Overloaded { .. }));
    /// ```
    #[must_use]
    pub fn overloaded(&self) -> Refusal {
        self.state.lock().admission.overload_refusal()
    }

    /// How many run and wait now.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// let gate = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// assert_eq!(gate.load().running, 0);
    /// ```
    #[must_use]
    pub fn load(&self) -> Load {
        self.state.lock().admission.load()
    }
}
