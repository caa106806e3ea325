//! The listener: which service a request is for, and what it passes on the way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::answer::{Answer, json, object_error, row_error};
use crate::control::Switches;
use crate::gate::{Cost, Gate, Stop};
use crate::objects::{Objects, Written};
use crate::rows::{Rows, transaction_rows};
use crate::{Error, text};

const TARGET_HEADER: &str = "x-amz-target";
const TARGET_PREFIX: &str = "DynamoDB_20120810.";
const WRITES_PER_TRANSACTION_ROW: u32 = 2;

/// The platform, listening.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    services: Arc<Services>,
}

#[derive(Debug)]
struct Services {
    gate: Gate,
    objects: Objects,
    rows: Rows,
}

impl Server {
    /// Listens; port 0 takes a free one.
    ///
    /// # Errors
    /// [`Error::Listen`].
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let server = crank_platform::Server::new(address, Default::default()).await.unwrap();
    /// assert_ne!(server.address().port(), 0);
    /// # });
    /// ```
    pub async fn new(address: SocketAddr, switches: Switches) -> Result<Self, Error> {
        let failed = |source| Error::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let services = Services {
            gate: Gate::new(switches),
            objects: Objects::default(),
            rows: Rows::default(),
        };
        Ok(Self {
            listener,
            address,
            services: Arc::new(services),
        })
    }

    /// Where it listens.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let address = "127.0.0.1:0".parse().unwrap();
    /// # let server = crank_platform::Server::new(address, Default::default()).await.unwrap();
    /// assert!(server.address().ip().is_loopback());
    /// # });
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until it is dropped.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let address = "127.0.0.1:0".parse().unwrap();
    /// # let server = crank_platform::Server::new(address, Default::default()).await.unwrap();
    /// tokio::spawn(server.run());
    /// # });
    /// ```
    pub async fn run(self) {
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("a connection could not be taken: {error}");
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let services = self.services.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| answer(services.clone(), request));
                let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                if let Err(error) = served.await {
                    log::debug!("a connection ended: {error}");
                }
            });
        }
    }
}

async fn answer(services: Arc<Services>, request: Request<Incoming>) -> Result<Answer, Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let path = text::decode(parts.uri.path(), false);
    if path == "/control" || path.starts_with("/control/") {
        return Ok(services.control(&parts.method, &path, &body));
    }
    let delay = services.gate.delay(access_key(&parts.headers));
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let target = parts.headers.get(TARGET_HEADER);
    let written = match target.and_then(|target| target.to_str().ok()) {
        Some(target) => services.table(target, &body),
        None => {
            let query = parts.uri.query().unwrap_or_default();
            let path = path.trim_start_matches('/');
            services.store(&parts.method, path, query, &parts.headers, body)
        }
    };
    match written {
        Written::No(answer) => Ok(answer),
        Written::Yes(_) if services.gate.loses_answer() => Err(Error::AnswerLost),
        Written::Yes(answer) => Ok(answer),
    }
}

/// The access key that signed a request; it stands for where the request comes from.
fn access_key(headers: &HeaderMap) -> &str {
    let given = headers.get(header::AUTHORIZATION);
    let text = given.and_then(|value| value.to_str().ok()).unwrap_or("");
    let credential = text.split_once("Credential=").map_or("", |(_, rest)| rest);
    credential.split('/').next().unwrap_or("")
}

impl Services {
    fn control(&self, method: &Method, path: &str, body: &[u8]) -> Answer {
        match (method, path) {
            (&Method::GET, "/control") => json(StatusCode::OK, &self.gate.switches()),
            (&Method::GET, "/control/counts") => json(StatusCode::OK, &self.gate.counts()),
            (&Method::PUT | &Method::POST, "/control") => self.switch(body),
            _ => object_error(
                StatusCode::NOT_FOUND,
                "NoSuchKey",
                "use GET or PUT /control, or GET /control/counts",
            ),
        }
    }

    fn switch(&self, body: &[u8]) -> Answer {
        match merged(&self.gate.switches(), body) {
            Ok(switches) => {
                self.gate.set(switches.clone());
                json(StatusCode::OK, &switches)
            }
            Err(error) => {
                let problem = error.to_string();
                row_error(StatusCode::BAD_REQUEST, "ValidationException", &problem)
            }
        }
    }

    fn table(&self, target: &str, body: &[u8]) -> Written {
        let operation = target.strip_prefix(TARGET_PREFIX).unwrap_or(target);
        let cost = match operation {
            "GetItem" | "Query" => Cost::Reads(1),
            "PutItem" => Cost::Writes(1),
            "TransactWriteItems" => {
                Cost::Writes(transaction_rows(body) * WRITES_PER_TRANSACTION_ROW)
            }
            _ => {
                let problem = "the stand-in serves GetItem, Query, PutItem and TransactWriteItems";
                let code = "UnknownOperationException";
                return Written::No(row_error(StatusCode::BAD_REQUEST, code, problem));
            }
        };
        if let Err(stop) = self.gate.pass(operation, cost, Instant::now()) {
            return Written::No(row_stop(stop));
        }
        match operation {
            "GetItem" => Written::No(self.rows.get(body)),
            "Query" => Written::No(self.rows.query(body)),
            "PutItem" => self.rows.put(body),
            _ => self.rows.transact(body),
        }
    }

    fn store(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Written {
        let is_object = path.trim_end_matches('/').contains('/');
        let (operation, cost) = match (method, is_object) {
            (&Method::PUT, true) if query.is_empty() => ("PutObject", Cost::Writes(1)),
            (&Method::GET, true) if query.is_empty() => ("GetObject", Cost::Reads(1)),
            (&Method::GET, false) if query.contains("list-type=2") => {
                ("ListObjectsV2", Cost::Reads(1))
            }
            _ => {
                let problem = "the stand-in serves PUT and GET of objects and GET ?list-type=2";
                let status = StatusCode::NOT_IMPLEMENTED;
                return Written::No(object_error(status, "NotImplemented", problem));
            }
        };
        if let Err(stop) = self.gate.pass(operation, cost, Instant::now()) {
            return Written::No(object_stop(stop));
        }
        match operation {
            "PutObject" => self.objects.put(path, headers, body),
            "GetObject" => Written::No(self.objects.get(path)),
            _ => {
                let most = self.gate.switches().page_objects;
                let bucket = path.trim_end_matches('/');
                Written::No(self.objects.list(bucket, query, most))
            }
        }
    }
}

fn merged(now: &Switches, body: &[u8]) -> Result<Switches, serde_json::Error> {
    let given: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    let mut whole = serde_json::to_value(now)?;
    if let Some(fields) = whole.as_object_mut() {
        fields.extend(given);
    }
    serde_json::from_value(whole)
}

fn row_stop(stop: Stop) -> Answer {
    match stop {
        Stop::Down => row_error(
            StatusCode::SERVICE_UNAVAILABLE,
            "ServiceUnavailable",
            "the stand-in is switched off",
        ),
        Stop::Throttled => row_error(
            StatusCode::BAD_REQUEST,
            "ProvisionedThroughputExceededException",
            "the rate of the table service is exceeded",
        ),
    }
}

fn object_stop(stop: Stop) -> Answer {
    let (code, message) = match stop {
        Stop::Down => ("ServiceUnavailable", "the stand-in is switched off"),
        Stop::Throttled => ("SlowDown", "reduce your request rate"),
    };
    object_error(StatusCode::SERVICE_UNAVAILABLE, code, message)
}
