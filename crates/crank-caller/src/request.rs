//! From an HTTP request to a [`Request`].

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use crank_protocol::Millis;
use crank_protocol::call::{Header, Outcome, Refusal, RefusedRequest, Request};
use crank_protocol::config::Method;
use futures::{Stream, StreamExt};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};

const BODY_LIMIT: Duration = Duration::from_secs(30);
const ROOM_WAIT: Millis = Millis(1_000);

const ONE_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why an HTTP request cannot become a [`Request`].
pub(crate) enum Fault {
    Method,
    TooLarge,
    Body,
    /// All bodies together would take more than the room for them.
    NoRoom,
}

impl Fault {
    pub(crate) fn refused(&self) -> RefusedRequest {
        let detail = |detail: &str| Refusal::BadRequest {
            detail: detail.into(),
        };
        let refusal = match self {
            Self::Method => {
                detail("the method is not one of GET, HEAD, POST, PUT, PATCH and DELETE")
            }
            Self::TooLarge => detail("the body is larger than 1048576 bytes: send less at once"),
            Self::Body => detail("the body broke off: send the request again"),
            Self::NoRoom => Refusal::Overloaded {
                retry_after: ROOM_WAIT,
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

pub(crate) fn method(method: &http::Method) -> Result<Method, Fault> {
    match method.as_str() {
        "GET" => Ok(Method::Get),
        "HEAD" => Ok(Method::Head),
        "POST" => Ok(Method::Post),
        "PUT" => Ok(Method::Put),
        "PATCH" => Ok(Method::Patch),
        "DELETE" => Ok(Method::Delete),
        _ => Err(Fault::Method),
    }
}

pub(crate) async fn read<S, B, E>(
    method: http::Method,
    path: Arc<str>,
    headers: HeaderMap,
    body: S,
    room: &Room,
) -> Result<(Request, Taken), Fault>
where
    S: Stream<Item = Result<B, E>>,
    B: Buf,
{
    let method = self::method(&method)?;
    let length = stated_length(&headers);
    if length.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Err(Fault::TooLarge);
    }
    let whole = timeout(BODY_LIMIT, whole(body, room));
    let (body, taken) = whole.await.map_err(|_| Fault::Body)??;
    let host = host(&headers);
    let headers = end_to_end(&headers);
    let request = Request {
        method,
        host,
        path,
        headers,
        body,
    };
    Ok((request, taken))
}

/// The room for the bodies of all requests that are on their way.
#[derive(Clone)]
pub(crate) struct Room(Arc<Semaphore>);

/// Room that is given back when this is dropped.
pub(crate) struct Taken(OwnedSemaphorePermit);

impl Room {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Semaphore::new(MAX_BUFFERED_BODY_BYTES)))
    }

    fn take(&self, bytes: usize) -> Result<Taken, Fault> {
        let bytes = u32::try_from(bytes).map_err(|_| Fault::TooLarge)?;
        let taken = self.0.clone().try_acquire_many_owned(bytes);
        taken.map(Taken).map_err(|_| Fault::NoRoom)
    }
}

/// In lower case and without the port, as routes name hosts.
fn host(headers: &HeaderMap) -> Arc<str> {
    let text = headers.get(HOST).and_then(|value| value.to_str().ok());
    let text = text.unwrap_or_default();
    let name = match text.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => text,
    };
    Arc::from(name.to_ascii_lowercase())
}

fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn whole<S, B, E>(body: S, room: &Room) -> Result<(Bytes, Taken), Fault>
where
    S: Stream<Item = Result<B, E>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    let mut taken = room.take(0)?;
    while let Some(piece) = body.next().await {
        let mut piece = piece.map_err(|_| Fault::Body)?;
        if whole.len() + piece.remaining() > MAX_BODY_BYTES {
            return Err(Fault::TooLarge);
        }
        taken.0.merge(room.take(piece.remaining())?.0);
        whole.extend_from_slice(&piece.copy_to_bytes(piece.remaining()));
    }
    Ok((whole.freeze(), taken))
}

fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let named = named_by_connection(headers);
    let kept = headers
        .iter()
        .filter(|(name, _)| !is_one_hop(name) && !named.iter().any(|other| other == name.as_str()));
    kept.map(|(name, value)| Header {
        name: Arc::from(name.as_str()),
        value: value.as_bytes().to_vec(),
    })
    .collect()
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn is_one_hop(name: &HeaderName) -> bool {
    let is_made_anew = *name == HOST || *name == CONTENT_LENGTH || *name == EXPECT;
    is_made_anew || ONE_HOP.contains(&name.as_str())
}
