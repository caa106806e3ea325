//! A call that was started before its turn on its connection.

use std::collections::VecDeque;
use std::future::Future;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinError;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::body::{AnswerBody, BoxError};
use crate::{AheadEvent, Gateway, reply};

/// The maximum size of the part of a response body that is held until its turn, in bytes. The rest
/// waits where it is: bodies are pulled. A body that fits leaves its backend server's slot and its
/// permits free for others.
pub(super) const MAX_HELD_BODY_BYTES: usize = 32 * 1_024;

/// A call that was started before its turn; dropping it cancels the call.
pub(super) struct EarlyCall {
    request: Request<()>,
    task: AbortOnDropHandle<Response<AnswerBody>>,
    turn: CancellationToken,
    outcome: OutcomeCounter,
}

impl EarlyCall {
    /// Starts a call with the future of its response.
    ///
    /// `permit` is held until the call has ended and no part of its response is held any more.
    pub(super) fn start<B>(
        gateway: &impl Gateway,
        request: Request<()>,
        call: impl Future<Output = Response<B>> + Send + 'static,
        permit: OwnedSemaphorePermit,
    ) -> Self
    where
        B: Body<Data = Bytes, Error: Into<BoxError>> + Send + 'static,
    {
        let turn = CancellationToken::new();
        let is_turn = turn.clone();
        let task = tokio::spawn(async move {
            let response = call.await;
            hold(response, is_turn, Some(permit)).await
        });
        let counting = gateway.clone();
        gateway.count_ahead(AheadEvent::Started);
        Self {
            request,
            task: AbortOnDropHandle::new(task),
            turn,
            outcome: OutcomeCounter::new(move |event| counting.count_ahead(event)),
        }
    }

    /// Whether the HTTP library has read the very request that the call was started with.
    pub(super) fn is_for<B>(&self, request: &Request<B>) -> bool {
        self.request.method() == request.method()
            && self.request.uri() == request.uri()
            && self.request.version() == request.version()
            && self.request.headers() == request.headers()
    }

    /// Returns the response, once its turn has come.
    ///
    /// # Errors
    /// Returns an error if the call has panicked.
    pub(super) async fn finish(mut self) -> Result<Response<AnswerBody>, JoinError> {
        self.outcome.event = AheadEvent::TakenOver;
        self.turn.cancel();
        (&mut self.task).await
    }
}

/// Counts how a call ended for its connection when it is dropped.
struct OutcomeCounter {
    event: AheadEvent,
    count: Box<dyn Fn(AheadEvent) + Send + Sync>,
}

impl OutcomeCounter {
    fn new(count: impl Fn(AheadEvent) + Send + Sync + 'static) -> Self {
        Self {
            event: AheadEvent::Cancelled,
            count: Box::new(count),
        }
    }
}

impl Drop for OutcomeCounter {
    fn drop(&mut self) {
        (self.count)(self.event);
    }
}

/// Reads the beginning of a response body until the response's turn comes.
///
/// A response whose body is found to be cut short becomes a failure that says so: its connection
/// need not be closed, and requests behind it are answered.
pub(super) async fn hold<B>(
    response: Response<B>,
    is_turn: CancellationToken,
    permit: Option<OwnedSemaphorePermit>,
) -> Response<AnswerBody>
where
    B: Body<Data = Bytes, Error: Into<BoxError>> + Send + 'static,
{
    let (head, body) = response.into_parts();
    let mut body = body.map_err(Into::into).boxed_unsync();
    let mut held = VecDeque::new();
    let mut held_bytes = 0;
    while held_bytes < MAX_HELD_BODY_BYTES {
        let frame = tokio::select! {
            biased;
            () = is_turn.cancelled() => break,
            frame = body.frame() => frame,
        };
        match frame {
            Some(Ok(frame)) => {
                held_bytes += frame.data_ref().map_or(0, Bytes::len);
                held.push_back(frame);
            }
            Some(Err(error)) => {
                log::debug!(error:% = error; "answer cut short before its turn");
                return reply::cut_short().map(AnswerBody::whole);
            }
            None => break,
        }
    }
    Response::from_parts(head, AnswerBody::new(held, body, permit))
}
