//! Converts HTTP requests to [`Request`]s.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use crank_protocol::Millis;
use crank_protocol::call::{Header, Outcome, Refusal, RefusedRequest, Request};
use crank_protocol::config::Method;
use futures::{Stream, StreamExt};
use http::Uri;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};

const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);
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
    TooLarge,
    Body,
    /// The bodies of all requests in flight would exceed [`MAX_BUFFERED_BODY_BYTES`].
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
            Self::TooLarge => detail("the body is larger than 1048576 bytes: send less at once"),
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
    budget: &BodyBudget,
) -> Result<(Request, BodyPermit), InvalidRequest>
where
    S: Stream<Item = Result<B, E>>,
    B: Buf,
{
    let method = parse_method(&method)?;
    let length = content_length(&headers);
    if length.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Err(InvalidRequest::TooLarge);
    }
    let read = timeout(BODY_READ_TIMEOUT, read_body(body, budget));
    let (body, permit) = read.await.map_err(|_| InvalidRequest::Body)??;
    let host = parse_host(headers.get(HOST));
    let headers = forwarded_headers(&headers);
    let request = Request {
        method,
        host,
        path,
        headers,
        body,
    };
    Ok((request, permit))
}

/// Limits the total size of the bodies of all requests in flight to [`MAX_BUFFERED_BODY_BYTES`].
#[derive(Clone)]
pub(crate) struct BodyBudget(Arc<Semaphore>);

/// A permit for the bytes of one body, which are returned to the budget when it is dropped.
pub(crate) struct BodyPermit(OwnedSemaphorePermit);

impl BodyBudget {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Semaphore::new(MAX_BUFFERED_BODY_BYTES)))
    }

    fn acquire(&self, bytes: usize) -> Result<BodyPermit, InvalidRequest> {
        let bytes = u32::try_from(bytes).map_err(|_| InvalidRequest::TooLarge)?;
        let permit = self.0.clone().try_acquire_many_owned(bytes);
        permit
            .map(BodyPermit)
            .map_err(|_| InvalidRequest::OverBudget)
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

async fn read_body<S, B, E>(
    body: S,
    budget: &BodyBudget,
) -> Result<(Bytes, BodyPermit), InvalidRequest>
where
    S: Stream<Item = Result<B, E>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut buffer = BytesMut::new();
    let mut permit = budget.acquire(0)?;
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_| InvalidRequest::Body)?;
        if buffer.len() + chunk.remaining() > MAX_BODY_BYTES {
            return Err(InvalidRequest::TooLarge);
        }
        permit.0.merge(budget.acquire(chunk.remaining())?.0);
        buffer.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok((buffer.freeze(), permit))
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
