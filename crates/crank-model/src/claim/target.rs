//! The steps of a target, and what may become of it at each.

use crank_engine::claim::{self as engine, ClaimResult, WriteResult};

use super::store::{Row, Stage, Write};
use super::{CLAIMS_PER_TARGET, Claim, Guard, State};
use crate::Invariant;
use crate::explore::Step;

/// What a target asks of the store next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Ask {
    Put { over: Option<u8> },
    Read,
}

/// How far a target has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Work {
    Idle,
    Claiming { nonce: u8, ask: Ask, refused: bool },
    Won { nonce: u8, refused: bool },
    Ran { nonce: u8 },
    Settling { nonce: u8, stage: Stage },
}

struct Pen<'a> {
    state: &'a State,
    target: usize,
    steps: &'a mut Vec<Step<State>>,
}

impl Pen<'_> {
    fn write(&mut self, what: &str, mut next: State, work: Work) {
        next.targets[self.target].work = work;
        let label = format!("target {} {what}", self.target + 1);
        self.steps.push(Step { label, next });
    }

    fn now(&mut self, what: &str, work: Work) {
        self.write(what, self.state.clone(), work);
    }
}

impl Claim {
    pub(super) fn target_steps(&self, state: &State, target: usize, steps: &mut Vec<Step<State>>) {
        let mut pen = Pen {
            state,
            target,
            steps,
        };
        let work = state.targets[target].work;
        match work {
            Work::Idle => receive(&mut pen),
            Work::Claiming {
                nonce,
                ask,
                refused,
            } => {
                self.ask(&mut pen, nonce, ask, refused);
                if !refused {
                    let refused = true;
                    let work = Work::Claiming {
                        nonce,
                        ask,
                        refused,
                    };
                    pen.now("is past the deadline and refuses: not run", work);
                }
            }
            Work::Won { nonce, refused } => self.run(&mut pen, nonce, refused),
            Work::Ran { nonce } => self.end(&mut pen, nonce),
            Work::Settling { nonce, stage } => self.settle(&mut pen, nonce, stage),
        }
        if work != Work::Idle {
            pen.now("is killed", Work::Idle);
        }
    }

    fn ask(&self, pen: &mut Pen<'_>, nonce: u8, ask: Ask, refused: bool) {
        match ask {
            Ask::Put { over } => self.put(pen, nonce, over, refused),
            Ask::Read => {
                let mine = self.claim(Row {
                    nonce,
                    stage: Stage::Claimed,
                });
                let found = pen.state.row.map(|row| self.claim(row));
                let step = engine::after_read(&mine, found.as_ref());
                let next = pen.state.clone();
                self.follow(pen, "reads the row", next, (nonce, refused), &step);
                let next = pen.state.clone();
                let step = engine::Action::GiveUp;
                self.follow(pen, "cannot read the row", next, (nonce, refused), &step);
            }
        }
    }

    fn put(&self, pen: &mut Pen<'_>, nonce: u8, over: Option<u8>, refused: bool) {
        let write = Write::Claim { nonce, over };
        let mut next = pen.state.clone();
        let written = self.apply(&mut next, write);
        let (put, what) = if written {
            (WriteResult::Written, "writes its claim")
        } else {
            (
                WriteResult::Refused,
                "finds that it may not write its claim",
            )
        };
        let asker = (nonce, refused);
        self.follow(pen, what, next.clone(), asker, &engine::after_write(put));
        let lost = self.after_lost();
        self.follow(
            pen,
            &format!("{what}, and the answer is lost"),
            next,
            asker,
            &lost,
        );
        if pen.state.late.is_none() {
            let mut next = pen.state.clone();
            next.late = Some(write);
            self.follow(
                pen,
                "writes its claim, late, and gets no answer",
                next,
                asker,
                &lost,
            );
        }
        let next = pen.state.clone();
        let step = engine::after_write(WriteResult::Unavailable);
        self.follow(pen, "finds the store down", next, asker, &step);
    }

    fn after_lost(&self) -> engine::Action {
        if self.has(Guard::ReadBack) {
            engine::after_write(WriteResult::Lost)
        } else {
            engine::Action::Done(ClaimResult::Won)
        }
    }

    /// Writes what the engine says that the target does next.
    fn follow(
        &self,
        pen: &mut Pen<'_>,
        what: &str,
        next: State,
        (nonce, refused): (u8, bool),
        step: &engine::Action,
    ) {
        let claiming = |ask| Work::Claiming {
            nonce,
            ask,
            refused,
        };
        let work = match step {
            engine::Action::Write { replaces: over } => {
                let over = over.map(|nonce| u8::try_from(nonce.0).unwrap_or(0));
                claiming(Ask::Put { over })
            }
            engine::Action::Read => claiming(Ask::Read),
            engine::Action::Done(ClaimResult::Won) => Work::Won { nonce, refused },
            engine::Action::Done(_) => Work::Idle,
            engine::Action::GiveUp if self.has(Guard::RefuseOnFailure) => released(nonce),
            engine::Action::GiveUp => Work::Won { nonce, refused },
        };
        pen.write(what, next, work);
    }

    fn run(&self, pen: &mut Pen<'_>, nonce: u8, refused: bool) {
        if !refused || !self.has(Guard::RefusalIsFinal) {
            let mut next = pen.state.clone();
            next.runs += 1;
            if refused {
                next.broken = Some(Invariant::RanAfterRefusal);
            } else if next.runs > 1 {
                next.broken = Some(Invariant::RanTwice);
            }
            pen.write("runs the request", next, Work::Ran { nonce });
        }
        pen.now(
            "does not run the request and refuses: not run",
            released(nonce),
        );
    }

    fn end(&self, pen: &mut Pen<'_>, nonce: u8) {
        let stage = Stage::Recorded;
        pen.now("has the answer", Work::Settling { nonce, stage });
        pen.now("loses the answer", Work::Idle);
        if !self.has(Guard::ReleaseUnrunOnly) {
            pen.now("gives the key free", released(nonce));
        }
    }

    fn settle(&self, pen: &mut Pen<'_>, nonce: u8, stage: Stage) {
        let write = Write::Settle { nonce, stage };
        let mut next = pen.state.clone();
        if self.apply(&mut next, write) {
            pen.write("settles its claim", next.clone(), Work::Idle);
            let work = Work::Settling { nonce, stage };
            pen.write("settles its claim and gets no answer", next, work);
        } else {
            pen.now("finds that it may not settle the claim", Work::Idle);
        }
        if pen.state.late.is_none() {
            let mut next = pen.state.clone();
            next.late = Some(write);
            let work = Work::Settling { nonce, stage };
            pen.write("settles its claim, late, and gets no answer", next, work);
        }
    }
}

fn receive(pen: &mut Pen<'_>) {
    let claims = pen.state.targets[pen.target].claims;
    if claims == CLAIMS_PER_TARGET {
        return;
    }
    let mut next = pen.state.clone();
    next.targets[pen.target].claims += 1;
    let number = pen.target * usize::from(CLAIMS_PER_TARGET) + usize::from(claims) + 1;
    let nonce = u8::try_from(number).unwrap_or(u8::MAX);
    let ask = match engine::first_action() {
        engine::Action::Write { .. } => Ask::Put { over: None },
        _ => Ask::Read,
    };
    let refused = false;
    let work = Work::Claiming {
        nonce,
        ask,
        refused,
    };
    pen.write("is sent the request", next, work);
}

fn released(nonce: u8) -> Work {
    Work::Settling {
        nonce,
        stage: Stage::Released,
    }
}
