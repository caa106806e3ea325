//! Buffering of responses before any of them is passed on to the caller.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use crank_engine::Moment;
use crank_engine::buffer::{Limit, MAX_BYTES_OF_NODE};
use crank_protocol::call::{Body, Outcome, Refusal, RefusedRequest, Response};
use futures::StreamExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::clock::Clock;

/// The buffers of all responses at a node.
pub(super) struct ResponseBuffers {
    clock: Clock,
    /// A permit for each byte that may be buffered.
    room: Arc<Semaphore>,
}

impl ResponseBuffers {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            room: Arc::new(Semaphore::new(MAX_BYTES_OF_NODE as usize)),
        }
    }

    /// Buffers a response until it is complete or its limit is reached. Without room, it is passed
    /// on as it is.
    ///
    /// # Errors
    /// Returns that the response was lost if it breaks off in the buffer: it may be requested
    /// again where that is safe.
    pub(super) async fn fill(
        &self,
        mut response: Response,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let limit = Limit::new(self.clock.now(), response.head.length, deadline);
        let until = self.clock.to_instant(limit.until);
        let mut start = BodyStart::default();
        while !limit.is_reached(self.clock.now(), start.bytes) {
            match tokio::time::timeout_at(until, response.body.next()).await {
                Ok(Some(Ok(data))) => {
                    if !start.push(data, &self.room) {
                        break;
                    }
                }
                Ok(Some(Err(refusal))) => return Err(broken_off(refusal)),
                Ok(None) => {
                    response.body = start.into_body();
                    return Ok(response);
                }
                Err(_) => break,
            }
        }
        response.body = Box::pin(start.into_body().chain(response.body));
        Ok(response)
    }
}

/// Returns the refusal in place of a response that broke off before any of it was passed on.
fn broken_off(refusal: Refusal) -> RefusedRequest {
    let refusal = match refusal {
        Refusal::Cut => Refusal::Lost,
        refusal => refusal,
    };
    RefusedRequest {
        refusal,
        outcome: Outcome::Unknown,
        load: None,
        reached: true,
    }
}

/// The buffered start of a body, with the permits for its bytes.
#[derive(Default)]
struct BodyStart {
    parts: VecDeque<Bytes>,
    bytes: u64,
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyStart {
    /// Adds a part; returns false if there was no room for it.
    fn push(&mut self, part: Bytes, room: &Arc<Semaphore>) -> bool {
        let bytes = part.len();
        self.bytes += bytes as u64;
        self.parts.push_back(part);
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        let Ok(permit) = room.clone().try_acquire_many_owned(permits) else {
            return false;
        };
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        true
    }

    /// Returns the parts as a body; the permits are held until all of them were taken.
    fn into_body(self) -> Body {
        Box::pin(futures::stream::unfold(self, |mut start| async move {
            let part = start.parts.pop_front()?;
            Some((Ok(part), start))
        }))
    }
}
