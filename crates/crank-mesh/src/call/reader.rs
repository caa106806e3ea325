//! Reading of the response to one attempt on the client side.

use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Body, Outcome, Refusal, RefusedRequest, ResponseHead, is_final_status};
use crank_protocol::wire::Call;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::FLOW_CONTROL_WINDOW_BYTES;
use super::attempt::{AttemptEvent, RemovedAttempt, lost_refusal, refused_request};
use super::link::Shared;
use super::writer::Outgoing;

/// Reads the response to one attempt; cancels the attempt if dropped before its end.
pub(super) struct ResponseReader {
    attempt: u64,
    shared: Arc<Shared>,
    events: mpsc::UnboundedReceiver<AttemptEvent>,
    deadline: Instant,
    /// The body bytes read since credit was last granted.
    uncredited_bytes: u64,
    is_ended: bool,
}

impl ResponseReader {
    pub(super) fn new(
        attempt: u64,
        shared: Arc<Shared>,
        events: mpsc::UnboundedReceiver<AttemptEvent>,
        deadline: Instant,
    ) -> Self {
        Self {
            attempt,
            shared,
            events,
            deadline,
            uncredited_bytes: 0,
            is_ended: false,
        }
    }

    /// Waits for the head of the response until the deadline.
    pub(super) async fn read_head(&mut self) -> Result<ResponseHead, RefusedRequest> {
        match timeout_at(self.deadline, self.events.recv()).await {
            Ok(event) => self.handle_first_event(event),
            Err(_) => self.expire(),
        }
    }

    /// Returns the head of the response, or the refusal that came instead.
    fn handle_first_event(
        &mut self,
        event: Option<AttemptEvent>,
    ) -> Result<ResponseHead, RefusedRequest> {
        match event {
            Some(AttemptEvent::Head(head)) if is_final_status(head.status) => Ok(head),
            Some(AttemptEvent::Head(head)) => {
                log::warn!(attempt = self.attempt, status = head.status; "status of no final answer: response dropped");
                self.fail(Refusal::Lost);
                Err(lost_refusal())
            }
            Some(AttemptEvent::Refused(refused)) => {
                self.is_ended = true;
                Err(refused)
            }
            Some(AttemptEvent::Data(_) | AttemptEvent::End) | None => Err(lost_refusal()),
        }
    }

    /// Ends the attempt at its deadline.
    ///
    /// The attempt is removed atomically, so that a request reported as not sent cannot be written
    /// a moment later. A response that has just arrived is still returned.
    fn expire(&mut self) -> Result<ResponseHead, RefusedRequest> {
        match self.cancel() {
            RemovedAttempt::NotSent => Err(refused_request(Refusal::TooLate, Outcome::NotRun)),
            RemovedAttempt::Sent => Err(refused_request(Refusal::TimedOut, Outcome::Unknown)),
            RemovedAttempt::Ended => {
                let event = self.events.try_recv().ok();
                self.handle_first_event(event)
            }
        }
    }

    /// Returns the body of the response as a stream.
    pub(super) fn into_body(self) -> Body {
        Box::pin(futures::stream::unfold(self, |mut reader| async move {
            let chunk = reader.next_chunk().await?;
            Some((chunk, reader))
        }))
    }

    /// Returns the next chunk of the body; `None` at its end.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, Refusal>> {
        if self.is_ended {
            return None;
        }
        let event = timeout_at(self.deadline, self.events.recv()).await;
        let Ok(event) = event else {
            return Some(Err(self.fail(Refusal::TimedOut)));
        };
        match event {
            Some(AttemptEvent::Data(data)) => {
                self.grant_credit(data.len() as u64);
                Some(Ok(data))
            }
            Some(AttemptEvent::End) => {
                self.is_ended = true;
                None
            }
            Some(AttemptEvent::Refused(refused)) => Some(Err(self.fail(refused.refusal))),
            Some(AttemptEvent::Head(_)) | None => Some(Err(self.fail(Refusal::Cut))),
        }
    }

    /// Ends the response with an error.
    fn fail(&mut self, refusal: Refusal) -> Refusal {
        self.is_ended = true;
        self.cancel();
        refusal
    }

    /// Counts bytes that were read; grants them to the server once half the window was read.
    fn grant_credit(&mut self, bytes: u64) {
        self.uncredited_bytes += bytes;
        if self.uncredited_bytes < FLOW_CONTROL_WINDOW_BYTES / 2 {
            return;
        }
        let bytes = std::mem::take(&mut self.uncredited_bytes);
        if self.shared.attempts.lock().add_credit(self.attempt, bytes) {
            let credit = Call::Credit {
                attempt: self.attempt,
                bytes,
            };
            let _ = self.shared.outgoing.send(Outgoing::Frame(credit));
        }
    }

    /// Removes the attempt; tells the target to cancel it if the request was sent.
    fn cancel(&self) -> RemovedAttempt {
        let attempt = self.attempt;
        let removed = self.shared.attempts.lock().remove(attempt);
        if removed == RemovedAttempt::Sent {
            let cancel = Outgoing::Frame(Call::Cancel { attempt });
            let _ = self.shared.outgoing.send(cancel);
        }
        removed
    }
}

impl Drop for ResponseReader {
    fn drop(&mut self) {
        self.cancel();
    }
}
