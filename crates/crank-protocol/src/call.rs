//! Requests on their way from a caller to a backend server, and their responses.

use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_core::Stream;
use serde::{Deserialize, Serialize};

use crate::config::{Importance, Method, Version};
use crate::{Millis, Name, Permille};

/// The request header with which a caller sets the timeout, in milliseconds.
pub const TIMEOUT_HEADER: &str = "crank-timeout-ms";
/// The header with the request id, which stays the same through all layers of a call chain.
pub const REQUEST_ID_HEADER: &str = "crank-request-id";
/// The header with the depth in the call chain; only calls of depth zero are retried.
pub const DEPTH_HEADER: &str = "crank-depth";
/// The response header that says whether the request ran: `ran`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "crank-outcome";
/// The response header with the reason of a refusal, as the snake-case name of the [`Refusal`].
pub const REFUSAL_HEADER: &str = "crank-refusal";
/// The header with the version of the configuration that routed the request.
pub const VERSION_HEADER: &str = "crank-version";
/// The request header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The request header with the key of the caller's client account.
pub const KEY_HEADER: &str = "crank-key";
/// The request header with which a node names the caller's client account to backend servers.
pub const ACCOUNT_HEADER: &str = "crank-client";

/// An HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The header name in lower case.
    pub name: Arc<str>,
    /// The header value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A request without its body, as the entry node sends it to a target node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestHead {
    /// The request id, which stays the same through all attempts and layers of a call chain.
    #[serde(rename = "request")]
    pub request_id: u128,
    /// The service that must run the request.
    pub service: Name,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: Arc<str>,
    /// The headers, without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// The time until the deadline, measured when the frame was sent.
    pub time_left: Millis,
    /// How much of the latency target is left; limits how long the request waits for a slot.
    #[serde(rename = "goal")]
    pub latency_target: Option<Millis>,
    /// Whether the request may wait in the queue. If false, it is refused at once if no slot is
    /// free.
    #[serde(rename = "waits")]
    pub may_queue: bool,
    /// The expected run time, if the entry node has measured other requests of the route.
    #[serde(rename = "run")]
    pub expected_run_time: Option<Millis>,
    /// The expected size of the response body, if the entry node has seen others of the route.
    #[serde(rename = "bytes")]
    pub expected_response_bytes: Option<u64>,
    /// The importance under overload; the least important requests are refused first.
    pub importance: Importance,
    /// Whether the request is idempotent, so that it is safe to run it twice.
    pub idempotent: bool,
    /// The caller's idempotency key if the route is set to `once`.
    #[serde(rename = "once")]
    pub idempotency_key: Option<Arc<str>>,
    /// The depth in the call chain; zero for a caller outside the mesh.
    pub depth: u32,
    /// The client account that the request counts for, if the configuration has client accounts.
    #[serde(rename = "client", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<Name>,
    /// The tag of the key that the request needs, if its route isn't public.
    #[serde(rename = "key", default, skip_serializing_if = "Option::is_none")]
    pub key_tag: Option<KeyTag>,
    /// The version of the configuration that routed the request.
    pub version: Version,
}

/// The first eight bytes of the digest of a client account's key.
///
/// It tells whether a configuration still has the key, and is too short to stand for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyTag(pub u64);

/// What is known about the execution of a request that got no response from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was not run and will not be.
    NotRun,
    /// The request may have run, may be running, or may still run.
    Unknown,
    /// The request ran.
    Ran,
}

/// Why a request got no response from a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The node does not have a configuration to serve yet.
    NotReady,
    /// No route matches the path and method.
    NoRoute,
    /// The request has no key of a client account, or one that is not in the configuration.
    Unauthorized,
    /// The client account has used up its rate limit.
    OverRate {
        /// When the account may send its next request.
        retry_after: Millis,
    },
    /// The request is malformed, too large, or lacks a required header.
    BadRequest {
        /// What is wrong and what to do.
        detail: Arc<str>,
    },
    /// No backend server of the service is ready.
    NoServer,
    /// The target's backend server is not ready or is leaving.
    Leaving,
    /// The queue or another limit is full; the caller can try again later.
    Overloaded {
        /// How long the caller should wait before it tries again.
        retry_after: Millis,
    },
    /// The deadline passed before the request ran.
    TooLate,
    /// The platform's table service could not record the claim of the idempotency key.
    StoreDown,
    /// Another request with this idempotency key is running, or ended without a recorded
    /// outcome.
    KeyInUse,
    /// The idempotency key was used for a different request.
    KeyMismatch,
    /// The request could not be sent to the target node.
    NotSent,
    /// The connection, the node or the backend server was lost after the request was sent.
    Lost,
    /// The connection to the target's node went silent after the request was sent.
    ConnectionLost,
    /// The request was sent, but no response arrived before the deadline.
    TimedOut,
    /// The response was truncated.
    Cut,
    /// The caller disconnected.
    Cancelled,
}

impl Refusal {
    /// Returns the snake-case name used in responses, logs and metrics.
    ///
    /// ```
    /// assert_eq!(crank_protocol::call::Refusal::NoServer.name(), "no_server");
    /// ```
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::Unauthorized => "unauthorized",
            Self::OverRate { .. } => "over_rate",
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
            Self::ConnectionLost => "connection_lost",
            Self::TimedOut => "timed_out",
            Self::Cut => "cut",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The load of a target, which every response carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The number of requests that are running.
    pub running: u32,
    /// The number of requests in the queue.
    pub waiting: u32,
    /// The concurrency limit: how many requests may run at once.
    pub slots: u32,
    /// How long requests take there now, as a share of what is usual; `None` if that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowdown: Option<Permille>,
}

/// A response without its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResponseHead {
    /// The HTTP status code.
    pub status: u16,
    /// The headers, without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// The length of the body in bytes, if the backend server stated it.
    pub length: Option<u64>,
    /// The load of the target.
    pub load: Load,
}

/// The statuses of final answers; any other one is no answer to a request.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether a status is one of a final answer. An answer with another status, whoever sends it,
/// is not passed on to a caller.
///
/// ```
/// use crank_protocol::call::is_final_status;
/// assert!(is_final_status(404));
/// assert!(!is_final_status(0) && !is_final_status(101) && !is_final_status(700));
/// ```
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// A request as a caller sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The host in lower case, without a port.
    pub host: Arc<str>,
    /// The path and query.
    pub path: Arc<str>,
    /// The headers, without the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Bytes,
}

/// The body of a response as a stream; an error item means that the body is truncated.
pub type Body = Pin<Box<dyn Stream<Item = Result<Bytes, Refusal>> + Send>>;

/// A response whose body is still being streamed.
pub struct Response {
    /// The status, headers and load.
    pub head: ResponseHead,
    /// The body; the stream ends without an error only if the body is complete.
    pub body: Body,
}

/// A request that got no response from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Why there is no response.
    pub refusal: Refusal,
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// The load of the target, if it reported one.
    pub load: Option<Load>,
    /// Whether the request may have reached a backend server, which may itself have refused it.
    pub reached: bool,
}
