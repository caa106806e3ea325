//! Attempts in flight on the client's side of a call connection.

use std::collections::HashMap;

use bytes::Bytes;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, ResponseHead};
use tokio::sync::mpsc;

use super::frame::Ended;
use super::{CREDIT_BYTES, MAX_IN_FLIGHT};
use crate::Error;

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// What happens to an attempt.
pub(super) enum Event {
    Head(ResponseHead),
    Data(Bytes),
    End,
    Refused(RefusedRequest),
}

/// How far an attempt has come.
enum Stage {
    Queued,
    Written,
    Answered { length: Option<u64>, received: u64 },
}

/// How far an attempt had come when it was forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Forgotten {
    /// Its request was not written, and will not be.
    Unwritten,
    /// Its request was written.
    Written,
    /// It had ended, and its events tell how.
    Ended,
}

struct Attempt {
    stage: Stage,
    is_head: bool,
    credit: u64,
    events: mpsc::UnboundedSender<Event>,
}

/// All attempts of a connection; none can be added once it is closed.
#[derive(Default)]
pub(super) struct Attempts {
    waiting: HashMap<u64, Attempt>,
    closed: bool,
    dropped: u64,
}

impl Attempts {
    /// Adds an attempt, unless the connection is closed or full.
    pub(super) fn add(&mut self, id: u64, is_head: bool) -> Option<mpsc::UnboundedReceiver<Event>> {
        let taken = self.waiting.contains_key(&id);
        if self.closed || taken || self.waiting.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let (events, receiver) = mpsc::unbounded_channel();
        let attempt = Attempt {
            stage: Stage::Queued,
            is_head,
            credit: CREDIT_BYTES,
            events,
        };
        self.waiting.insert(id, attempt);
        Some(receiver)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed
    }

    pub(super) fn dropped_frames(&self) -> u64 {
        self.dropped
    }

    /// Notes that a request is about to be written; false if nobody waits for it any more.
    pub(super) fn write(&mut self, id: u64) -> bool {
        let Some(attempt) = self.waiting.get_mut(&id) else {
            return false;
        };
        attempt.stage = Stage::Written;
        true
    }

    /// Forgets an attempt, and says how far it had come.
    pub(super) fn forget(&mut self, id: u64) -> Forgotten {
        let attempt = self.waiting.remove(&id);
        match attempt.map(|attempt| attempt.stage) {
            None => Forgotten::Ended,
            Some(Stage::Queued) => Forgotten::Unwritten,
            Some(Stage::Written | Stage::Answered { .. }) => Forgotten::Written,
        }
    }

    /// Gives credit for what the reader took; false if the attempt has ended.
    pub(super) fn credit(&mut self, id: u64, bytes: u64) -> bool {
        let Some(attempt) = self.waiting.get_mut(&id) else {
            return false;
        };
        attempt.credit += bytes;
        true
    }

    pub(super) fn answer(&mut self, id: u64, head: ResponseHead) {
        let Some(attempt) = self.waiting.get_mut(&id) else {
            self.dropped += 1;
            return;
        };
        if !matches!(attempt.stage, Stage::Written) {
            self.dropped += 1;
            return;
        }
        let bodyless = attempt.is_head || matches!(head.status, NO_CONTENT | NOT_MODIFIED);
        let length = if bodyless { Some(0) } else { head.length };
        attempt.stage = Stage::Answered {
            length,
            received: 0,
        };
        let _ = attempt.events.send(Event::Head(head));
    }

    pub(super) fn data(&mut self, id: u64, data: Vec<u8>) -> Result<(), Error> {
        let Some(attempt) = self.waiting.get_mut(&id) else {
            self.dropped += 1;
            return Ok(());
        };
        let Stage::Answered { received, .. } = &mut attempt.stage else {
            self.dropped += 1;
            return Ok(());
        };
        let size = data.len() as u64;
        *received += size;
        attempt.credit = attempt
            .credit
            .checked_sub(size)
            .ok_or(Error::CreditExceeded)?;
        let _ = attempt.events.send(Event::Data(Bytes::from(data)));
        Ok(())
    }

    pub(super) fn end(&mut self, id: u64, stated: u64) {
        let Some(attempt) = self.waiting.get(&id) else {
            self.dropped += 1;
            return;
        };
        let Stage::Answered { length, received } = attempt.stage else {
            self.dropped += 1;
            return;
        };
        let is_whole = received == stated && length.is_none_or(|length| length == received);
        let event = if is_whole {
            Event::End
        } else {
            Event::Refused(cut())
        };
        self.finish(id, event);
    }

    pub(super) fn refuse(&mut self, id: u64, refused: RefusedRequest) {
        if self.waiting.contains_key(&id) {
            self.finish(id, Event::Refused(refused));
        } else {
            self.dropped += 1;
        }
    }

    fn finish(&mut self, id: u64, event: Event) {
        if let Some(attempt) = self.waiting.remove(&id) {
            let _ = attempt.events.send(event);
        }
    }

    /// Takes no more attempts.
    pub(super) fn stop(&mut self) {
        self.closed = true;
    }

    /// Closes for good; tells each attempt what is certain about it.
    pub(super) fn close(&mut self, ended: Ended) {
        self.stop();
        for (_, attempt) in self.waiting.drain() {
            let refused = match attempt.stage {
                Stage::Queued => not_sent(),
                Stage::Written if ended == Ended::Away => {
                    refused(Refusal::Leaving, Outcome::NotRun)
                }
                Stage::Written => lost(),
                Stage::Answered { .. } => cut(),
            };
            let _ = attempt.events.send(Event::Refused(refused));
        }
    }
}

pub(super) fn not_sent() -> RefusedRequest {
    refused(Refusal::NotSent, Outcome::NotRun)
}

pub(super) fn lost() -> RefusedRequest {
    refused(Refusal::Lost, Outcome::Unknown)
}

fn cut() -> RefusedRequest {
    refused(Refusal::Cut, Outcome::Ran)
}

pub(super) fn refused(refusal: Refusal, outcome: Outcome) -> RefusedRequest {
    RefusedRequest {
        refusal,
        outcome,
        load: None,
        reached: outcome != Outcome::NotRun,
    }
}
