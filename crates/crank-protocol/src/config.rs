//! The accepted configuration: services, routes and the client account.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

use crate::{Error, Millis, Name, Permille};

/// The number of an accepted configuration; each acceptance adds one.
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
    /// Checks and takes a digest in hexadecimal.
    ///
    /// # Errors
    /// [`Error::BadDigest`] unless the text is 64 lower-case hexadecimal digits.
    ///
    /// ```
    /// use crank_protocol::config::Digest;
    /// assert!(Digest::new(&"0a".repeat(32)).is_ok());
    /// assert!(Digest::new("0a").is_err());
    /// ```
    pub fn new(text: &str) -> Result<Self, Error> {
        Self::try_from(Arc::from(text))
    }

    /// The 64 hexadecimal digits.
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

/// Which configuration a node holds: its number and the digest of its content.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// The number.
    pub version: Version,
    /// The digest of the content.
    pub digest: Digest,
}

/// The client account that a folder configures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name.
    pub name: Name,
    /// When its notice period ends (wall time), where notice has been given.
    #[serde(with = "time::serde::rfc3339::option")]
    pub notice_ends: Option<OffsetDateTime>,
}

/// How much a service's requests matter when there is not room for all.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Importance {
    /// Given up first.
    Low,
    /// The usual.
    #[default]
    Normal,
    /// Kept longest.
    High,
}

/// What a service promises: the share of good answers, and how fast a good answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The share of requests that must be good, in thousandths.
    pub good: Permille,
    /// An answer that takes longer is not good.
    pub latency: Millis,
}

/// The policy of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that one backend server runs at once.
    pub slots: u32,
    /// Connections that one backend server takes.
    pub connections: u32,
    /// Requests that may wait at one backend server's node.
    pub queue: u32,
    /// The longest a request may take, unless its route says otherwise.
    pub timeout: Millis,
    /// Retries allowed per thousand requests.
    pub retry_budget: Permille,
    /// What is given up first under overload.
    pub importance: Importance,
    /// How long a fresh backend server is given a growing share of the work.
    pub warm_up: Millis,
    /// How long a leaving backend server may finish its work.
    pub drain_grace: Millis,
    /// The service-level objective, where there is one.
    pub objective: Option<Objective>,
    /// The path of its servers' health check, where they have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health: Option<Arc<str>>,
}

/// An HTTP method that a route may claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// POST.
    Post,
    /// PUT.
    Put,
    /// PATCH.
    Patch,
    /// DELETE.
    Delete,
}

/// Which requests go to which service, and how they may be treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix, matched at segment borders; the longest match wins.
    pub path: Arc<str>,
    /// The methods it claims.
    pub methods: BTreeSet<Method>,
    /// The service it leads to.
    pub service: Name,
    /// The longest a request may take; the service's timeout where absent.
    pub timeout: Option<Millis>,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether an Idempotency-Key is claimed in the platform's table before it runs.
    pub once: bool,
    /// The only host whose requests it claims; those of all hosts where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// The services among which its requests are dealt out by weight; empty where all go to
    /// `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// The most backend servers that one request may reach.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// What is kept for longer when there is not room for all; the service's where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub importance: Option<Importance>,
    /// The time within which an answer is wanted; the service's objective where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency: Option<Millis>,
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its weight among the weights of all parts.
    pub weight: u32,
}

/// A whole merged and checked configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The client account.
    pub account: Account,
    /// The services by name.
    pub services: BTreeMap<Name, Service>,
    /// The routes by name.
    pub routes: BTreeMap<Name, Route>,
}

/// An accepted configuration with its stamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Its number and digest.
    pub stamp: Stamp,
    /// Its content.
    pub config: Config,
}

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The account has become this.
    Account(Account),
    /// The service has become this.
    Service(Name, Service),
    /// The service is gone.
    NoService(Name),
    /// The route has become this.
    Route(Name, Route),
    /// The route is gone.
    NoRoute(Name),
}

/// What turns one accepted configuration into the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The only configuration it applies to.
    pub base: Stamp,
    /// What it must give.
    pub result: Stamp,
    /// The differences, each about another thing.
    pub changes: Vec<Change>,
}
