//! The bodies of heartbeats and other reports of a backend server, however they are framed.

use std::pin::pin;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use warp::reject::Reject;
use warp::{Filter, Rejection};

/// The rejection of a report whose body is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

impl Reject for TooLong {}

/// Extracts a body of at most `max_bytes`: with a length, in chunks, or none at all.
///
/// # Errors
/// Rejects a longer body with [`TooLong`] before more of it is kept.
///
/// ```
/// use warp::Filter;
/// let filter = warp::post().and(crank_server::report_body(1_024));
/// ```
#[must_use]
pub fn report_body(
    max_bytes: usize,
) -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::header::optional::<usize>("content-length")
        .and(warp::body::stream())
        .and_then(move |length, body| read(length, body, max_bytes))
}

async fn read(
    length: Option<usize>,
    body: impl Stream<Item = Result<impl Buf, warp::Error>>,
    max_bytes: usize,
) -> Result<Bytes, Rejection> {
    if length > Some(max_bytes) {
        return Err(warp::reject::custom(TooLong));
    }
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(part) = body.next().await {
        // The connection has ended; nobody reads the answer.
        let part = part.map_err(|_| warp::reject::reject())?;
        if bytes.len() + part.remaining() > max_bytes {
            return Err(warp::reject::custom(TooLong));
        }
        bytes.put(part);
    }
    Ok(bytes.freeze())
}
