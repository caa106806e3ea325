//! Requests on their way to the backend server beside a node.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::call::{
    Body, DEPTH_HEADER, Header, Load, OUTCOME_HEADER, REFUSAL_HEADER, Refusal, RequestHead,
    Response, ResponseHead, VERSION_HEADER,
};
use crank_protocol::config::Method;
use crank_protocol::{HttpDialect, Millis};
use futures::{Stream, StreamExt};
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue,
    RETRY_AFTER,
};
use http::{Request, Response as HttpResponse, StatusCode};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::body_end::BodyEnd;
use crate::connection::{Connection, Connections};

const SHED_WAIT: Millis = Millis(100);
const MILLIS_PER_SECOND: u64 = 1_000;
/// How much sooner than the backend server says a kept connection is given up.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

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
#[derive(Debug, Clone, Default)]
pub struct Forwarder {
    dialect: Arc<HttpDialect>,
    connections: Connections,
}

/// What a well backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    /// Its id.
    pub server_id: Arc<str>,
    /// Requests it runs at once.
    pub slots: u32,
}

impl Forwarder {
    /// A forwarder without connections.
    ///
    /// ```
    /// let forwarder = crank_server::Forwarder::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with other header names and customs.
    ///
    /// ```
    /// use crank_protocol::HttpDialect;
    /// let forwarder = crank_server::Forwarder::new().with_dialect(HttpDialect::default().into());
    /// ```
    #[must_use]
    pub fn with_dialect(self, dialect: Arc<HttpDialect>) -> Self {
        Self { dialect, ..self }
    }

    /// Sends a request to the backend server at an address and waits for the start of its answer.
    ///
    /// Dropping the future or the answer's body closes the connection, which tells the backend
    /// server to stop. The load in the answer is what the backend server said of itself; without
    /// slots where it says nothing.
    ///
    /// # Errors
    /// [`Refusal::NotSent`], [`Refusal::BadRequest`], [`Refusal::Leaving`] (another server has the
    /// address) and [`Refusal::Overloaded`] (the backend server says that it has not run it) are
    /// certainly not run; [`Refusal::TimedOut`] and [`Refusal::Lost`] are unknown;
    /// [`Refusal::Cut`] ran.
    ///
    /// ```
    /// # use crank_protocol::{Millis, call::{Response, RequestHead, Refusal}};
    /// # async fn example(head: RequestHead) -> Result<Response, Refusal> {
    /// let forwarder = crank_server::Forwarder::new();
    /// let address = ([127, 0, 0, 1], 8_080).into();
    /// forwarder.run(address, &head, bytes::Bytes::new(), Millis(500)).await
    /// # }
    /// ```
    pub async fn run(
        &self,
        address: SocketAddr,
        head: &RequestHead,
        body: Bytes,
        time_left: Millis,
    ) -> Result<Response, Refusal> {
        let deadline = Instant::now() + Duration::from(time_left);
        let request = self.request(address, head, body, time_left)?;
        let echo = request
            .headers()
            .get(&*self.dialect.request_id_header)
            .cloned();
        let sent = timeout_at(deadline, self.send(address, request));
        let (response, connection) = sent.await.unwrap_or(Err(Refusal::TimedOut))?;
        let headers = response.headers();
        let is_echoed = headers.get(&*self.dialect.request_id_header) == echo.as_ref();
        if self.dialect.echoes_request_id && !is_echoed {
            log::warn!(address:% = address; "an answer to another request: connection dropped");
            return Err(Refusal::Lost);
        }
        let home = Home {
            connections: self.connections.clone(),
            limit: keep_alive(headers),
            address,
            connection,
        };
        self.answer(response, head.method, deadline, home)
    }

    /// Asks the backend server at an address for its health, as a request of its own.
    ///
    /// `None` where it is not well, leaves, has no room, or does not tell its id and its slots.
    ///
    /// ```
    /// # async fn example(forwarder: crank_server::Forwarder) -> bool {
    /// let address = ([127, 0, 0, 1], 8_080).into();
    /// forwarder.check(address, "/health", crank_protocol::Millis(500)).await.is_some()
    /// # }
    /// ```
    pub async fn check(&self, address: SocketAddr, path: &str, limit: Millis) -> Option<Health> {
        let name = self.dialect.instance_id_header.as_deref()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path.parse().ok()?;
        let host = HeaderValue::try_from(address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        let deadline = Instant::now() + Duration::from(limit);
        let sent = timeout_at(deadline, self.send(address, request)).await;
        let (response, _connection) = sent.ok()?.ok()?;
        let server = response.headers().get(name)?.to_str().ok()?;
        let load = self.load(response.headers())?;
        (response.status() == StatusCode::OK).then(|| Health {
            server_id: Arc::from(server),
            slots: load.slots,
        })
    }

    /// Sends on a kept connection, or on a new one where the kept one took nothing of it.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(HttpResponse<Incoming>, Connection), Refusal> {
        while let Some(mut connection) = self.connections.take(address) {
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(lost(address, &error.into_error())),
                },
            }
        }
        let opened = self.connections.open(address).await;
        let mut connection = opened.ok_or(Refusal::NotSent)?;
        match connection.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(error) if error.message().is_some() => Err(Refusal::NotSent),
            Err(error) => Err(lost(address, &error.into_error())),
        }
    }

    fn request(
        &self,
        address: SocketAddr,
        head: &RequestHead,
        body: Bytes,
        time_left: Millis,
    ) -> Result<Request<Full<Bytes>>, Refusal> {
        if has_dots(&head.path) {
            return Err(bad_request(
                "the path is not in its normal form: leave out dot segments and encode the rest",
            ));
        }
        let mut headers = HeaderMap::with_capacity(head.headers.len() + 5);
        for header in &head.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(bad_request)?;
            let value = HeaderValue::from_bytes(&header.value).map_err(bad_request)?;
            headers.append(name, value);
        }
        if !headers.contains_key(HOST) {
            let host = HeaderValue::try_from(address.to_string()).map_err(bad_request)?;
            headers.insert(HOST, host);
        }
        let names = &self.dialect;
        if !names.echoes_request_id {
            let id = HeaderValue::try_from(format!("{:032x}", head.request_id));
            headers.insert(
                header_name(&names.request_id_header)?,
                id.map_err(bad_request)?,
            );
            let depth = HeaderValue::from(head.depth.saturating_add(1));
            headers.insert(DEPTH_HEADER, depth);
        }
        headers.insert(
            header_name(&names.timeout_header)?,
            HeaderValue::from(time_left.0),
        );
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method(head.method);
        *request.uri_mut() = head.path.parse().map_err(bad_request)?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn answer(
        &self,
        response: HttpResponse<Incoming>,
        method: Method,
        deadline: Instant,
        home: Home,
    ) -> Result<Response, Refusal> {
        let status = response.status();
        let told = self.load(response.headers());
        if let Some(refusal) = self.turned_away(status, response.headers()) {
            return Err(refusal);
        }
        if status.is_success() && !self.is_signed(response.headers()) {
            log::warn!(address:% = home.address; "an answer without its signature");
            return Err(Refusal::Lost);
        }
        let end = BodyEnd::of(method, status.as_u16(), response.headers());
        if end == BodyEnd::Unknown && !self.dialect.allows_close_delimited {
            return Err(Refusal::Cut);
        }
        let head = ResponseHead {
            status: status.as_u16(),
            headers: end_to_end(response.headers()),
            length: end.length(),
            load: told.unwrap_or_default(),
        };
        let body = Box::pin(BodyDataStream::new(response.into_body()));
        Ok(Response {
            head,
            body: Piece::stream(body, end, deadline, home),
        })
    }

    /// The refusal, where the backend server says that it has not run the request.
    fn turned_away(&self, status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
        let own_mark = headers.get(OUTCOME_HEADER);
        let own = status == StatusCode::SERVICE_UNAVAILABLE
            && own_mark.is_some_and(|outcome| outcome == "not-run");
        let mark = self.dialect.not_run_header.as_deref();
        let marked = mark.is_some_and(|mark| headers.contains_key(mark));
        if mark.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
            return Some(Refusal::Leaving);
        }
        (own || marked).then(|| Refusal::Overloaded {
            retry_after: retry_after(headers),
        })
    }

    fn is_signed(&self, headers: &HeaderMap) -> bool {
        let Some(signature) = self.dialect.signature_header.as_deref() else {
            return true;
        };
        headers.contains_key(signature) && !headers.contains_key(CONTENT_ENCODING)
    }

    fn load(&self, headers: &HeaderMap) -> Option<Load> {
        let text = headers
            .get(self.dialect.load_header.as_deref()?)?
            .to_str()
            .ok()?;
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let mut next = || numbers.next().flatten();
        Some(Load {
            running: next()?,
            waiting: next()?,
            slots: next()?,
        })
    }
}

fn lost(address: SocketAddr, error: &hyper::Error) -> Refusal {
    log::debug!(address:% = address, error:% = error; "backend server lost");
    Refusal::Lost
}

/// How long the backend server keeps the connection; `None` where it does not say.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get(CONNECTION).is_some_and(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.eq_ignore_ascii_case("close"))
    });
    if closes {
        return Some(Duration::ZERO);
    }
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let stated = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds = stated.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}

fn header_name(name: &str) -> Result<HeaderName, Refusal> {
    HeaderName::from_bytes(name.as_bytes()).map_err(bad_request)
}

/// A backend server could read such a path as another one than was routed.
fn has_dots(path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    path.split('/').any(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    })
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
fn retry_after(headers: &HeaderMap) -> Millis {
    let seconds = headers.get(RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    seconds.map_or(SHED_WAIT, |seconds| {
        Millis(seconds.saturating_mul(MILLIS_PER_SECOND))
    })
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
    home: Option<Home>,
}

/// Where a connection goes back to once its answer was whole.
struct Home {
    connections: Connections,
    limit: Option<Duration>,
    address: SocketAddr,
    connection: Connection,
}

impl Home {
    /// The connection may carry the next request only once the library is done with this one.
    fn bring_back(self) {
        let Self {
            connections,
            limit,
            address,
            mut connection,
        } = self;
        if limit == Some(Duration::ZERO) {
            return;
        }
        if connection.is_ready() {
            connections.keep(address, connection, limit);
            return;
        }
        tokio::spawn(async move {
            if connection.ready().await.is_ok() {
                connections.keep(address, connection, limit);
            }
        });
    }
}

impl<S> Piece<S>
where
    S: Stream<Item = Result<Bytes, hyper::Error>> + Send + 'static,
{
    fn stream(body: Pin<Box<S>>, end: BodyEnd, deadline: Instant, home: Home) -> Body {
        let left = match end {
            BodyEnd::None { .. } => Some(0),
            BodyEnd::Length(length) => Some(length),
            BodyEnd::Mark | BodyEnd::Unknown => None,
        };
        let piece = Self {
            body,
            left,
            deadline,
            is_ended: false,
            home: Some(home),
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
        if next.is_none()
            && let Some(home) = self.home.take()
        {
            home.bring_back();
        }
        next
    }

    fn check(
        &mut self,
        next: Option<Result<Bytes, hyper::Error>>,
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
