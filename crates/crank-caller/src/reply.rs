//! Converts responses and refusals to HTTP responses.

use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};

use bytes::Bytes;
use crank_protocol::call::{
    Body, OUTCOME_HEADER, Outcome, REFUSAL_HEADER, Refusal, RefusedRequest, Response, ResponseHead,
    is_final_status,
};
use crank_protocol::config::Method;
use crank_protocol::{HttpDialect, Millis};
use crank_stream::RequestHold;
use futures::Stream;
use http::header::{
    CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use http::{Response as HttpResponse, StatusCode};
use serde::Serialize;
use thiserror::Error as ThisError;
use warp::reply::Reply;

use crate::request::InvalidRequest;

const MILLIS_PER_SECOND: u64 = 1_000;
/// The `Retry-After` for temporary conditions that state no time of their own.
const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// The JSON body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    refusal: &'a str,
    outcome: Outcome,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
}

pub(crate) fn invalid_request(
    error: &InvalidRequest,
    dialect: &HttpDialect,
) -> warp::reply::Response {
    let status = match error {
        InvalidRequest::Method => StatusCode::METHOD_NOT_ALLOWED,
        InvalidRequest::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        InvalidRequest::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        InvalidRequest::TooSlow => StatusCode::REQUEST_TIMEOUT,
        InvalidRequest::Body => StatusCode::BAD_REQUEST,
        InvalidRequest::OverBudget => StatusCode::SERVICE_UNAVAILABLE,
    };
    refusal_response(&error.to_refused_request(), status, dialect)
}

pub(crate) fn refused_request(
    refused: &RefusedRequest,
    dialect: &HttpDialect,
) -> warp::reply::Response {
    refusal_response(refused, status_of(refused), dialect)
}

/// Returns the response in place of one whose body was cut short before any of it was passed on.
pub(crate) fn cut_short() -> warp::reply::Response {
    in_place_of_answer(Refusal::Cut)
}

/// Returns the response in place of an answer that cannot be passed on.
fn in_place_of_answer(refusal: Refusal) -> warp::reply::Response {
    let refused = RefusedRequest {
        refusal,
        outcome: Outcome::Unknown,
        load: None,
        reached: true,
    };
    refused_request(&refused, &HttpDialect::default())
}

fn refusal_response(
    refused: &RefusedRequest,
    status: StatusCode,
    dialect: &HttpDialect,
) -> warp::reply::Response {
    let retry_after =
        retry_after_of(&refused.refusal).filter(|_| refused.outcome == Outcome::NotRun);
    let refusal = refused.refusal.name();
    let refusal_body = RefusalBody {
        refusal,
        outcome: refused.outcome,
        detail: detail_of(&refused.refusal),
        retry_after_ms: retry_after,
    };
    let mut body = serde_json::to_vec(&refusal_body).unwrap_or_default();
    body.push(b'\n');
    let mut response = HttpResponse::new(body).into_response();
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, outcome_value(refused.outcome));
    headers.insert(REFUSAL_HEADER, HeaderValue::from_static(refusal));
    if status == StatusCode::UNAUTHORIZED
        && let Some(scheme) = dialect.key_scheme.as_deref()
        && let Ok(challenge) = HeaderValue::try_from(scheme)
    {
        headers.insert(WWW_AUTHENTICATE, challenge);
    }
    if let Some(wait) = retry_after {
        headers.insert(RETRY_AFTER, retry_after_value(wait, dialect));
    }
    response
}

/// Returns the value of `Retry-After`: in whole seconds, at least 1, or with milliseconds if the
/// dialect allows fractions.
fn retry_after_value(wait: Millis, dialect: &HttpDialect) -> HeaderValue {
    let whole = HeaderValue::from(wait.0.div_ceil(MILLIS_PER_SECOND).max(1));
    if !dialect.fractional_retry_after {
        return whole;
    }
    let (seconds, rest) = (wait.0 / MILLIS_PER_SECOND, wait.0 % MILLIS_PER_SECOND);
    HeaderValue::try_from(format!("{seconds}.{rest:03}")).unwrap_or(whole)
}

fn retry_after_of(refusal: &Refusal) -> Option<Millis> {
    match refusal {
        Refusal::Overloaded { retry_after } | Refusal::OverRate { retry_after } => {
            Some(*retry_after)
        }
        Refusal::NotReady | Refusal::NoServer | Refusal::Leaving | Refusal::StoreDown => {
            Some(DEFAULT_RETRY_AFTER)
        }
        _ => None,
    }
}

fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
        Outcome::Ran => "ran",
    })
}

/// Returns the HTTP status of a refusal.
///
/// Status 503 means that the request was not run, so that callers may send it again.
fn status_of(refused: &RefusedRequest) -> StatusCode {
    let status = match &refused.refusal {
        Refusal::NotReady
        | Refusal::NoServer
        | Refusal::Leaving
        | Refusal::Overloaded { .. }
        | Refusal::StoreDown
        | Refusal::NotSent
        | Refusal::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::NoRoute => StatusCode::NOT_FOUND,
        Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
        Refusal::OverRate { .. } => StatusCode::TOO_MANY_REQUESTS,
        Refusal::BadRequest { .. } => StatusCode::BAD_REQUEST,
        Refusal::TooLate | Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        Refusal::Lost | Refusal::ConnectionLost | Refusal::Cut => StatusCode::BAD_GATEWAY,
        Refusal::KeyInUse => StatusCode::CONFLICT,
        Refusal::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
    };
    match (status, refused.outcome) {
        (
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS,
            Outcome::Unknown | Outcome::Ran,
        ) => StatusCode::BAD_GATEWAY,
        (status, _) => status,
    }
}

fn detail_of(refusal: &Refusal) -> &str {
    match refusal {
        Refusal::NotReady => "this node has no configuration yet: try again, or another node",
        Refusal::NoRoute => "no route claims this path and method: check them",
        Refusal::Unauthorized => "no valid key came with the request: send a key of an account",
        Refusal::OverRate { .. } => {
            "the account has used up its rate limit: try again after the stated time"
        }
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
        Refusal::Lost | Refusal::ConnectionLost => {
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

/// Returns the HTTP response; `hold` keeps the request counted until its body has ended.
pub(crate) fn response(
    response: Response,
    method: Method,
    hold: RequestHold,
) -> warp::reply::Response {
    let ResponseHead {
        status,
        headers,
        length,
        ..
    } = response.head;
    let Some(status_code) = final_status(status) else {
        return in_place_of_answer(Refusal::Lost);
    };
    let body = CheckedBody::new(
        response.body,
        length.filter(|_| has_body(method, status)),
        hold,
    );
    let mut http_response = warp::reply::stream(body).into_response();
    *http_response.status_mut() = status_code;
    let target_headers = http_response.headers_mut();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            target_headers.append(name, value);
        }
    }
    if let Some(length) = length {
        target_headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    target_headers.remove(REFUSAL_HEADER);
    target_headers.insert(OUTCOME_HEADER, outcome_value(Outcome::Ran));
    http_response
}

fn final_status(status: u16) -> Option<StatusCode> {
    let is_final = is_final_status(status);
    StatusCode::from_u16(status).ok().filter(|_| is_final)
}

fn has_body(method: Method, status: u16) -> bool {
    method != Method::Head && !matches!(status, 204 | 304)
}

/// A response body that cannot be completed. The caller's connection is aborted, so that the caller
/// does not mistake the response for a complete one.
#[derive(Debug, ThisError)]
enum BodyError {
    #[error("the answer was cut short ({0:?})")]
    Refused(Refusal),
    #[error("the answer has another length than it states")]
    Length,
}

/// A response body that returns an error if it is shorter or longer than its stated length.
///
/// The chunk that completes the stated length is held back until the stream has ended, because once
/// the caller has received it, the caller can no longer be notified of an error.
struct CheckedBody {
    /// In a mutex only because the HTTP library requires `Sync`; the lock is never contended.
    body: Mutex<Body>,
    remaining_bytes: Option<u64>,
    held_back: Option<Bytes>,
    is_ended: bool,
    _hold: RequestHold,
}

impl CheckedBody {
    fn new(body: Body, length: Option<u64>, hold: RequestHold) -> Self {
        Self {
            body: Mutex::new(body),
            remaining_bytes: length,
            held_back: None,
            is_ended: false,
            _hold: hold,
        }
    }

    /// Returns what to yield for the next item of the body; `Pending` if its chunk is held back.
    fn next_item(&mut self, chunk: Option<Result<Bytes, Refusal>>) -> Poll<Option<Chunk>> {
        match chunk {
            Some(Ok(data)) => self.count_bytes(data),
            Some(Err(refusal)) => self.end(Some(Err(BodyError::Refused(refusal)))),
            None if self.remaining_bytes.is_some_and(|remaining| remaining > 0) => {
                self.end(Some(Err(BodyError::Length)))
            }
            None => {
                let held_back = self.held_back.take();
                self.end(held_back.map(Ok))
            }
        }
    }

    fn count_bytes(&mut self, data: Bytes) -> Poll<Option<Chunk>> {
        let Some(remaining) = self.remaining_bytes else {
            return Poll::Ready(Some(Ok(data)));
        };
        let Some(remaining) = remaining.checked_sub(data.len() as u64) else {
            return self.end(Some(Err(BodyError::Length)));
        };
        self.remaining_bytes = Some(remaining);
        if remaining > 0 {
            return Poll::Ready(Some(Ok(data)));
        }
        if !data.is_empty() {
            self.held_back = Some(data);
        }
        Poll::Pending
    }

    fn end(&mut self, last: Option<Chunk>) -> Poll<Option<Chunk>> {
        self.is_ended = true;
        Poll::Ready(last)
    }
}

type Chunk = Result<Bytes, BodyError>;

impl Stream for CheckedBody {
    type Item = Chunk;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Chunk>> {
        let this = self.get_mut();
        while !this.is_ended {
            let body = match this.body.get_mut() {
                Ok(body) => body,
                Err(poisoned) => poisoned.into_inner(),
            };
            let Poll::Ready(chunk) = body.as_mut().poll_next(context) else {
                return Poll::Pending;
            };
            if let Poll::Ready(item) = this.next_item(chunk) {
                return Poll::Ready(item);
            }
        }
        Poll::Ready(None)
    }
}
