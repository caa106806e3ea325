//! The work of one request, and its answer.

use std::time::Duration;

use bytes::Bytes;
use crank_protocol::call::{IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER};
use crank_protocol::member::Stage;
use futures::StreamExt;
use http::StatusCode;
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use serde::Deserialize;
use thiserror::Error as ThisError;
use tokio::time::sleep;
use warp::reply::Reply;

use crate::state::State;

const PIECE_BYTES: usize = 16 * 1_024;
const LARGEST_SIZE_BYTES: usize = 64 * 1_048_576;

/// What a request may ask of the stand-in in its query.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Wish {
    /// The length of the answer's body; the request's body comes back otherwise.
    size: Option<usize>,
    /// Whether the answer's length is left unsaid.
    chunked: Option<bool>,
    /// How long this request takes, in milliseconds.
    work_ms: Option<u64>,
}

/// Marks an answer that must not be sent: the connection is dropped in its place.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dropped;

#[derive(Debug, ThisError)]
#[error("cut as told")]
struct CutAsTold;

/// Counts work that was given up.
struct Run<'a> {
    state: &'a State,
    is_finished: bool,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let mut ledger = self.state.ledger.lock();
        if self.is_finished {
            ledger.totals.finished += 1;
        } else {
            ledger.totals.cancelled += 1;
        }
    }
}

pub(crate) async fn run(
    state: State,
    path: String,
    wish: Wish,
    headers: HeaderMap,
    body: Bytes,
) -> warp::reply::Response {
    let slot = state.slots.try_acquire();
    let is_up = matches!(state.stage(), Stage::Ready | Stage::Draining);
    let (Ok(_slot), true) = (slot, is_up) else {
        state.ledger.lock().totals.shed += 1;
        return shed();
    };
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let (request, key) = (text(REQUEST_ID_HEADER), text(IDEMPOTENCY_KEY_HEADER));
    state.ledger.lock().start(request, key);
    let mut run = Run {
        state: &state,
        is_finished: false,
    };
    let control = state.control.lock().clone();
    let work_ms = wish.work_ms.or(control.work_ms).unwrap_or(0);
    if work_ms > 0 {
        sleep(Duration::from_millis(work_ms)).await;
    }
    run.is_finished = true;
    let content = content(&wish, path, body);
    let mut response = answer(
        content,
        wish.chunked == Some(true),
        control.cut == Some(true),
    );
    let status = control
        .status
        .and_then(|status| StatusCode::from_u16(status).ok());
    *response.status_mut() = status.unwrap_or(StatusCode::OK);
    if let Some(request) = headers.get(REQUEST_ID_HEADER) {
        response
            .headers_mut()
            .insert(REQUEST_ID_HEADER, request.clone());
    }
    if control.drop == Some(true) {
        response.extensions_mut().insert(Dropped);
    }
    response
}

fn shed() -> warp::reply::Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    let outcome = HeaderValue::from_static("not-run");
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    response
}

fn content(wish: &Wish, path: String, body: Bytes) -> Bytes {
    match wish.size {
        Some(size) => Bytes::from(vec![b'x'; size.min(LARGEST_SIZE_BYTES)]),
        None if body.is_empty() => Bytes::from(path),
        None => body,
    }
}

fn answer(content: Bytes, is_chunked: bool, is_cut: bool) -> warp::reply::Response {
    if !is_chunked && !is_cut {
        return warp::reply::Response::new(content.into());
    }
    let length = content.len();
    let sent = if is_cut { length / 2 } else { length };
    let pieces: Vec<Bytes> = content[..sent]
        .chunks(PIECE_BYTES)
        .map(Bytes::copy_from_slice)
        .collect();
    let pieces = futures::stream::iter(pieces).map(Ok);
    let end = futures::stream::iter(is_cut.then_some(Err(CutAsTold)));
    let mut response = warp::reply::stream(pieces.chain(end)).into_response();
    if !is_chunked {
        let length = HeaderValue::from(length);
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}
