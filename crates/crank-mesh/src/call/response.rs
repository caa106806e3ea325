//! Sending of the response of one attempt, at the node of the target.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use bytes::Bytes;
use crank_protocol::call::{Outcome, Refusal, RefusedRequest, RequestHead, Response};
use crank_protocol::wire::Call;
use futures::{FutureExt, StreamExt};
use parking_lot::Mutex;
use serde_bytes::ByteBuf;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use super::STALL_TIMEOUT;
use super::attempt::{lost_refusal, refused_request};
use super::server::{RequestHandler, RunningAttempts};
use super::uplink::{Booking, Pace};

/// Sends the response of one attempt.
pub(super) struct ResponseSender {
    pub(super) attempt: u64,
    pub(super) outgoing: mpsc::Sender<Call>,
    pub(super) credit: Arc<Semaphore>,
    pub(super) running: Arc<Mutex<RunningAttempts>>,
}

impl ResponseSender {
    /// Runs the handler and sends its result; a panic counts as an unknown outcome.
    pub(super) async fn run(
        self,
        handler: impl RequestHandler,
        head: RequestHead,
        body: Bytes,
        booking: Booking,
    ) {
        let running = AssertUnwindSafe(handler.handle(head, body)).catch_unwind();
        match running.await {
            Ok(Ok(response)) => self.send_response(response, booking).await,
            Ok(Err(refused)) => self.refuse(refused).await,
            Err(_) => self.refuse(lost_refusal()).await,
        }
    }

    pub(super) async fn refuse(self, refused: RefusedRequest) {
        let frame = Call::Refused {
            attempt: self.attempt,
            refusal: refused.refusal,
            outcome: refused.outcome,
            load: refused.load,
            reached: refused.reached,
        };
        let _ = self.outgoing.send(frame).await;
    }

    async fn send_response(self, response: Response, booking: Booking) {
        let Response { head, mut body } = response;
        let attempt = self.attempt;
        let mut pace = booking.start(head.length);
        let head = Box::new(head);
        if !self.send_frame(Call::Answer { attempt, head }).await {
            return;
        }
        let mut length = 0;
        while let Some(chunk) = body.next().await {
            match chunk {
                Ok(data) => {
                    length += data.len() as u64;
                    if !self.send_body(data, &mut pace).await {
                        return self
                            .refuse(refused_request(Refusal::Cut, Outcome::Ran))
                            .await;
                    }
                }
                Err(refusal) => return self.refuse(refused_request(refusal, Outcome::Ran)).await,
            }
        }
        self.send_frame(Call::End { attempt, length }).await;
    }

    /// Sends a part of the body as credit allows and the link has room; returns false if no credit
    /// arrives in time or the connection has ended.
    async fn send_body(&self, mut data: Bytes, pace: &mut Pace) -> bool {
        while !data.is_empty() {
            let chunk = data.split_to(data.len().min(pace.max_part_bytes()));
            let credit = self.credit.acquire_many(chunk.len() as u32);
            let Ok(Ok(permit)) = timeout(STALL_TIMEOUT, credit).await else {
                return false;
            };
            permit.forget();
            pace.wait(chunk.len() as u64).await;
            let frame = Call::Body {
                attempt: self.attempt,
                data: ByteBuf::from(Vec::from(chunk)),
            };
            if !self.send_frame(frame).await {
                return false;
            }
        }
        true
    }

    async fn send_frame(&self, frame: Call) -> bool {
        self.outgoing.send(frame).await.is_ok()
    }
}

impl Drop for ResponseSender {
    fn drop(&mut self) {
        self.running.lock().remove(self.attempt);
    }
}
