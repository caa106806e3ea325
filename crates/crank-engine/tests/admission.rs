//! What a target's node runs, lets wait and refuses, whatever the order of events.

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
enum Act {
    Enter {
        importance: Importance,
        time: u64,
        depth: u32,
    },
    Leave {
        pick: usize,
    },
    Announce {
        stage: Stage,
    },
    Resize {
        slots: u32,
        queue: u32,
    },
    Drain,
    Wait {
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

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        8 => (importance(), 0..5_000_u64, 0..2_u32)
            .prop_map(|(importance, time, depth)| Act::Enter { importance, time, depth }),
        6 => (0..64_usize).prop_map(|pick| Act::Leave { pick }),
        1 => stage().prop_map(|stage| Act::Announce { stage }),
        1 => (0..4_u32, 0..4_u32).prop_map(|(slots, queue)| Act::Resize { slots, queue }),
        1 => Just(Act::Drain),
        3 => (0..1_000_u64).prop_map(|micros| Act::Wait { micros }),
    ]
}

/// Keeps its own account of every ticket and checks each step against it.
struct Account {
    admission: Admission,
    now: Moment,
    next: u64,
    slots: u32,
    stage: Stage,
    leaving: Option<Moment>,
    waiting: BTreeMap<u64, PendingRequest>,
    running: BTreeSet<u64>,
    ended: BTreeSet<u64>,
}

impl Account {
    fn new() -> Self {
        let mut admission = Admission::new(Capacity { slots: 2, queue: 2 });
        admission.set_stage(Moment(0), Stage::Ready, GRACE);
        Self {
            admission,
            now: Moment(0),
            next: 0,
            slots: 2,
            stage: Stage::Ready,
            leaving: None,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
        }
    }

    fn act(&mut self, act: Act) -> Result<(), TestCaseError> {
        let steps = match act {
            Act::Enter {
                importance,
                time,
                depth,
            } => return self.enter(importance, time, depth),
            Act::Leave { pick } => {
                let inside = self.running.iter().chain(self.waiting.keys());
                let Some(id) = inside.copied().nth(pick % 8) else {
                    return Ok(());
                };
                self.running.remove(&id);
                self.waiting.remove(&id);
                self.ended.insert(id);
                self.admission.finish(self.now, id)
            }
            Act::Announce { stage } => {
                self.stage = stage;
                self.admission.set_stage(self.now, stage, GRACE)
            }
            Act::Resize { slots, queue } => {
                self.slots = slots;
                self.admission.resize(self.now, Capacity { slots, queue })
            }
            Act::Drain => {
                self.leaving.get_or_insert(self.now);
                self.admission.start_drain(self.now, GRACE);
                Vec::new()
            }
            Act::Wait { micros } => {
                self.now = Moment(self.now.0 + micros);
                Vec::new()
            }
        };
        self.take(steps)
    }

    fn enter(
        &mut self,
        importance: Importance,
        time: u64,
        depth: u32,
    ) -> Result<(), TestCaseError> {
        let ticket = PendingRequest {
            id: self.next,
            importance,
            deadline: Moment(self.now.0 + time),
            depth,
            expected_run_time: None,
        };
        self.next += 1;
        self.waiting.insert(ticket.id, ticket);
        let steps = self.admission.admit(self.now, ticket);
        for step in &steps {
            if let Decision::Refuse { id, .. } = step
                && *id != ticket.id
            {
                prop_assert!(self.waiting[id].importance < importance);
            }
        }
        let lingers = |since: Moment| depth > 0 && self.now < since.after(GRACE);
        let takes_new = self.stage == Stage::Ready && self.leaving.is_none_or(lingers);
        let refused = Decision::Refuse {
            id: ticket.id,
            refusal: Refusal::Leaving,
        };
        prop_assert_eq!(steps.contains(&refused), !takes_new);
        self.take(steps)
    }

    fn take(&mut self, steps: Vec<Decision>) -> Result<(), TestCaseError> {
        for step in steps {
            match step {
                Decision::Run { id } => {
                    let ticket = self.waiting.remove(&id);
                    let ticket = ticket.ok_or_else(|| TestCaseError::fail("ran twice"))?;
                    prop_assert!(self.now < ticket.deadline, "ran after its deadline");
                    prop_assert!(self.stage == Stage::Ready, "ran on a leaving server");
                    prop_assert!(self.running.len() < self.slots as usize, "no slot");
                    self.running.insert(id);
                }
                Decision::Refuse { id, .. } => {
                    let was_waiting = self.waiting.remove(&id).is_some();
                    prop_assert!(was_waiting, "refused after it ran or ended");
                    self.ended.insert(id);
                }
            }
        }
        self.check()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let load = self.admission.load();
        prop_assert_eq!(load.running as usize, self.running.len());
        prop_assert_eq!(load.waiting as usize, self.waiting.len());
        let inside = self.running.len() + self.waiting.len();
        match self.admission.progress(self.now) {
            DrainProgress::Drained => prop_assert_eq!(inside, 0),
            DrainProgress::Draining { in_flight, .. }
            | DrainProgress::Overdue { in_flight, .. } => {
                prop_assert_eq!(in_flight as usize, inside);
            }
            DrainProgress::Serving => prop_assert!(self.leaving.is_none()),
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn every_ticket_runs_once_in_a_slot_or_is_refused_without_having_run(
        acts in prop::collection::vec(act(), 1..80),
    ) {
        let mut account = Account::new();
        for act in acts {
            account.act(act)?;
        }
    }

    #[test]
    fn a_drain_runs_or_refuses_all_that_waits(
        acts in prop::collection::vec(act(), 1..40),
    ) {
        let mut account = Account::new();
        for act in acts {
            account.act(act)?;
        }
        account.act(Act::Drain)?;
        account.act(Act::Wait { micros: 1_000 })?;
        for _ in 0..200 {
            account.act(Act::Leave { pick: 0 })?;
        }
        let progress = account.admission.progress(account.now);
        prop_assert_eq!(progress, DrainProgress::Drained);
    }
}
