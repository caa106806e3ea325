//! The steps of a publisher, and what may become of it at each.

use crank_engine::Nonce;
use crank_engine::publish::{self, HeadUpdate, HeadUpdateOutcome};

use super::store::{Mark, Move};
use super::{Guard, Publish, State, step};
use crate::Invariant;
use crate::explore::Step;
use crate::folder::{Content, FOLDERS};

const LATE_WRITES: usize = 1;

/// How far a publisher has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Work {
    Idle,
    /// It has read the head, if it does so first.
    Before(Option<Mark>),
    Reading(Reading),
    /// It has listed the folder again, and reads the head only now.
    Listed(Reading),
    /// It is about to write the object.
    Accepting(Move),
    /// It is about to move the head.
    Sending(Move),
    /// It got no answer to the move.
    Lost(Move),
}

/// A folder that is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Reading {
    before: Option<Option<Mark>>,
    listed: usize,
    a: Option<usize>,
    b: Option<usize>,
}

struct Pen<'a> {
    state: &'a State,
    publisher: usize,
    steps: &'a mut Vec<Step<State>>,
}

impl Pen<'_> {
    fn write(&mut self, what: &str, mut next: State, work: Work) {
        next.work[self.publisher] = work;
        let label = format!("publisher {} {what}", self.publisher + 1);
        self.steps.push(step(label, next));
    }

    fn now(&mut self, what: &str, work: Work) {
        self.write(what, self.state.clone(), work);
    }
}

impl Publish {
    pub(super) fn publisher_steps(
        &self,
        state: &State,
        publisher: usize,
        steps: &mut Vec<Step<State>>,
    ) {
        let mut pen = Pen {
            state,
            publisher,
            steps,
        };
        match state.work[publisher] {
            Work::Idle if self.has(Guard::HeadBeforeFolder) => {
                pen.now("reads the head", Work::Before(plain(state.store.head)));
            }
            Work::Idle => pen.now("lists the folder", listed(state, None)),
            Work::Before(head) => pen.now("lists the folder", listed(state, Some(head))),
            Work::Reading(reading) => self.read(&mut pen, reading),
            Work::Listed(reading) => self.decide(&mut pen, reading),
            Work::Accepting(moved) => self.write_object(&mut pen, moved),
            Work::Sending(moved) => self.send(&mut pen, moved),
            Work::Lost(moved) => self.read_back(&mut pen, moved),
        }
        if state.work[publisher] != Work::Idle {
            pen.now("is killed", Work::Idle);
        }
    }

    fn read(&self, pen: &mut Pen<'_>, reading: Reading) {
        let (folder, listed) = (FOLDERS[pen.state.edits], FOLDERS[reading.listed]);
        let checks = self.has(Guard::SecondListing);
        if reading.a.is_none() {
            let a = Some(folder.a);
            let (same, next) = (folder.a == listed.a, Reading { a, ..reading });
            read_file(pen, "a.ini", same || !checks, next);
        }
        if reading.b.is_none() {
            let b = Some(folder.b);
            let (same, next) = (folder.b == listed.b, Reading { b, ..reading });
            read_file(pen, "b.ini", same || !checks, next);
        }
        if reading.a.is_some() && reading.b.is_some() {
            if checks && pen.state.edits != reading.listed {
                pen.now("finds another listing", Work::Idle);
            } else if reading.before.is_none() {
                pen.now("lists the folder again", Work::Listed(reading));
            } else {
                self.decide(pen, reading);
            }
        }
    }

    fn decide(&self, pen: &mut Pen<'_>, reading: Reading) {
        let (Some(a), Some(b)) = (reading.a, reading.b) else {
            return;
        };
        let content = Content { a, b };
        if self.has(Guard::Merge) && self.table.is_refused(content) {
            pen.now("refuses the folder", Work::Idle);
            return;
        }
        let before = reading.before.unwrap_or(plain(pen.state.store.head));
        let head = before.map(|mark| self.head(mark));
        let nonce = unused_nonce(pen.state);
        let digest = self.table.digest(content);
        match publish::head_update(head.as_ref(), digest, Nonce(u128::from(nonce))) {
            None => pen.now("finds the folder accepted", Work::Idle),
            Some(advance) => {
                let moved = plan(&advance, before, content, nonce);
                pen.now("accepts the folder", Work::Accepting(moved));
            }
        }
    }

    fn write_object(&self, pen: &mut Pen<'_>, moved: Move) {
        let mut next = pen.state.clone();
        if self.has(Guard::ObjectFirst) {
            next.store.objects.insert(moved.to.content);
            pen.write("writes the object", next, Work::Sending(moved));
        } else {
            pen.write("leaves the object for later", next, Work::Sending(moved));
        }
    }

    fn send(&self, pen: &mut Pen<'_>, moved: Move) {
        let mut next = pen.state.clone();
        if self.apply(&mut next, moved) {
            pen.write(
                "moves the head and gets no answer",
                next.clone(),
                Work::Lost(moved),
            );
            offer(&mut next, moved.to);
            pen.write("moves the head", next, Work::Idle);
        } else {
            pen.now("finds that the head has moved", Work::Idle);
            pen.now(
                "fails to move the head and gets no answer",
                Work::Lost(moved),
            );
        }
        if pen.state.store.late.len() < LATE_WRITES {
            let mut next = pen.state.clone();
            next.store.late.push(moved);
            let what = "moves the head, late, and gets no answer";
            pen.write(what, next.clone(), Work::Lost(moved));
            pen.write("is killed with its move on the way", next, Work::Idle);
        }
    }

    fn read_back(&self, pen: &mut Pen<'_>, moved: Move) {
        let mut next = pen.state.clone();
        if !self.has(Guard::ReadBack) {
            offer(&mut next, moved.to);
            pen.write("takes it that the head moved", next, Work::Idle);
            return;
        }
        let head = pen.state.store.head.map(|mark| self.head(mark));
        let advance = HeadUpdate {
            from: moved.from.map(|mark| self.stamp(mark)),
            to: self.head(moved.to),
        };
        match publish::head_update_outcome(&advance, head.as_ref()) {
            HeadUpdateOutcome::Accepted => {
                offer(&mut next, moved.to);
                pen.write("reads back its nonce", next, Work::Idle);
            }
            HeadUpdateOutcome::Superseded | HeadUpdateOutcome::Pending => {
                pen.write("does not find its nonce", next, Work::Idle);
            }
        }
    }
}

fn listed(state: &State, before: Option<Option<Mark>>) -> Work {
    Work::Reading(Reading {
        before,
        listed: state.edits,
        a: None,
        b: None,
    })
}

fn read_file(pen: &mut Pen<'_>, file: &str, same: bool, next: Reading) {
    if same {
        pen.now(&format!("reads {file}"), Work::Reading(next));
    } else {
        pen.now(&format!("finds another {file}"), Work::Idle);
    }
}

/// The head without its nonce, which no condition looks at; that keeps the states few.
fn plain(head: Option<Mark>) -> Option<Mark> {
    head.map(|mark| Mark { nonce: 0, ..mark })
}

fn plan(advance: &HeadUpdate, from: Option<Mark>, content: Content, nonce: u8) -> Move {
    let version = usize::try_from(advance.to.stamp.version.0).unwrap_or(usize::MAX);
    let to = Mark {
        version,
        content,
        nonce,
    };
    Move { from, to }
}

/// A node spreads what it believes accepted.
fn offer(state: &mut State, mark: Mark) {
    let accepted = state.store.accepted.get(mark.version - 1);
    if accepted != Some(&mark.content) && state.broken.is_none() {
        state.broken = Some(Invariant::NotAccepted);
    }
}

/// The lowest nonce that nobody remembers, so that the states stay finite.
fn unused_nonce(state: &State) -> u8 {
    let mut used: Vec<u8> = state
        .store
        .late
        .iter()
        .map(|moved| moved.to.nonce)
        .collect();
    used.extend(state.store.head.map(|head| head.nonce));
    for work in state.work {
        if let Work::Accepting(moved) | Work::Sending(moved) | Work::Lost(moved) = work {
            used.push(moved.to.nonce);
        }
    }
    (1..=u8::MAX)
        .find(|nonce| !used.contains(nonce))
        .unwrap_or(0)
}
