//! Admission at a target node: which requests run, wait or are refused, for any order of events.

use std::collections::{BTreeMap, BTreeSet};

use crank_engine::Moment;
use crank_engine::admission::Admission;
use crank_engine::drain::DrainProgress;
use crank_engine::limit::{Capacity, Decision, PendingRequest};
use crank_protocol::Millis;
use crank_protocol::call::Refusal;
use crank_protocol::config::Importance;
use crank_protocol::member::Stage;
use proptest::prelude::*;

const GRACE: Millis = Millis(1);

#[derive(Debug, Clone)]
enum Operation {
    Admit {
        importance: Importance,
        time_left: u64,
        depth: u32,
    },
    Finish {
        pick: usize,
    },
    SetStage {
        stage: Stage,
    },
    Resize {
        slots: u32,
        queue: u32,
    },
    StartDrain,
    AdvanceTime {
        micros: u64,
    },
}

fn importance() -> impl Strategy<Value = Importance> {
    prop_oneof![
        Just(Importance::Low),
        Just(Importance::Normal),
        Just(Importance::High),
    ]
}

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Starting),
        Just(Stage::Ready),
        Just(Stage::Draining),
        Just(Stage::Gone),
    ]
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        8 => (importance(), 0..5_000_u64, 0..2_u32)
            .prop_map(|(importance, time_left, depth)| Operation::Admit { importance, time_left, depth }),
        6 => (0..64_usize).prop_map(|pick| Operation::Finish { pick }),
        1 => stage().prop_map(|stage| Operation::SetStage { stage }),
        1 => (0..4_u32, 0..4_u32).prop_map(|(slots, queue)| Operation::Resize { slots, queue }),
        1 => Just(Operation::StartDrain),
        3 => (0..1_000_u64).prop_map(|micros| Operation::AdvanceTime { micros }),
    ]
}

/// Tracks the state of every request and checks each decision against it.
struct Model {
    admission: Admission,
    now: Moment,
    next_id: u64,
    slots: u32,
    stage: Stage,
    draining_since: Option<Moment>,
    waiting: BTreeMap<u64, PendingRequest>,
    running: BTreeSet<u64>,
    finished: BTreeSet<u64>,
}

impl Model {
    fn new() -> Self {
        let mut admission = Admission::new(Capacity { slots: 2, queue: 2 });
        admission.set_stage(Moment(0), Stage::Ready, GRACE);
        Self {
            admission,
            now: Moment(0),
            next_id: 0,
            slots: 2,
            stage: Stage::Ready,
            draining_since: None,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            finished: BTreeSet::new(),
        }
    }

    fn apply(&mut self, operation: Operation) -> Result<(), TestCaseError> {
        let decisions = match operation {
            Operation::Admit {
                importance,
                time_left,
                depth,
            } => return self.admit(importance, time_left, depth),
            Operation::Finish { pick } => {
                let in_system = self.running.iter().chain(self.waiting.keys());
                let Some(id) = in_system.copied().nth(pick % 8) else {
                    return Ok(());
                };
                self.running.remove(&id);
                self.waiting.remove(&id);
                self.finished.insert(id);
                self.admission.finish(self.now, id)
            }
            Operation::SetStage { stage } => {
                self.stage = stage;
                self.admission.set_stage(self.now, stage, GRACE)
            }
            Operation::Resize { slots, queue } => {
                self.slots = slots;
                self.admission.resize(self.now, Capacity { slots, queue })
            }
            Operation::StartDrain => {
                self.draining_since.get_or_insert(self.now);
                self.admission.start_drain(self.now, GRACE);
                Vec::new()
            }
            Operation::AdvanceTime { micros } => {
                self.now = Moment(self.now.0 + micros);
                Vec::new()
            }
        };
        self.check_decisions(decisions)
    }

    fn admit(
        &mut self,
        importance: Importance,
        time_left: u64,
        depth: u32,
    ) -> Result<(), TestCaseError> {
        let request = PendingRequest {
            id: self.next_id,
            importance,
            deadline: Moment(self.now.0 + time_left),
            depth,
            expected_run_time: None,
            account: None,
        };
        self.next_id += 1;
        self.waiting.insert(request.id, request.clone());
        let decisions = self.admission.admit(self.now, request.clone());
        for decision in &decisions {
            if let Decision::Refuse { id, .. } = decision
                && *id != request.id
            {
                prop_assert!(self.waiting[id].importance < importance);
            }
        }
        let is_internal_call = |since: Moment| depth > 0 && self.now < since.after(GRACE);
        let accepts_new =
            self.stage == Stage::Ready && self.draining_since.is_none_or(is_internal_call);
        let refusal = Decision::Refuse {
            id: request.id,
            refusal: Refusal::Leaving,
        };
        prop_assert_eq!(decisions.contains(&refusal), !accepts_new);
        self.check_decisions(decisions)
    }

    fn check_decisions(&mut self, decisions: Vec<Decision>) -> Result<(), TestCaseError> {
        for decision in decisions {
            match decision {
                Decision::Run { id } => {
                    let request = self.waiting.remove(&id);
                    let request = request.ok_or_else(|| TestCaseError::fail("ran twice"))?;
                    prop_assert!(self.now < request.deadline, "ran after its deadline");
                    prop_assert!(
                        self.stage == Stage::Ready,
                        "ran on a server that is not ready"
                    );
                    prop_assert!(
                        self.running.len() < self.slots as usize,
                        "ran without a free slot"
                    );
                    self.running.insert(id);
                }
                Decision::Refuse { id, .. } => {
                    let was_waiting = self.waiting.remove(&id).is_some();
                    prop_assert!(was_waiting, "refused after it ran or finished");
                    self.finished.insert(id);
                }
            }
        }
        self.check_load()
    }

    fn check_load(&self) -> Result<(), TestCaseError> {
        let load = self.admission.load();
        prop_assert_eq!(load.running as usize, self.running.len());
        prop_assert_eq!(load.waiting as usize, self.waiting.len());
        let in_system = self.running.len() + self.waiting.len();
        match self.admission.progress(self.now) {
            DrainProgress::Drained => prop_assert_eq!(in_system, 0),
            DrainProgress::Draining { in_flight, .. }
            | DrainProgress::Overdue { in_flight, .. } => {
                prop_assert_eq!(in_flight as usize, in_system);
            }
            DrainProgress::Serving => prop_assert!(self.draining_since.is_none()),
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn every_request_runs_once_in_a_slot_or_is_refused_without_having_run(
        operations in prop::collection::vec(operation(), 1..80),
    ) {
        let mut model = Model::new();
        for operation in operations {
            model.apply(operation)?;
        }
    }

    #[test]
    fn a_drain_runs_or_refuses_every_waiting_request(
        operations in prop::collection::vec(operation(), 1..40),
    ) {
        let mut model = Model::new();
        for operation in operations {
            model.apply(operation)?;
        }
        model.apply(Operation::StartDrain)?;
        model.apply(Operation::AdvanceTime { micros: 1_000 })?;
        for _ in 0..200 {
            model.apply(Operation::Finish { pick: 0 })?;
        }
        let progress = model.admission.progress(model.now);
        prop_assert_eq!(progress, DrainProgress::Drained);
    }
}
