//! At most once: three targets that claim one key, and the store.
//!
//! Each request may be sent twice, so each target may claim twice, under a new nonce each time. A
//! target may be killed, or frozen and woken, at any step; an answer of the store may be lost, and
//! a write may take effect late.

mod store;
mod target;

use std::sync::Arc;

use crank_engine::Nonce;
use crank_engine::claim::{self, Fingerprint, RecordedAnswer};
use crank_protocol::call::{Load, ResponseHead};

use crate::Invariant;
use crate::explore::Step;
use store::{Row, Stage, Write};
use target::Work;

const TARGETS: usize = 3;
const CLAIMS_PER_TARGET: u8 = 2;

/// What keeps a request from running twice; a search takes out one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A claim is written only if there is none.
    PutIfAbsent,
    /// A released claim is written over only while it is that released claim.
    OverThatRelease,
    /// After a lost answer the nonce is read back.
    ReadBack,
    /// A request whose claim failed is not run.
    RefuseOnFailure,
    /// A request that was refused at its deadline is not run when its claim is won later.
    RefusalIsFinal,
    /// Only a claim whose request was not run is released.
    ReleaseUnrunOnly,
    /// A claim is settled only by the one who holds it.
    SettleOwnOnly,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Claim {
    without: Option<Guard>,
    recorded: Arc<RecordedAnswer>,
}

/// Everything that the targets and the store remember.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    row: Option<Row>,
    late: Option<Write>,
    targets: [Target; TARGETS],
    runs: u8,
    broken: Option<Invariant>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Target {
    work: Work,
    claims: u8,
}

impl Claim {
    /// The specification, whole or without one guard.
    ///
    /// ```
    /// use crank_model::claim::Claim;
    /// let spec = Claim::new(None);
    /// assert!(!spec.steps(&spec.start()).is_empty());
    /// ```
    #[must_use]
    pub fn new(without: Option<Guard>) -> Self {
        let head = ResponseHead {
            status: 200,
            headers: Vec::new(),
            length: None,
            load: Load::default(),
        };
        let recorded = Arc::new(RecordedAnswer { head, body: None });
        Self { without, recorded }
    }

    /// Nothing is claimed.
    ///
    /// ```
    /// # use crank_model::claim::Claim;
    /// let spec = Claim::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn start(&self) -> State {
        let idle = Target {
            work: Work::Idle,
            claims: 0,
        };
        State {
            row: None,
            late: None,
            targets: [idle.clone(), idle.clone(), idle],
            runs: 0,
            broken: None,
        }
    }

    /// The invariant that a state breaks.
    ///
    /// ```
    /// # use crank_model::claim::Claim;
    /// # let spec = Claim::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn broken(&self, state: &State) -> Option<Invariant> {
        state.broken
    }

    /// Everything that may happen next.
    ///
    /// ```
    /// # use crank_model::claim::Claim;
    /// # let spec = Claim::new(None);
    /// assert_eq!(spec.steps(&spec.start())[0].label, "target 1 is sent the request");
    /// ```
    #[must_use]
    pub fn steps(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        if state.broken.is_some() {
            return steps;
        }
        for target in 0..TARGETS {
            self.target_steps(state, target, &mut steps);
        }
        if let Some(late) = state.late {
            let mut next = state.clone();
            next.late = None;
            if self.apply(&mut next, late) {
                let label = format!("the late {} takes effect", late.what());
                steps.push(Step { label, next });
            }
            let mut next = state.clone();
            next.late = None;
            let label = format!("the late {} is dropped", late.what());
            steps.push(Step { label, next });
        }
        steps
    }

    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    /// A row as the engine knows it.
    fn claim(&self, row: Row) -> claim::Claim {
        claim::Claim {
            nonce: Nonce(u128::from(row.nonce)),
            fingerprint: Fingerprint("one request".into()),
            stage: match row.stage {
                Stage::Claimed => claim::ClaimStage::Claimed,
                Stage::Released => claim::ClaimStage::Released,
                Stage::Recorded => claim::ClaimStage::Recorded(self.recorded.clone()),
            },
        }
    }
}
