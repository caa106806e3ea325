//! Converts HTTP requests to [`Request`]s.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use crank_engine::caller_budget::Timeouts;
use crank_protocol::Millis;
use crank_protocol::call::{Header, Outcome, Refusal, RefusedRequest, Request};
use crank_protocol::config::Method;
use crank_stream::RequestHold;
use futures::{Stream, StreamExt};
use http::Uri;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue};
use tokio::time::{Instant, timeout_at};

use crate::MAX_BODY_BYTES;
use crate::limits::Limits;

/// What a field takes in the process besides its own bytes, with the copies that are forwarded.
const FIELD_BYTES: usize = 600;
/// The least room that is taken for a body.
const MIN_BODY_CAPACITY: usize = 1_024;
/// The `Retry-After` of a request that was refused because the body budget is used up.
const OVER_BUDGET_RETRY_AFTER: Millis = Millis(1_000);

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why an HTTP request cannot be converted to a [`Request`].
pub(crate) enum InvalidRequest {
    Method,
    /// The body is larger than the stated number of bytes, the operator's limit.
    TooLarge(u64),
    /// The head is larger than the operator's limit.
    HeadTooLarge,
    Body,
    /// The body came too slowly.
    TooSlow,
    /// There is no room for the request beside those in flight.
    OverBudget,
}

impl InvalidRequest {
    pub(crate) fn to_refused_request(&self) -> RefusedRequest {
        let detail = |detail: &str| Refusal::BadRequest {
            detail: detail.into(),
        };
        let refusal = match self {
            Self::Method => {
                detail("the method is not one of GET, HEAD, POST, PUT, PATCH and DELETE")
            }
            Self::TooLarge(limit) => detail(&format!(
                "the body is larger than {limit} bytes: send less at once"
            )),
            Self::HeadTooLarge => detail("the head is larger than allowed: send fewer fields"),
            Self::TooSlow => detail("the body came too slowly: send the request again"),
            Self::Body => detail("the body broke off: send the request again"),
            Self::OverBudget => Refusal::Overloaded {
                retry_after: OVER_BUDGET_RETRY_AFTER,
            },
        };
        RefusedRequest {
            refusal,
            outcome: Outcome::NotRun,
            load: None,
            reached: false,
        }
    }
}

/// Gives a request whose target has no path, as that of `CONNECT`, the path `/`: warp's filters
/// panic without one.
pub(crate) fn with_path<B>(mut request: http::Request<B>) -> http::Request<B> {
    if request.uri().path_and_query().is_none() {
        *request.uri_mut() = Uri::default();
    }
    request
}

pub(crate) fn parse_method(method: &http::Method) -> Result<Method, InvalidRequest> {
    match method.as_str() {
        "GET" => Ok(Method::Get),
        "HEAD" => Ok(Method::Head),
        "POST" => Ok(Method::Post),
        "PUT" => Ok(Method::Put),
        "PATCH" => Ok(Method::Patch),
        "DELETE" => Ok(Method::Delete),
        _ => Err(InvalidRequest::Method),
    }
}

pub(crate) async fn read_request<S, B, E>(
    method: http::Method,
    path: Arc<str>,
    headers: HeaderMap,
    body: S,
    limits: &Limits,
    hold: &mut RequestHold,
) -> Result<Request, InvalidRequest>
where
    S: Stream<Item = Result<B, E>>,
    B: Buf,
{
    let method = parse_method(&method)?;
    let head_bytes = head_bytes(&path, &headers);
    if limits.head_bytes().is_some_and(|limit| head_bytes > limit) {
        return Err(InvalidRequest::HeadTooLarge);
    }
    reserve(hold, head_bytes + headers.len() * FIELD_BYTES)?;
    let max = MaxBody::new(limits, content_length(&headers))?;
    let body = read_body(body, max, hold).await?;
    let host = parse_host(headers.get(HOST));
    let headers = forwarded_headers(&headers);
    Ok(Request {
        method,
        host,
        path,
        headers,
        body,
    })
}

/// Returns the least number of bytes that the head took on the wire.
fn head_bytes(path: &str, headers: &HeaderMap) -> usize {
    const FIELD_END_BYTES: usize = ":\r\n".len();
    let fields = headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_END_BYTES);
    path.len() + fields.sum::<usize>()
}

fn reserve(hold: &mut RequestHold, bytes: usize) -> Result<(), InvalidRequest> {
    match hold.reserve(bytes as u64) {
        true => Ok(()),
        false => Err(InvalidRequest::OverBudget),
    }
}

/// How large a body may be.
#[derive(Clone, Copy)]
struct MaxBody {
    /// The operator's limit, in bytes.
    limit: u64,
    /// The most bytes that this one can have and the node keeps in hand.
    in_hand: usize,
}

impl MaxBody {
    /// Returns the limits for a body of a stated length, unless it is beyond them.
    fn new(limits: &Limits, length: Option<u64>) -> Result<Self, InvalidRequest> {
        let limit = limits.body_bytes();
        let most = limit
            .min(MAX_BODY_BYTES as u64)
            .min(length.unwrap_or(limit));
        let max = Self {
            limit,
            in_hand: usize::try_from(most).unwrap_or(MAX_BODY_BYTES),
        };
        match length {
            Some(length) if length > most => Err(max.exceeded(length)),
            _ => Ok(max),
        }
    }

    /// Returns the refusal of a body of at least `bytes`.
    ///
    /// One within the operator's limit is not the caller's fault, but there is no room for it.
    fn exceeded(self, bytes: u64) -> InvalidRequest {
        match bytes > self.limit {
            true => InvalidRequest::TooLarge(self.limit),
            false => InvalidRequest::OverBudget,
        }
    }
}

/// Returns the host in lower case and without the port, the form in which routes state hosts.
pub(crate) fn parse_host(header: Option<&HeaderValue>) -> Arc<str> {
    let text = header.and_then(|value| value.to_str().ok());
    let text = text.unwrap_or_default();
    let name = match text.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => text,
    };
    Arc::from(name.to_ascii_lowercase())
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads a body whole; it is not sent to anyone before its end is here.
async fn read_body<S, B, E>(
    body: S,
    max: MaxBody,
    hold: &mut RequestHold,
) -> Result<Bytes, InvalidRequest>
where
    S: Stream<Item = Result<B, E>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut buffer = BytesMut::new();
    let started_at = Instant::now();
    let pace = Timeouts::default().body;
    loop {
        let allowed = pace.time_allowed(buffer.len() as u64);
        let next = timeout_at(started_at + allowed.into(), body.next()).await;
        let Some(chunk) = next.map_err(|_| InvalidRequest::TooSlow)? else {
            return Ok(buffer.freeze());
        };
        let mut chunk = chunk.map_err(|_| InvalidRequest::Body)?;
        let length = buffer.len() + chunk.remaining();
        if length > max.in_hand {
            return Err(max.exceeded(length as u64));
        }
        make_room(&mut buffer, length, max.in_hand, hold)?;
        buffer.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
}

/// Makes a buffer large enough for `length` bytes, and takes the room from the budget.
fn make_room(
    buffer: &mut BytesMut,
    length: usize,
    most: usize,
    hold: &mut RequestHold,
) -> Result<(), InvalidRequest> {
    let capacity = buffer.capacity();
    if length <= capacity {
        return Ok(());
    }
    let doubled = (2 * capacity).max(MIN_BODY_CAPACITY).min(most);
    let wanted = doubled.max(length);
    reserve(hold, wanted - capacity)?;
    let mut larger = BytesMut::with_capacity(wanted);
    larger.extend_from_slice(buffer);
    *buffer = larger;
    Ok(())
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let options = connection_options(headers);
    let forwarded = headers.iter().filter(|(name, _)| {
        !is_stripped(name) && !options.iter().any(|option| option == name.as_str())
    });
    forwarded
        .map(|(name, value)| Header {
            name: Arc::from(name.as_str()),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn is_stripped(name: &HeaderName) -> bool {
    let is_set_by_forwarder = *name == HOST || *name == CONTENT_LENGTH || *name == EXPECT;
    is_set_by_forwarder || HOP_BY_HOP_HEADERS.contains(&name.as_str())
}
