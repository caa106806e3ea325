//! From an answer or a refusal to an HTTP answer.

use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};

use bytes::Bytes;
use crank_protocol::call::{
    Body, OUTCOME_HEADER, Outcome, REFUSAL_HEADER, Refusal, RefusedRequest, Response, ResponseHead,
};
use crank_protocol::config::Method;
use crank_protocol::{HttpDialect, Millis};
use futures::Stream;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response as HttpResponse, StatusCode};
use serde::Serialize;
use thiserror::Error as ThisError;
use warp::reply::Reply;

use crate::request::Fault;

const MILLIS_PER_SECOND: u64 = 1_000;
/// How long a caller leaves alone what is not there for the moment.
const PASSING: Millis = Millis(1_000);

/// What a caller reads in the body of a refusal.
#[derive(Serialize)]
struct Note<'a> {
    refusal: &'a str,
    outcome: Outcome,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
}

pub(crate) fn fault(fault: &Fault, dialect: &HttpDialect) -> warp::reply::Response {
    let status = match fault {
        Fault::Method => StatusCode::METHOD_NOT_ALLOWED,
        Fault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Fault::Body => StatusCode::BAD_REQUEST,
        Fault::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
    };
    with_status(&fault.refused(), status, dialect)
}

pub(crate) fn refused(refused: &RefusedRequest, dialect: &HttpDialect) -> warp::reply::Response {
    with_status(refused, status(refused), dialect)
}

fn with_status(
    refused: &RefusedRequest,
    status: StatusCode,
    dialect: &HttpDialect,
) -> warp::reply::Response {
    let retry_after = retry_after(&refused.refusal).filter(|_| refused.outcome == Outcome::NotRun);
    let refusal = refused.refusal.name();
    let note = Note {
        refusal,
        outcome: refused.outcome,
        detail: detail(&refused.refusal),
        retry_after_ms: retry_after,
    };
    let mut body = serde_json::to_vec(&note).unwrap_or_default();
    body.push(b'\n');
    let mut response = HttpResponse::new(body).into_response();
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, outcome(refused.outcome));
    headers.insert(REFUSAL_HEADER, HeaderValue::from_static(refusal));
    if let Some(wait) = retry_after {
        headers.insert(RETRY_AFTER, seconds(wait, dialect));
    }
    response
}

/// When to try again what was not run for a reason that passes.
fn seconds(wait: Millis, dialect: &HttpDialect) -> HeaderValue {
    let whole = HeaderValue::from(wait.0.div_ceil(MILLIS_PER_SECOND).max(1));
    if !dialect.fractional_retry_after {
        return whole;
    }
    let (seconds, rest) = (wait.0 / MILLIS_PER_SECOND, wait.0 % MILLIS_PER_SECOND);
    HeaderValue::try_from(format!("{seconds}.{rest:03}")).unwrap_or(whole)
}

fn retry_after(refusal: &Refusal) -> Option<Millis> {
    match refusal {
        Refusal::Overloaded { retry_after } => Some(*retry_after),
        Refusal::NotReady | Refusal::NoServer | Refusal::Leaving | Refusal::StoreDown => {
            Some(PASSING)
        }
        _ => None,
    }
}

fn outcome(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
        Outcome::Ran => "ran",
    })
}

/// Unavailable means that the request was not run, so that callers may send it again.
fn status(refused: &RefusedRequest) -> StatusCode {
    let status = match &refused.refusal {
        Refusal::NotReady
        | Refusal::NoServer
        | Refusal::Leaving
        | Refusal::Overloaded { .. }
        | Refusal::StoreDown
        | Refusal::NotSent
        | Refusal::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::NoRoute => StatusCode::NOT_FOUND,
        Refusal::BadRequest { .. } => StatusCode::BAD_REQUEST,
        Refusal::TooLate | Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Refusal::Lost | Refusal::Cut => StatusCode::BAD_GATEWAY,
        Refusal::KeyInUse => StatusCode::CONFLICT,
        Refusal::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
    };
    match (status, refused.outcome) {
        (StatusCode::SERVICE_UNAVAILABLE, Outcome::Unknown | Outcome::Ran) => {
            StatusCode::BAD_GATEWAY
        }
        (status, _) => status,
    }
}

fn detail(refusal: &Refusal) -> &str {
    match refusal {
        Refusal::NotReady => "this node has no configuration yet: try again, or another node",
        Refusal::NoRoute => "no route claims this path and method: check them",
        Refusal::BadRequest { detail } => detail,
        Refusal::NoServer => "no backend server of the service is ready: try again later",
        Refusal::Leaving => "the backend server is leaving: try again",
        Refusal::Overloaded { .. } => "there is no room: try again after the stated time",
        Refusal::TooLate => "the time limit passed before the request ran: allow more time",
        Refusal::StoreDown => "the idempotency key could not be claimed: try again later",
        Refusal::KeyInUse => {
            "a request with this idempotency key has no recorded answer: ask what became of it"
        }
        Refusal::KeyMismatch => "the idempotency key was used for another request: use a new one",
        Refusal::NotSent => "the backend server could not be reached: try again",
        Refusal::Lost => {
            "the connection was lost after the request was sent: ask what became of it before trying again"
        }
        Refusal::TimedOut => {
            "no answer came in time: ask what became of the request before trying again"
        }
        Refusal::Cut => {
            "the answer was cut short: ask what became of the request before trying again"
        }
        Refusal::Cancelled => "the caller left",
    }
}

pub(crate) fn answer(answer: Response, method: Method) -> warp::reply::Response {
    let ResponseHead {
        status,
        headers,
        length,
        ..
    } = answer.head;
    let body = Whole::new(answer.body, length.filter(|_| has_body(method, status)));
    let mut response = warp::reply::stream(body).into_response();
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let target = response.headers_mut();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            target.append(name, value);
        }
    }
    if let Some(length) = length {
        target.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    target.remove(REFUSAL_HEADER);
    target.insert(OUTCOME_HEADER, outcome(Outcome::Ran));
    response
}

fn has_body(method: Method, status: u16) -> bool {
    method != Method::Head && !matches!(status, 204 | 304)
}

/// An answer's body broke off; the caller's connection is cut so that it cannot seem whole.
#[derive(Debug, ThisError)]
enum Broken {
    #[error("the answer was cut short ({0:?})")]
    Refused(Refusal),
    #[error("the answer has another length than it states")]
    Length,
}

/// A body that fails rather than end short or long.
///
/// The piece that completes the stated length is held back until the end has been seen, because
/// nothing after it can be told to the caller.
struct Whole {
    /// A lock only because the HTTP library asks for `Sync`; it is never contended.
    body: Mutex<Body>,
    left: Option<u64>,
    held: Option<Bytes>,
    is_ended: bool,
}

impl Whole {
    fn new(body: Body, length: Option<u64>) -> Self {
        Self {
            body: Mutex::new(body),
            left: length,
            held: None,
            is_ended: false,
        }
    }

    /// What to give for a piece that came; nothing where it is held back.
    fn take(&mut self, piece: Option<Result<Bytes, Refusal>>) -> Poll<Option<Piece>> {
        match piece {
            Some(Ok(data)) => self.count(data),
            Some(Err(refusal)) => self.end(Some(Err(Broken::Refused(refusal)))),
            None if self.left.is_some_and(|left| left > 0) => self.end(Some(Err(Broken::Length))),
            None => {
                let held = self.held.take();
                self.end(held.map(Ok))
            }
        }
    }

    fn count(&mut self, data: Bytes) -> Poll<Option<Piece>> {
        let Some(left) = self.left else {
            return Poll::Ready(Some(Ok(data)));
        };
        let Some(left) = left.checked_sub(data.len() as u64) else {
            return self.end(Some(Err(Broken::Length)));
        };
        self.left = Some(left);
        if left > 0 {
            return Poll::Ready(Some(Ok(data)));
        }
        if !data.is_empty() {
            self.held = Some(data);
        }
        Poll::Pending
    }

    fn end(&mut self, last: Option<Piece>) -> Poll<Option<Piece>> {
        self.is_ended = true;
        Poll::Ready(last)
    }
}

type Piece = Result<Bytes, Broken>;

impl Stream for Whole {
    type Item = Piece;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Piece>> {
        let whole = self.get_mut();
        while !whole.is_ended {
            let body = match whole.body.get_mut() {
                Ok(body) => body,
                Err(poisoned) => poisoned.into_inner(),
            };
            let Poll::Ready(piece) = body.as_mut().poll_next(context) else {
                return Poll::Pending;
            };
            if let Poll::Ready(given) = whole.take(piece) {
                return Poll::Ready(given);
            }
        }
        Poll::Ready(None)
    }
}
