//! The reading of one attempt's answer on the client's side.

use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Body, Outcome, Refusal, RefusedRequest, ResponseHead};
use crank_protocol::wire::Call;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::CREDIT_BYTES;
use super::attempt::{Event, Forgotten, lost, refused};
use super::link::{Outgoing, Shared};

/// Reads the answer of one attempt; cancels it when dropped before its end.
pub(super) struct Reader {
    attempt: u64,
    shared: Arc<Shared>,
    events: mpsc::UnboundedReceiver<Event>,
    deadline: Instant,
    taken: u64,
    is_ended: bool,
}

impl Reader {
    pub(super) fn new(
        attempt: u64,
        shared: Arc<Shared>,
        events: mpsc::UnboundedReceiver<Event>,
        deadline: Instant,
    ) -> Self {
        Self {
            attempt,
            shared,
            events,
            deadline,
            taken: 0,
            is_ended: false,
        }
    }

    pub(super) async fn head(&mut self) -> Result<ResponseHead, RefusedRequest> {
        match timeout_at(self.deadline, self.events.recv()).await {
            Ok(event) => self.begin(event),
            Err(_) => self.give_up(),
        }
    }

    fn begin(&mut self, event: Option<Event>) -> Result<ResponseHead, RefusedRequest> {
        match event {
            Some(Event::Head(head)) => Ok(head),
            Some(Event::Refused(refused)) => {
                self.is_ended = true;
                Err(refused)
            }
            Some(Event::Data(_) | Event::End) | None => Err(lost()),
        }
    }

    /// Ends the attempt at its deadline. In the same step it is taken from the writer, so that what
    /// is told not to have been sent is not written a moment later; what has just been answered is.
    fn give_up(&mut self) -> Result<ResponseHead, RefusedRequest> {
        match self.cancel() {
            Forgotten::Unwritten => Err(refused(Refusal::TooLate, Outcome::NotRun)),
            Forgotten::Written => Err(refused(Refusal::TimedOut, Outcome::Unknown)),
            Forgotten::Ended => {
                let event = self.events.try_recv().ok();
                self.begin(event)
            }
        }
    }

    pub(super) fn into_body(self) -> Body {
        Box::pin(futures::stream::unfold(self, |mut reader| async move {
            let piece = reader.piece().await?;
            Some((piece, reader))
        }))
    }

    async fn piece(&mut self) -> Option<Result<Bytes, Refusal>> {
        if self.is_ended {
            return None;
        }
        let event = timeout_at(self.deadline, self.events.recv()).await;
        let Ok(event) = event else {
            return Some(Err(self.fail(Refusal::TimedOut)));
        };
        match event {
            Some(Event::Data(data)) => {
                self.give_credit(data.len() as u64);
                Some(Ok(data))
            }
            Some(Event::End) => {
                self.is_ended = true;
                None
            }
            Some(Event::Refused(refused)) => Some(Err(self.fail(refused.refusal))),
            Some(Event::Head(_)) | None => Some(Err(self.fail(Refusal::Cut))),
        }
    }

    fn fail(&mut self, refusal: Refusal) -> Refusal {
        self.is_ended = true;
        self.cancel();
        refusal
    }

    fn give_credit(&mut self, bytes: u64) {
        self.taken += bytes;
        if self.taken < CREDIT_BYTES / 2 {
            return;
        }
        let bytes = std::mem::take(&mut self.taken);
        if self.shared.attempts.lock().credit(self.attempt, bytes) {
            let credit = Call::Credit {
                attempt: self.attempt,
                bytes,
            };
            let _ = self.shared.outgoing.send(Outgoing::Frame(credit));
        }
    }

    /// Forgets the attempt; the target is told if it got the request.
    fn cancel(&self) -> Forgotten {
        let attempt = self.attempt;
        let forgotten = self.shared.attempts.lock().forget(attempt);
        if forgotten == Forgotten::Written {
            let cancel = Outgoing::Frame(Call::Cancel { attempt });
            let _ = self.shared.outgoing.send(cancel);
        }
        forgotten
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.cancel();
    }
}
