//! Requests on their way to the backend server beside a node.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::Millis;
use crank_protocol::call::{
    Answer, AnswerHead, Body, DEPTH_HEADER, Head, Header, Load, OUTCOME_HEADER, REFUSAL_HEADER,
    REQUEST_HEADER, Refusal, TIMEOUT_HEADER, VERSION_HEADER,
};
use crank_protocol::config::Method;
use futures::{Stream, StreamExt};
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use tokio::time::{Instant, timeout_at};

use crate::Error;
use crate::whole::End;

const MOST_IDLE_CONNECTIONS: usize = 64;
const IDLE_LIMIT: Duration = Duration::from_secs(20);
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const SHED_WAIT: Millis = Millis(100);
const MILLIS_PER_SECOND: u64 = 1_000;

/// Headers of an answer that are for one hop, or that only nodes may set.
const KEPT_BACK: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    OUTCOME_HEADER,
    REFUSAL_HEADER,
    VERSION_HEADER,
];

/// Sends requests to a backend server, each once.
#[derive(Debug, Clone)]
pub struct Forwarder {
    client: reqwest::Client,
}

impl Forwarder {
    /// A forwarder without connections.
    ///
    /// # Errors
    /// [`Error::Client`].
    ///
    /// ```
    /// let forwarder = crank_server::Forwarder::new()?;
    /// # Ok::<(), crank_server::Error>(())
    /// ```
    pub fn new() -> Result<Self, Error> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .http1_only()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(MOST_IDLE_CONNECTIONS)
            .pool_idle_timeout(IDLE_LIMIT)
            .connect_timeout(CONNECT_LIMIT)
            .build();
        let client = client.map_err(|error| Error::Client {
            detail: Arc::from(error.to_string()),
        })?;
        Ok(Self { client })
    }

    /// Sends a request to the backend server at an address and waits for the start of its answer.
    ///
    /// Dropping the future or the answer's body closes the connection, which tells the backend
    /// server to stop. The load in the answer is left at zero for the caller of this function.
    ///
    /// # Errors
    /// [`Refusal::NotSent`], [`Refusal::BadRequest`] and [`Refusal::Overloaded`] (the backend
    /// server answered 503 with `crank-outcome: not-run`) are certainly not run;
    /// [`Refusal::TimedOut`] and [`Refusal::Lost`] are unknown; [`Refusal::Cut`] ran.
    ///
    /// ```
    /// # use crank_protocol::{Millis, call::{Answer, Head, Refusal}};
    /// # async fn example(head: Head) -> Result<Answer, Refusal> {
    /// let forwarder = crank_server::Forwarder::new().unwrap();
    /// let address = ([127, 0, 0, 1], 8_080).into();
    /// forwarder.run(address, &head, bytes::Bytes::new(), Millis(500)).await
    /// # }
    /// ```
    pub async fn run(
        &self,
        address: SocketAddr,
        head: &Head,
        body: Bytes,
        time_left: Millis,
    ) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + Duration::from(time_left);
        let request = self.request(address, head, body, time_left)?;
        let sent = timeout_at(deadline, self.client.execute(request));
        let response = match sent.await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => return Err(Refusal::NotSent),
            Ok(Err(error)) => {
                log::debug!(error:% = error; "backend server lost");
                return Err(Refusal::Lost);
            }
            Err(_) => return Err(Refusal::TimedOut),
        };
        answer(response, head.method, deadline)
    }

    fn request(
        &self,
        address: SocketAddr,
        head: &Head,
        body: Bytes,
        time_left: Millis,
    ) -> Result<reqwest::Request, Refusal> {
        let url = format!("http://{address}{}", head.path);
        let mut headers = HeaderMap::with_capacity(head.headers.len() + 4);
        for header in &head.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(bad_request)?;
            let value = HeaderValue::from_bytes(&header.value).map_err(bad_request)?;
            headers.append(name, value);
        }
        let id = HeaderValue::try_from(format!("{:032x}", head.request)).map_err(bad_request)?;
        headers.insert(REQUEST_HEADER, id);
        headers.insert(TIMEOUT_HEADER, HeaderValue::from(time_left.0));
        headers.insert(
            DEPTH_HEADER,
            HeaderValue::from(head.depth.saturating_add(1)),
        );
        let request = self.client.request(method(head.method), url);
        let request = request.headers(headers).body(body);
        let request = request.build().map_err(bad_request)?;
        if is_rewritten(request.url(), &head.path) {
            return Err(bad_request(
                "the path is not in its normal form: leave out dot segments and encode the rest",
            ));
        }
        Ok(request)
    }
}

/// Whether the URL library changed a path; the route was chosen by what the caller wrote.
fn is_rewritten(url: &reqwest::Url, path: &str) -> bool {
    let written = path
        .split_once('?')
        .map_or((path, None), |(path, query)| (path, Some(query)));
    (url.path(), url.query()) != written
}

fn bad_request(error: impl std::fmt::Display) -> Refusal {
    Refusal::BadRequest {
        detail: Arc::from(error.to_string()),
    }
}

fn method(method: Method) -> http::Method {
    match method {
        Method::Get => http::Method::GET,
        Method::Head => http::Method::HEAD,
        Method::Post => http::Method::POST,
        Method::Put => http::Method::PUT,
        Method::Patch => http::Method::PATCH,
        Method::Delete => http::Method::DELETE,
    }
}

fn answer(
    response: reqwest::Response,
    method: Method,
    deadline: Instant,
) -> Result<Answer, Refusal> {
    let status = response.status().as_u16();
    if let Some(retry_after) = shed(&response) {
        return Err(Refusal::Overloaded { retry_after });
    }
    let end = End::of(method, status, response.headers());
    if end == End::Unknown {
        return Err(Refusal::Cut);
    }
    let head = AnswerHead {
        status,
        headers: end_to_end(response.headers()),
        length: end.length(),
        load: Load::default(),
    };
    let body = Box::pin(response.bytes_stream());
    Ok(Answer {
        head,
        body: Piece::stream(body, end, deadline),
    })
}

/// When to try again, if the backend server says that it did not run the request.
fn shed(response: &reqwest::Response) -> Option<Millis> {
    let is_unavailable = response.status() == http::StatusCode::SERVICE_UNAVAILABLE;
    let outcome = response.headers().get(OUTCOME_HEADER)?;
    if !is_unavailable || outcome != "not-run" {
        return None;
    }
    let seconds = response.headers().get(RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let wait = seconds.map(|seconds| Millis(seconds.saturating_mul(MILLIS_PER_SECOND)));
    Some(wait.unwrap_or(SHED_WAIT))
}

fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers
        .iter()
        .filter(|(name, _)| *name != CONTENT_LENGTH && !KEPT_BACK.contains(&name.as_str()));
    kept.map(|(name, value)| Header {
        name: Arc::from(name.as_str()),
        value: value.as_bytes().to_vec(),
    })
    .collect()
}

/// The next piece of a body, and what is known of its end.
struct Piece<S> {
    body: Pin<Box<S>>,
    left: Option<u64>,
    deadline: Instant,
    is_ended: bool,
}

impl<S> Piece<S>
where
    S: Stream<Item = Result<Bytes, reqwest::Error>> + Send + 'static,
{
    fn stream(body: Pin<Box<S>>, end: End, deadline: Instant) -> Body {
        let left = match end {
            End::None { .. } => Some(0),
            End::Length(length) => Some(length),
            End::Mark | End::Unknown => None,
        };
        let piece = Self {
            body,
            left,
            deadline,
            is_ended: false,
        };
        Box::pin(futures::stream::unfold(piece, |mut piece| async move {
            let next = piece.next().await?;
            Some((next, piece))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Refusal>> {
        if self.is_ended {
            return None;
        }
        let next = match timeout_at(self.deadline, self.body.next()).await {
            Ok(next) => self.check(next),
            Err(_) => Some(Err(Refusal::TimedOut)),
        };
        self.is_ended = !matches!(next, Some(Ok(_)));
        next
    }

    fn check(
        &mut self,
        next: Option<Result<Bytes, reqwest::Error>>,
    ) -> Option<Result<Bytes, Refusal>> {
        match (next, &mut self.left) {
            (Some(Ok(data)), Some(left)) => {
                let rest = left.checked_sub(data.len() as u64);
                let Some(rest) = rest else {
                    return Some(Err(Refusal::Cut));
                };
                *left = rest;
                Some(Ok(data))
            }
            (Some(Ok(data)), None) => Some(Ok(data)),
            (Some(Err(_)), _) => Some(Err(Refusal::Cut)),
            (None, Some(left)) if *left > 0 => Some(Err(Refusal::Cut)),
            (None, _) => None,
        }
    }
}
