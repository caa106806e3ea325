//! The accepted configuration: its owner, services, routes and client accounts.

mod position;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

use crate::{Error, Millis, Name, Permille};

pub use position::{Revision, StorePosition};

/// The version number of an accepted configuration; each accepted configuration increments it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The SHA-256 of a configuration's canonical encoding, written as 64 hexadecimal digits.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct Digest(Arc<str>);

impl Digest {
    /// Parses a digest written in hexadecimal.
    ///
    /// # Errors
    /// Returns [`Error::BadDigest`] unless `text` consists of 64 lower-case hexadecimal digits.
    ///
    /// ```
    /// use crank_protocol::config::Digest;
    /// assert!(Digest::new(&"0a".repeat(32)).is_ok());
    /// assert!(Digest::new("0a").is_err());
    /// ```
    pub fn new(text: &str) -> Result<Self, Error> {
        Self::try_from(Arc::from(text))
    }

    /// Returns the 64 hexadecimal digits.
    ///
    /// ```
    /// # use crank_protocol::config::Digest;
    /// assert_eq!(Digest::new(&"0a".repeat(32))?.as_str().len(), 64);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for Digest {
    type Error = Error;

    fn try_from(text: Arc<str>) -> Result<Self, Error> {
        let is_hex = text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if is_hex && text.len() == 64 {
            Ok(Self(text))
        } else {
            Err(Error::BadDigest {
                given: text.to_string(),
            })
        }
    }
}

impl From<Digest> for Arc<str> {
    fn from(digest: Digest) -> Self {
        digest.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0[..12])
    }
}

/// Identifies an accepted configuration by its version and the digest of its content.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// The version number.
    pub version: Version,
    /// The digest of the content.
    pub digest: Digest,
}

/// The owner of a deployment, whose folder configures it. The callers are its [`ClientAccount`]s.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The owner's name.
    pub name: Name,
    /// When the notice period ends (wall-clock time), if the owner has been given notice.
    #[serde(with = "time::serde::rfc3339::option")]
    pub notice_ends: Option<OffsetDateTime>,
}

/// How important requests are under overload.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Importance {
    /// Refused first under overload.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Refused last under overload.
    High,
}

/// A service-level objective: the required share of good responses, and what counts as good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The share of requests that must get a good response, in thousandths.
    pub good: Permille,
    /// The latency limit; a slower response does not count as good.
    pub latency: Millis,
}

/// The settings of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// How many requests a backend server runs at once.
    pub slots: u32,
    /// How many connections a backend server accepts.
    pub connections: u32,
    /// How many requests may wait in the queue of a backend server's node.
    pub queue: u32,
    /// The timeout of requests, unless the route sets its own.
    pub timeout: Millis,
    /// The retry budget: how many retries are allowed per thousand requests.
    pub retry_budget: Permille,
    /// The importance under overload; the least important requests are refused first.
    pub importance: Importance,
    /// The duration of the slow start, in which the load of a new backend server is increased
    /// step by step.
    pub warm_up: Millis,
    /// How long a draining backend server has to finish its requests.
    pub drain_grace: Millis,
    /// The service-level objective, if one is set.
    pub objective: Option<Objective>,
    /// The path of the backend servers' health check, if they have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health: Option<Arc<str>>,
}

/// An HTTP method that a route can match.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// The GET method.
    Get,
    /// The HEAD method.
    Head,
    /// The POST method.
    Post,
    /// The PUT method.
    Put,
    /// The PATCH method.
    Patch,
    /// The DELETE method.
    Delete,
}

/// A rule that sends matching requests to a service and sets how they are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix, matched at segment boundaries; the longest match wins.
    pub path: Arc<str>,
    /// The methods that the route matches.
    pub methods: BTreeSet<Method>,
    /// The service that requests are sent to.
    pub service: Name,
    /// The timeout of requests; if absent, the timeout of the service applies.
    pub timeout: Option<Millis>,
    /// Whether requests are idempotent, so that it is safe to run one twice.
    pub idempotent: bool,
    /// Whether a request's Idempotency-Key is claimed in the platform's table before the request
    /// runs.
    pub once: bool,
    /// The host that the route matches; if absent, it matches all hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// The services among which requests are split by weight; if empty, all requests go to
    /// `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// The maximum number of backend servers that one request may reach.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// The importance under overload; if absent, that of the service applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub importance: Option<Importance>,
    /// The latency target of responses; if absent, that of the service's objective applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency: Option<Millis>,
    /// Whether requests need no key, although the configuration has client accounts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// A service with its weight in a traffic split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service that receives this part of the requests.
    pub service: Name,
    /// The weight, relative to the sum of the weights in the split.
    pub weight: u32,
}

/// A client account: the callers that hold one of its keys.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The SHA-256 digests of the account's keys; the keys themselves are not kept.
    pub keys: BTreeSet<Digest>,
    /// The importance of the account's requests, which precedes that of the route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub importance: Option<Importance>,
    /// The rate limit over all nodes together, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RateLimit>,
}

/// The rate limit of a client account, as a token bucket that all nodes share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// How many requests a second the account may send.
    pub per_second: u32,
    /// How many requests the account may send at once after it was idle.
    pub burst: u32,
}

/// What callers may send, and how long they may take; a limit that is absent is the node's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header_bytes: Option<u64>,
    /// The maximum size of a request body, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_bytes: Option<u64>,
    /// How long a caller may take to send a request head.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header_timeout: Option<Millis>,
    /// How long a connection may be idle between two requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_timeout: Option<Millis>,
}

impl CallerLimits {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// A complete, merged and validated configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The owner of the deployment.
    pub account: Owner,
    /// The services by name.
    pub services: BTreeMap<Name, Service>,
    /// The routes by name.
    pub routes: BTreeMap<Name, Route>,
    /// The client accounts by name; if there are none, callers need no key.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub clients: BTreeMap<Name, ClientAccount>,
    /// What callers may send.
    #[serde(default, skip_serializing_if = "CallerLimits::is_default")]
    pub limits: CallerLimits,
}

impl Config {
    /// Returns the configuration of an owner without services, routes, client accounts or limits.
    ///
    /// ```
    /// use crank_protocol::{Name, config::{Owner, Config}};
    /// let account = Owner { name: Name::new("sutkent")?, notice_ends: None };
    /// assert!(Config::new(account).routes.is_empty());
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(account: Owner) -> Self {
        Self {
            account,
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
            clients: BTreeMap::new(),
            limits: CallerLimits::default(),
        }
    }
}

/// An accepted configuration with its stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The version and digest.
    pub stamp: Stamp,
    /// The content.
    pub config: Config,
}

/// A difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The owner is replaced by this one.
    #[serde(rename = "account")]
    Owner(Owner),
    /// The named service is added, or replaced by this one.
    Service(Name, Service),
    /// The named service is removed.
    NoService(Name),
    /// The named route is added, or replaced by this one.
    Route(Name, Route),
    /// The named route is removed.
    NoRoute(Name),
    /// The named client account is added, or replaced by this one.
    Client(Name, ClientAccount),
    /// The named client account is removed.
    NoClient(Name),
    /// The limits of callers are replaced by these.
    Limits(CallerLimits),
}

/// The changes that turn one accepted configuration into a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The base version: the only configuration that the delta applies to.
    pub base: Stamp,
    /// The configuration that must result.
    pub result: Stamp,
    /// The changes; no two concern the same object.
    pub changes: Vec<Change>,
}
