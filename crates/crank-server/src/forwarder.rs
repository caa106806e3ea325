//! Forwards requests to the backend server beside a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::call::{
    DEPTH_HEADER, Load, OUTCOME_HEADER, Refusal, RequestHead, Response, ResponseHead,
    is_final_status,
};
use crank_protocol::config::Method;
use crank_protocol::heartbeat::Statement;
use crank_protocol::{HttpDialect, Millis, Permille};
use http::header::{CONTENT_ENCODING, HOST, HeaderMap, HeaderName, HeaderValue};
use http::{Request, Response as HttpResponse, StatusCode};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::body_end::BodyEnd;
use crate::checked_body::{CheckedBody, PooledConnection};
use crate::connection::{Connection, ConnectionPool};
use crate::heartbeat_tracker::HeartbeatTracker;
use crate::response_fields::{forwarded_headers, keep_alive_timeout, parse_retry_after};
use crate::response_head::is_spliced;
use crate::seen_headers::SeenHeaders;
use crate::statement;

const PERMILLE_PER_PERCENT: u32 = 10;

/// Forwards requests to a backend server, sending each request at most once.
#[derive(Debug, Clone, Default)]
pub struct Forwarder {
    dialect: Arc<HttpDialect>,
    pool: ConnectionPool,
    seen_headers: SeenHeaders,
    tracker: Option<HeartbeatTracker>,
}

/// The response of a healthy backend server to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    /// The id of the server.
    pub server_id: Arc<str>,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// What the server states about itself.
    pub statement: Statement,
}

impl Forwarder {
    /// Creates a forwarder without open connections.
    ///
    /// ```
    /// let forwarder = crank_server::Forwarder::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the header names and HTTP conventions.
    ///
    /// ```
    /// use crank_protocol::HttpDialect;
    /// let forwarder = crank_server::Forwarder::new().with_dialect(HttpDialect::default().into());
    /// ```
    #[must_use]
    pub fn with_dialect(self, dialect: Arc<HttpDialect>) -> Self {
        Self { dialect, ..self }
    }

    /// Sets the tracker that learns what the backend server states about itself in its responses.
    ///
    /// ```
    /// use crank_server::{Forwarder, HeartbeatTracker};
    /// let tracker = HeartbeatTracker::new(crank_protocol::Millis(3_000));
    /// let forwarder = Forwarder::new().with_tracker(tracker);
    /// ```
    #[must_use]
    pub fn with_tracker(self, tracker: HeartbeatTracker) -> Self {
        Self {
            tracker: Some(tracker),
            ..self
        }
    }

    /// Sends a request to the backend server at `address` and waits for the head of its response.
    ///
    /// Dropping the future or the response body closes the connection, which tells the backend
    /// server to stop. The load in the response is the one that the backend server reports; if it
    /// reports none, the load has 0 slots.
    ///
    /// # Errors
    /// After [`Refusal::NotSent`], [`Refusal::BadRequest`], [`Refusal::Leaving`] (another server
    /// has the address) and [`Refusal::Overloaded`] (the backend server states that it has not run
    /// the request), the request was certainly not run. After [`Refusal::TimedOut`] and
    /// [`Refusal::Lost`] it is unknown whether it ran. After [`Refusal::Cut`] it ran.
    ///
    /// ```
    /// # use crank_protocol::{Millis, call::{Response, RequestHead, Refusal}};
    /// # async fn example(head: RequestHead) -> Result<Response, Refusal> {
    /// let forwarder = crank_server::Forwarder::new();
    /// let address = ([127, 0, 0, 1], 8_080).into();
    /// forwarder.send_request(address, &head, bytes::Bytes::new(), Millis(500)).await
    /// # }
    /// ```
    pub async fn send_request(
        &self,
        address: SocketAddr,
        head: &RequestHead,
        body: Bytes,
        time_left: Millis,
    ) -> Result<Response, Refusal> {
        let sent_at = Instant::now();
        let deadline = sent_at + Duration::from(time_left);
        let request = self.build_request(address, head, body, time_left)?;
        let request_id = request
            .headers()
            .get(&*self.dialect.request_id_header)
            .cloned();
        let response = timeout_at(deadline, self.exchange(address, request));
        let (response, connection) = response.await.unwrap_or(Err(Refusal::TimedOut))?;
        let headers = response.headers();
        let is_echoed = headers.get(&*self.dialect.request_id_header) == request_id.as_ref();
        if self.dialect.echoes_request_id && !is_echoed {
            log::warn!(address:% = address; "response with another request id: connection dropped");
            return Err(Refusal::Lost);
        }
        self.record_statement(sent_at, self.expected_server(head), &response);
        let pooled = PooledConnection {
            pool: self.pool.clone(),
            limit: keep_alive_timeout(headers),
            address,
            connection,
        };
        self.check_response(response, head.method, deadline, pooled)
    }

    /// Sends a health check to the backend server at `address`.
    ///
    /// Returns `None` if the server is unhealthy, draining or overloaded, or if its response does
    /// not state its id and slots.
    ///
    /// ```
    /// # async fn example(forwarder: crank_server::Forwarder) -> bool {
    /// let address = ([127, 0, 0, 1], 8_080).into();
    /// forwarder.check_health(address, "/health", crank_protocol::Millis(500)).await.is_some()
    /// # }
    /// ```
    pub async fn check_health(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Millis,
    ) -> Option<Health> {
        let name = self.dialect.instance_id_header.as_deref()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path.parse().ok()?;
        let host = HeaderValue::try_from(address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        let deadline = Instant::now() + Duration::from(limit);
        let response = timeout_at(deadline, self.exchange(address, request)).await;
        let (response, _connection) = response.ok()?.ok()?;
        let server = response.headers().get(name)?.to_str().ok()?;
        let load = self.parse_load(response.headers())?;
        let statement = statement::read(&self.dialect, response.headers(), false);
        let is_healthy = response.status() == StatusCode::OK && !statement.is_leaving;
        is_healthy.then(|| Health {
            server_id: Arc::from(server),
            slots: load.slots,
            statement,
        })
    }

    /// Returns the id of the server that the request is meant for.
    fn expected_server<'a>(&self, head: &'a RequestHead) -> Option<&'a str> {
        let name = self.dialect.expected_instance_header.as_deref()?;
        let mut headers = head.headers.iter();
        let header = headers.rfind(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok()
    }

    fn record_statement<B>(
        &self,
        sent_at: Instant,
        server: Option<&str>,
        response: &HttpResponse<B>,
    ) {
        let Some(tracker) = &self.tracker else {
            return;
        };
        // Another server than the expected one has the address.
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let headers = response.headers();
        let is_whole = response.status().is_success() && self.is_signed(headers);
        let statement = statement::read(&self.dialect, headers, is_whole);
        tracker.record_statement(sent_at, server, statement);
    }

    /// Sends a request and waits for the head of its response, which must be one head.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(HttpResponse<Incoming>, Connection), Refusal> {
        let (response, connection) = self.send_on_connection(address, request).await?;
        if connection.has_too_many_interim_responses() {
            log::warn!(address:% = address; "too many interim responses: connection dropped");
            return Err(Refusal::Lost);
        }
        if is_spliced(&response) {
            log::warn!(address:% = address; "response head made of two: connection dropped");
            return Err(Refusal::Lost);
        }
        self.seen_headers.record(address, response.headers());
        Ok((response, connection))
    }

    /// Sends a request on an idle connection. If that connection closed before anything was sent,
    /// the next one is tried, and finally a new connection.
    async fn send_on_connection(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(HttpResponse<Incoming>, Connection), Refusal> {
        while let Some(mut connection) = self.pool.take(address) {
            match connection.send(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(connection_lost(address, &error.into_error())),
                },
            }
        }
        let opened = self.pool.open(address).await;
        let mut connection = opened.ok_or(Refusal::NotSent)?;
        match connection.send(request).await {
            Ok(response) => Ok((response, connection)),
            Err(error) if error.message().is_some() => Err(Refusal::NotSent),
            Err(error) => Err(connection_lost(address, &error.into_error())),
        }
    }

    fn build_request(
        &self,
        address: SocketAddr,
        head: &RequestHead,
        body: Bytes,
        time_left: Millis,
    ) -> Result<Request<Full<Bytes>>, Refusal> {
        if has_dot_segments(&head.path) {
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
        let dialect = &self.dialect;
        if !dialect.echoes_request_id {
            let id = HeaderValue::try_from(format!("{:032x}", head.request_id));
            headers.insert(
                parse_header_name(&dialect.request_id_header)?,
                id.map_err(bad_request)?,
            );
            let depth = HeaderValue::from(head.depth.saturating_add(1));
            headers.insert(DEPTH_HEADER, depth);
        }
        headers.insert(
            parse_header_name(&dialect.timeout_header)?,
            HeaderValue::from(time_left.0),
        );
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = http_method(head.method);
        *request.uri_mut() = head.path.parse().map_err(bad_request)?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn check_response(
        &self,
        response: HttpResponse<Incoming>,
        method: Method,
        deadline: Instant,
        pooled: PooledConnection,
    ) -> Result<Response, Refusal> {
        let status = response.status();
        let load = self.parse_load(response.headers());
        if !is_final_status(status.as_u16()) {
            log::warn!(address:% = pooled.address, status = status.as_u16(); "status of no final answer: connection dropped");
            return Err(Refusal::Lost);
        }
        if let Some(refusal) = self.stated_refusal(status, response.headers()) {
            return Err(refusal);
        }
        if status.is_success() && !self.is_signed(response.headers()) {
            log::warn!(address:% = pooled.address; "response not signed: connection dropped");
            return Err(Refusal::Lost);
        }
        let end = BodyEnd::of(method, status.as_u16(), response.headers());
        if end == BodyEnd::Unknown && !self.dialect.allows_close_delimited {
            return Err(Refusal::Cut);
        }
        let head = ResponseHead {
            status: status.as_u16(),
            headers: forwarded_headers(response.headers()),
            length: end.length(),
            load: load.unwrap_or_default(),
        };
        let body = Box::pin(BodyDataStream::new(response.into_body()));
        Ok(Response {
            head,
            body: CheckedBody::into_stream(body, end, deadline, pooled),
        })
    }

    /// Returns the refusal if the backend server states that it has not run the request.
    fn stated_refusal(&self, status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
        let outcome = headers.get(OUTCOME_HEADER);
        let is_shed = status == StatusCode::SERVICE_UNAVAILABLE
            && outcome.is_some_and(|outcome| outcome == "not-run");
        let not_run_header = self.dialect.not_run_header.as_deref();
        let has_not_run_header = not_run_header.is_some_and(|name| headers.contains_key(name));
        if not_run_header.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
            return Some(Refusal::Leaving);
        }
        (is_shed || has_not_run_header).then(|| Refusal::Overloaded {
            retry_after: parse_retry_after(headers),
        })
    }

    fn is_signed(&self, headers: &HeaderMap) -> bool {
        let Some(signature) = self.dialect.signature_header.as_deref() else {
            return true;
        };
        headers.contains_key(signature) && !headers.contains_key(CONTENT_ENCODING)
    }

    fn parse_load(&self, headers: &HeaderMap) -> Option<Load> {
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
            slowdown: next().map(|percent| Permille(percent.saturating_mul(PERMILLE_PER_PERCENT))),
        })
    }
}

fn connection_lost(address: SocketAddr, error: &hyper::Error) -> Refusal {
    log::debug!(address:% = address, error:% = error; "backend connection lost");
    Refusal::Lost
}

fn parse_header_name(name: &str) -> Result<HeaderName, Refusal> {
    HeaderName::from_bytes(name.as_bytes()).map_err(bad_request)
}

/// Returns whether the path has dot segments. A backend server may resolve them, and then serve
/// another path than the one that was routed.
fn has_dot_segments(path: &str) -> bool {
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

fn http_method(method: Method) -> http::Method {
    match method {
        Method::Get => http::Method::GET,
        Method::Head => http::Method::HEAD,
        Method::Post => http::Method::POST,
        Method::Put => http::Method::PUT,
        Method::Patch => http::Method::PATCH,
        Method::Delete => http::Method::DELETE,
    }
}
