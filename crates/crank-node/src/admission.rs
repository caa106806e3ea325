//! Asynchronous admission of requests: carries out the decisions of [`Admission`].

mod request;

use std::collections::HashMap;
use std::sync::Arc;

use crank_engine::Moment;
use crank_engine::admission::Admission;
use crank_engine::drain::DrainProgress;
use crank_engine::limit::{Capacity, Decision, PendingRequest};
use crank_engine::slot_time::SlotTime;
use crank_engine::slowdown::{Run, Slowdown};
use crank_protocol::call::{Load, Refusal};
use crank_protocol::member::Stage;
use crank_protocol::{Millis, RequestRate};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::clock::Clock;

pub use request::AdmissionRequest;

/// Admits or refuses requests as an [`Admission`] decides, and makes queued requests wait.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")] async fn main() {
/// use crank_engine::limit::Capacity;
/// use crank_node::{clock::Clock, admission::{AdmissionRequest, AdmissionController}};
/// use crank_protocol::{Millis, member::Stage};
/// let clock = Clock::new();
/// let controller = AdmissionController::new(clock, Capacity { slots: 1, queue: 0 });
/// controller.set_stage(Stage::Ready, Millis(100));
/// let deadline = clock.now().after(Millis(60_000));
/// let permit = controller.admit(AdmissionRequest::new(deadline)).await;
/// assert!(permit.is_ok());
/// assert!(controller.admit(AdmissionRequest::new(deadline)).await.is_err());
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
    slowdown: Slowdown,
    slot_time: SlotTime,
    waiters: HashMap<u64, oneshot::Sender<Result<(), Refusal>>>,
    next_id: u64,
    /// When a task starts the requests that wait for the rate; `None` if there is no such task.
    wakes_at: Option<Moment>,
}

impl State {
    /// Counts the slot time until `now`; called before each change of the load.
    fn count_slot_time(&mut self, now: Moment) {
        self.slot_time.advance(now, self.admission.load());
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (id, result) = match decision {
                Decision::Run { id } => (id, Ok(())),
                Decision::Refuse { id, refusal } => (id, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // The permit of a cancelled waiter returns its slot when it is dropped.
                let _ = waiter.send(result);
            }
        }
    }
}

/// The right to run one request; dropping it gives the slot to the next request.
#[derive(Debug)]
pub struct Permit {
    controller: AdmissionController,
    id: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.controller.clock.now();
        let mut state = self.controller.state.lock();
        state.count_slot_time(now);
        state.waiters.remove(&self.id);
        let decisions = state.admission.finish(now, self.id);
        state.apply(decisions);
        self.controller.wake_when_due(&mut state, now);
    }
}

impl AdmissionController {
    /// Creates a controller that admits nothing until [`AdmissionController::set_stage`] sets
    /// `Ready`.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # let _runtime = tokio::runtime::Runtime::new().unwrap();
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 6, queue: 12 });
    /// assert_eq!(controller.load().slots, 6);
    /// ```
    #[must_use]
    pub fn new(clock: Clock, capacity: Capacity) -> Self {
        let state = State {
            admission: Admission::new(capacity),
            slowdown: Slowdown::default(),
            slot_time: SlotTime::default(),
            waiters: HashMap::new(),
            next_id: 0,
            wakes_at: None,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Admits a request, which waits for a free slot until its deadline.
    ///
    /// # Errors
    /// Returns the refusal of [`Admission`], or [`Refusal::TooLate`] once the deadline has passed.
    /// The request has not run in any of these cases. Dropping the future leaves the queue.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// # use crank_engine::{Moment, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::{AdmissionRequest, AdmissionController}};
    /// # use crank_protocol::call::Refusal;
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// let refused = controller.admit(AdmissionRequest::new(Moment(u64::MAX))).await;
    /// assert_eq!(refused.err(), Some(Refusal::Leaving));
    /// # }
    /// ```
    pub async fn admit(&self, request: AdmissionRequest) -> Result<Permit, Refusal> {
        let waits_until = self.clock.to_instant(request.deadline);
        let (permit, receiver) = self.submit(request, Admission::admit);
        let decision = tokio::time::timeout_at(waits_until, receiver);
        match decision.await {
            Ok(Ok(Ok(()))) => Ok(permit),
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => Err(Refusal::TooLate),
        }
    }

    /// Admits a request only if a slot is free now.
    ///
    /// # Errors
    /// Returns the same refusals as [`AdmissionController::admit`], and [`Refusal::Overloaded`] if
    /// no slot is free.
    ///
    /// ```
    /// # use crank_engine::{Moment, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::{AdmissionRequest, AdmissionController}};
    /// # use crank_protocol::call::Refusal;
    /// # let _runtime = tokio::runtime::Runtime::new().unwrap();
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// let refused = controller.admit_without_wait(AdmissionRequest::new(Moment(u64::MAX)));
    /// assert_eq!(refused.err(), Some(Refusal::Leaving));
    /// ```
    pub fn admit_without_wait(&self, request: AdmissionRequest) -> Result<Permit, Refusal> {
        let (permit, mut receiver) = self.submit(request, Admission::admit_without_wait);
        match receiver.try_recv() {
            Ok(decision) => decision.map(|()| permit),
            Err(_) => Err(Refusal::TooLate),
        }
    }

    /// Submits a request to the [`Admission`], whose decision arrives on the receiver.
    fn submit(
        &self,
        request: AdmissionRequest,
        admit: fn(&mut Admission, Moment, PendingRequest) -> Vec<Decision>,
    ) -> (Permit, oneshot::Receiver<Result<(), Refusal>>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.waiters.insert(id, sender);
        let now = self.clock.now();
        state.count_slot_time(now);
        let decisions = admit(&mut state.admission, now, request.into_pending(id));
        state.apply(decisions);
        self.wake_when_due(&mut state, now);
        let controller = self.clone();
        (Permit { controller, id }, receiver)
    }

    /// Sets the rate of requests that the server states as its limit, or none.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::RequestRate;
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 9, queue: 0 });
    /// controller.set_rate(Some(RequestRate(4_000)));
    /// assert_eq!(controller.load().running, 7);
    /// ```
    pub fn set_rate(&self, rate: Option<RequestRate>) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        state.count_slot_time(now);
        let decisions = state.admission.set_rate(now, rate);
        state.apply(decisions);
        self.wake_when_due(&mut state, now);
    }

    /// Spawns a task that starts waiting requests as soon as the rate allows it.
    fn wake_when_due(&self, state: &mut State, now: Moment) {
        let Some(due) = state.admission.next_start(now) else {
            return;
        };
        if state.wakes_at.is_some_and(|wakes_at| wakes_at <= due) {
            return;
        }
        // Without a runtime, as at its end, no request waits for an answer.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        state.wakes_at = Some(due);
        let controller = self.clone();
        runtime.spawn(async move {
            tokio::time::sleep_until(controller.clock.to_instant(due)).await;
            controller.start_due(due);
        });
    }

    fn start_due(&self, due: Moment) {
        let mut state = self.state.lock();
        if state.wakes_at == Some(due) {
            state.wakes_at = None;
        }
        let now = self.clock.now();
        state.count_slot_time(now);
        let decisions = state.admission.start_due(now);
        state.apply(decisions);
        self.wake_when_due(&mut state, now);
    }

    /// Changes the number of slots and the length of the queue.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// controller.resize(Capacity { slots: 2, queue: 0 });
    /// assert_eq!(controller.load().slots, 2);
    /// ```
    pub fn resize(&self, capacity: Capacity) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        state.count_slot_time(now);
        let decisions = state.admission.resize(now, capacity);
        state.apply(decisions);
    }

    /// Sets the stage of the server behind this controller, and its grace period for a drain.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::{Millis, member::Stage};
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// controller.set_stage(Stage::Draining, Millis(5_000));
    /// ```
    pub fn set_stage(&self, stage: Stage, grace: Millis) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        state.count_slot_time(now);
        let decisions = state.admission.set_stage(now, stage, grace);
        state.apply(decisions);
    }

    /// Announces that the node ends after `grace`; what is admitted from now on must have ended by
    /// then.
    ///
    /// ```
    /// # use crank_engine::{Moment, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::Millis;
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// controller.announce_end(Millis(5));
    /// assert!(controller.latest_end(Moment(9_000_000)) < Moment(9_000_000));
    /// ```
    pub fn announce_end(&self, grace: Millis) {
        let now = self.clock.now();
        self.state.lock().admission.announce_end(now, grace);
    }

    /// Returns by when a request with this deadline must have ended.
    ///
    /// ```
    /// # use crank_engine::{Moment, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// assert_eq!(controller.latest_end(Moment(9_000)), Moment(9_000));
    /// ```
    #[must_use]
    pub fn latest_end(&self, deadline: Moment) -> Moment {
        self.state.lock().admission.latest_end(deadline)
    }

    /// Starts to drain the node: refuses new requests and finishes those already admitted.
    ///
    /// ```
    /// # use crank_engine::{drain::DrainProgress, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::Millis;
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// controller.start_drain(Millis(0));
    /// assert_eq!(controller.progress(), DrainProgress::Drained);
    /// ```
    pub fn start_drain(&self, grace: Millis) {
        let now = self.clock.now();
        self.state.lock().admission.start_drain(now, grace);
    }

    /// Returns the progress of the drain.
    ///
    /// ```
    /// # use crank_engine::{drain::DrainProgress, limit::Capacity};
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// assert_eq!(controller.progress(), DrainProgress::Serving);
    /// ```
    #[must_use]
    pub fn progress(&self) -> DrainProgress {
        self.state.lock().admission.progress(self.clock.now())
    }

    /// Returns the refusal of a request that cannot wait here, with the time after which to retry.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::call::Refusal;
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// assert!(matches!(controller.overload_refusal(), Refusal::Overloaded { .. }));
    /// ```
    #[must_use]
    pub fn overload_refusal(&self) -> Refusal {
        let now = self.clock.now();
        self.state.lock().admission.overload_refusal(now)
    }

    /// Returns for how long slots were free and requests waited so far.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 0, queue: 0 });
    /// assert_eq!(controller.slot_time().idle_micros, 0);
    /// ```
    #[must_use]
    pub fn slot_time(&self) -> SlotTime {
        let mut state = self.state.lock();
        state.count_slot_time(self.clock.now());
        state.slot_time
    }

    /// Records how long the server took for a request, from which its slowdown is learned.
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_engine::slowdown::Run;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// # use crank_protocol::Permille;
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// let stated = Some(Permille(3_000));
    /// controller.record_run(Run { micros: 9_000, expected: None, stated });
    /// assert!(controller.load().slowdown > Some(Permille(2_900)));
    /// ```
    pub fn record_run(&self, run: Run) {
        let now = self.clock.now();
        self.state.lock().slowdown.record(now, run);
    }

    /// Returns the number of running and waiting requests, the number of slots and the slowdown, as
    /// other nodes are to see them; see [`Admission::reported_load`].
    ///
    /// ```
    /// # use crank_engine::limit::Capacity;
    /// # use crank_node::{clock::Clock, admission::AdmissionController};
    /// let controller = AdmissionController::new(Clock::new(), Capacity { slots: 1, queue: 0 });
    /// assert_eq!(controller.load().running, 0);
    /// ```
    #[must_use]
    pub fn load(&self) -> Load {
        let now = self.clock.now();
        let state = self.state.lock();
        Load {
            slowdown: state.slowdown.current(now),
            ..state.admission.reported_load(now)
        }
    }
}
