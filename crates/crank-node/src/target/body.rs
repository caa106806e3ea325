//! Bodies of responses: read whole where they are small enough, passed on as they come otherwise.

use bytes::BytesMut;
use crank_engine::Moment;
use crank_mesh::call::FLOW_CONTROL_WINDOW_BYTES;
use crank_protocol::call::{Body, Refusal, Response};
use futures::StreamExt;

use crate::admission::Permit;
use crate::clock::Clock;

/// A body up to this size is read whole before any of it is passed on, so that a response that
/// breaks off may be retried, and the backend server's slot is free before the body is sent.
const MAX_BUFFERED_BODY_BYTES: usize = FLOW_CONTROL_WINDOW_BYTES as usize;

/// A response with as much of its body as is buffered before any of it is passed on.
pub(super) enum BufferedResponse {
    Complete(Response),
    Partial(Response),
}

/// Buffers a small body completely: if it breaks off before the caller has received any of it, the
/// response is lost and the request may be retried where that is safe.
pub(super) async fn buffer_body(mut response: Response) -> Result<BufferedResponse, Refusal> {
    let mut read = BytesMut::new();
    while read.len() <= MAX_BUFFERED_BODY_BYTES {
        match response.body.next().await {
            Some(Ok(data)) => read.extend_from_slice(&data),
            Some(Err(Refusal::Cut)) => return Err(Refusal::Lost),
            Some(Err(refusal)) => return Err(refusal),
            None => {
                let whole = read.freeze();
                response.body = Box::pin(futures::stream::once(async move { Ok(whole) }));
                return Ok(BufferedResponse::Complete(response));
            }
        }
    }
    let first = futures::stream::once(async move { Ok(read.freeze()) });
    response.body = Box::pin(first.chain(response.body));
    Ok(BufferedResponse::Partial(response))
}

/// Wraps a body so that it holds its permit until it ends, and is cut at the deadline.
pub(super) fn hold_permit(body: Body, permit: Permit, clock: Clock, deadline: Moment) -> Body {
    let end = clock.to_instant(deadline);
    let stream = futures::stream::unfold(Some((body, permit)), move |state| async move {
        let (mut body, permit) = state?;
        match tokio::time::timeout_at(end, body.next()).await {
            Ok(Some(Ok(data))) => Some((Ok(data), Some((body, permit)))),
            Ok(Some(Err(refusal))) => Some((Err(refusal), None)),
            Ok(None) => None,
            Err(_) => Some((Err(Refusal::Cut), None)),
        }
    });
    Box::pin(stream)
}
