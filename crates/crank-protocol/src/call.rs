//! A caller's request on its way to a backend server, and its answer.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_core::Stream;
use serde::{Deserialize, Serialize};

use crate::config::{Importance, Method, Version};
use crate::{Millis, Name};

/// The header by which a caller limits the time of a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "crank-timeout-ms";
/// The header that names a request through all layers of a call chain.
pub const REQUEST_ID_HEADER: &str = "crank-request-id";
/// The header that counts the layers of a call chain; layers above zero do not retry.
pub const DEPTH_HEADER: &str = "crank-depth";
/// The header of an answer that says what became of the request: `ran`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "crank-outcome";
/// The header of a refusal that says why, as the snake-case name of the [`Refusal`].
pub const REFUSAL_HEADER: &str = "crank-refusal";
/// The header with the configuration version that routed the request.
pub const VERSION_HEADER: &str = "crank-version";
/// The header by which a caller names a request that may run only once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Its name in lower case.
    pub name: Arc<str>,
    /// Its value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Everything of a request but its body, as the entry node sends it to a target node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestHead {
    /// Names the request through all attempts and layers.
    #[serde(rename = "request")]
    pub request_id: u128,
    /// The service that must run it.
    pub service: Name,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: Arc<str>,
    /// Its headers, without those of one hop only.
    pub headers: Vec<Header>,
    /// The time left for it when the frame was sent.
    pub time_left: Millis,
    /// For how much longer an answer is good; it waits for a slot no longer than that allows.
    #[serde(rename = "goal")]
    pub latency_target: Option<Millis>,
    /// Whether it may wait for a slot; where none is free, one that may not is refused at once.
    #[serde(rename = "waits")]
    pub may_queue: bool,
    /// How long it is expected to run, where the entry has seen others of its route.
    #[serde(rename = "run")]
    pub expected_run_time: Option<Millis>,
    /// What is given up first under overload.
    pub importance: Importance,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// The caller's idempotency key where the route says `once`.
    #[serde(rename = "once")]
    pub idempotency_key: Option<Arc<str>>,
    /// The layer of the call chain; zero for a caller outside the mesh.
    pub depth: u32,
    /// The configuration version that routed it.
    pub version: Version,
}

/// What is certain about a request that got no answer of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was not run and will not be.
    NotRun,
    /// It may have run, may be running, or may yet run.
    Unknown,
    /// It ran.
    Ran,
}

/// Why a request got no answer of its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The node has no configuration that it may serve yet.
    NotReady,
    /// No route claims the path and method.
    NoRoute,
    /// The request is malformed, too large, or lacks a header it needs.
    BadRequest {
        /// What is wrong and what to do.
        detail: Arc<str>,
    },
    /// No backend server of the service is ready.
    NoServer,
    /// The target's backend server is not ready or is leaving.
    Leaving,
    /// There is no room; try again later.
    Overloaded {
        /// When to try again.
        retry_after: Millis,
    },
    /// The deadline passed before it ran.
    TooLate,
    /// The platform's table service could not record the claim.
    StoreDown,
    /// Another request with this key is running, or ended without a recorded outcome.
    KeyInUse,
    /// The key was used for another request.
    KeyMismatch,
    /// It could not be handed to the target's node.
    NotSent,
    /// It was sent, and then the connection, the node or the backend server was lost.
    Lost,
    /// It was sent, and no answer came before the deadline.
    TimedOut,
    /// The answer was cut short.
    Cut,
    /// The caller left.
    Cancelled,
}

impl Refusal {
    /// Its name in answers, logs and metrics.
    ///
    /// ```
    /// assert_eq!(crank_protocol::call::Refusal::NoServer.name(), "no_server");
    /// ```
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::BadRequest { .. } => "bad_request",
            Self::NoServer => "no_server",
            Self::Leaving => "leaving",
            Self::Overloaded { .. } => "overloaded",
            Self::TooLate => "too_late",
            Self::StoreDown => "store_down",
            Self::KeyInUse => "key_in_use",
            Self::KeyMismatch => "key_mismatch",
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
            Self::Cut => "cut",
            Self::Cancelled => "cancelled",
        }
    }
}

/// How busy a target is; it rides on each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// The start of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// The headers, without those of one hop only.
    pub headers: Vec<Header>,
    /// The length of the body in bytes, where the backend server said it.
    pub length: Option<u64>,
    /// How busy the target is.
    pub load: Load,
}

/// A caller's request as it came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// The host that it is for, in lower case and without a port.
    pub host: Arc<str>,
    /// Its path and query.
    pub path: Arc<str>,
    /// Its headers, without those of one hop only.
    pub headers: Vec<Header>,
    /// Its whole body.
    pub body: Bytes,
}

/// The bytes of an answer as they come; an error means that the answer is cut.
pub type Body = Pin<Box<dyn Stream<Item = Result<Bytes, Refusal>> + Send>>;

/// An answer on its way to the caller.
pub struct Response {
    /// Its start.
    pub head: ResponseHead,
    /// Its body; ends without an error only when it is whole.
    pub body: Body,
}

/// A request that got no answer of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Why.
    pub refusal: Refusal,
    /// What is certain about it.
    pub outcome: Outcome,
    /// How busy the target is, where one was asked.
    pub load: Option<Load>,
    /// Whether it may have come to a backend server, which may have turned it away itself.
    pub reached: bool,
}
