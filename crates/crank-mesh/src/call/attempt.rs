//! The attempts in flight on the client side of a call connection.

use std::collections::HashMap;

use bytes::Bytes;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, ResponseHead};
use tokio::sync::mpsc;

use super::frame::CloseReason;
use super::{FLOW_CONTROL_WINDOW_BYTES, MAX_IN_FLIGHT};
use crate::Error;

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// An event of an attempt, sent to the reader of its response.
pub(super) enum AttemptEvent {
    Head(ResponseHead),
    Data(Bytes),
    End,
    Refused(RefusedRequest),
}

/// The progress of an attempt.
enum AttemptStage {
    Queued,
    Sent,
    Receiving { length: Option<u64>, received: u64 },
}

/// The progress of an attempt when it was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RemovedAttempt {
    /// The request was not written and never will be.
    NotSent,
    /// The request was written.
    Sent,
    /// The attempt had already ended; its events hold the result.
    Ended,
}

struct Attempt {
    stage: AttemptStage,
    /// Whether the method is HEAD, whose response has no body.
    is_head: bool,
    /// The number of body bytes that the server may still send.
    credit: u64,
    events: mpsc::UnboundedSender<AttemptEvent>,
}

/// The attempts of a connection; none can be added once it is closed.
#[derive(Default)]
pub(super) struct Attempts {
    active: HashMap<u64, Attempt>,
    is_closed: bool,
    dropped_frames: u64,
}

impl Attempts {
    /// Adds an attempt and returns its events; `None` if the connection is closed or full.
    pub(super) fn add(
        &mut self,
        id: u64,
        is_head: bool,
    ) -> Option<mpsc::UnboundedReceiver<AttemptEvent>> {
        let is_duplicate = self.active.contains_key(&id);
        if self.is_closed || is_duplicate || self.active.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let (events, receiver) = mpsc::unbounded_channel();
        let attempt = Attempt {
            stage: AttemptStage::Queued,
            is_head,
            credit: FLOW_CONTROL_WINDOW_BYTES,
            events,
        };
        self.active.insert(id, attempt);
        Some(receiver)
    }

    pub(super) fn len(&self) -> usize {
        self.active.len()
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed
    }

    pub(super) fn dropped_frames(&self) -> u64 {
        self.dropped_frames
    }

    /// Marks a request as sent just before it is written; returns false if its caller has gone.
    pub(super) fn mark_sent(&mut self, id: u64) -> bool {
        let Some(attempt) = self.active.get_mut(&id) else {
            return false;
        };
        attempt.stage = AttemptStage::Sent;
        true
    }

    /// Removes an attempt and returns its progress.
    pub(super) fn remove(&mut self, id: u64) -> RemovedAttempt {
        let attempt = self.active.remove(&id);
        match attempt.map(|attempt| attempt.stage) {
            None => RemovedAttempt::Ended,
            Some(AttemptStage::Queued) => RemovedAttempt::NotSent,
            Some(AttemptStage::Sent | AttemptStage::Receiving { .. }) => RemovedAttempt::Sent,
        }
    }

    /// Adds credit for bytes that the caller has read; returns false if the attempt has ended.
    pub(super) fn add_credit(&mut self, id: u64, bytes: u64) -> bool {
        let Some(attempt) = self.active.get_mut(&id) else {
            return false;
        };
        attempt.credit += bytes;
        true
    }

    /// Handles the head of a response.
    pub(super) fn handle_head(&mut self, id: u64, head: ResponseHead) {
        let Some(attempt) = self.active.get_mut(&id) else {
            self.dropped_frames += 1;
            return;
        };
        if !matches!(attempt.stage, AttemptStage::Sent) {
            self.dropped_frames += 1;
            return;
        }
        let has_no_body = attempt.is_head || matches!(head.status, NO_CONTENT | NOT_MODIFIED);
        let length = if has_no_body { Some(0) } else { head.length };
        attempt.stage = AttemptStage::Receiving {
            length,
            received: 0,
        };
        let _ = attempt.events.send(AttemptEvent::Head(head));
    }

    /// Handles a chunk of a response body.
    ///
    /// # Errors
    /// Returns [`Error::CreditExceeded`] if the server sent more bytes than it had credit for.
    pub(super) fn handle_data(&mut self, id: u64, data: Vec<u8>) -> Result<(), Error> {
        let Some(attempt) = self.active.get_mut(&id) else {
            self.dropped_frames += 1;
            return Ok(());
        };
        let AttemptStage::Receiving { received, .. } = &mut attempt.stage else {
            self.dropped_frames += 1;
            return Ok(());
        };
        let size = data.len() as u64;
        *received += size;
        attempt.credit = attempt
            .credit
            .checked_sub(size)
            .ok_or(Error::CreditExceeded)?;
        let _ = attempt.events.send(AttemptEvent::Data(Bytes::from(data)));
        Ok(())
    }

    /// Handles the end of a response, whose body has `stated_length` bytes according to the server.
    pub(super) fn handle_end(&mut self, id: u64, stated_length: u64) {
        let Some(attempt) = self.active.get(&id) else {
            self.dropped_frames += 1;
            return;
        };
        let AttemptStage::Receiving { length, received } = attempt.stage else {
            self.dropped_frames += 1;
            return;
        };
        let is_complete =
            received == stated_length && length.is_none_or(|length| length == received);
        let event = if is_complete {
            AttemptEvent::End
        } else {
            AttemptEvent::Refused(cut_refusal())
        };
        self.finish(id, event);
    }

    /// Ends an attempt with a refusal.
    pub(super) fn refuse(&mut self, id: u64, refused: RefusedRequest) {
        if self.active.contains_key(&id) {
            self.finish(id, AttemptEvent::Refused(refused));
        } else {
            self.dropped_frames += 1;
        }
    }

    fn finish(&mut self, id: u64, event: AttemptEvent) {
        if let Some(attempt) = self.active.remove(&id) {
            let _ = attempt.events.send(event);
        }
    }

    /// Stops accepting attempts; those in flight continue.
    pub(super) fn stop_accepting(&mut self) {
        self.is_closed = true;
    }

    /// Ends all attempts, each with the outcome that is certain for its progress.
    pub(super) fn close(&mut self, reason: CloseReason) {
        self.stop_accepting();
        for (_, attempt) in self.active.drain() {
            let refused = match attempt.stage {
                AttemptStage::Queued => not_sent_refusal(),
                AttemptStage::Sent if reason == CloseReason::Drained => {
                    refused_request(Refusal::Leaving, Outcome::NotRun)
                }
                AttemptStage::Sent if reason == CloseReason::Silent => {
                    refused_request(Refusal::ConnectionLost, Outcome::Unknown)
                }
                AttemptStage::Sent => lost_refusal(),
                AttemptStage::Receiving { .. } => cut_refusal(),
            };
            let _ = attempt.events.send(AttemptEvent::Refused(refused));
        }
    }
}

/// Returns the refusal of a request that was never sent.
pub(super) fn not_sent_refusal() -> RefusedRequest {
    refused_request(Refusal::NotSent, Outcome::NotRun)
}

/// Returns the refusal of a request whose response was lost, so that its outcome is unknown.
pub(super) fn lost_refusal() -> RefusedRequest {
    refused_request(Refusal::Lost, Outcome::Unknown)
}

/// Returns the refusal of a request whose response was cut off.
fn cut_refusal() -> RefusedRequest {
    refused_request(Refusal::Cut, Outcome::Ran)
}

/// Returns a refusal without load; the request reached the target unless it certainly did not run.
pub(super) fn refused_request(refusal: Refusal, outcome: Outcome) -> RefusedRequest {
    RefusedRequest {
        refusal,
        outcome,
        load: None,
        reached: outcome != Outcome::NotRun,
    }
}
