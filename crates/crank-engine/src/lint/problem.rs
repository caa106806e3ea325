//! What can be wrong with a configuration that is valid.

use crank_protocol::config::Method;
use crank_protocol::{Millis, Name};
use serde::{Serialize, Serializer};
use thiserror::Error as ThisError;

/// A problem of a valid configuration. The message also says what to do.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Problem {
    /// No route sends requests to a service.
    #[error("no route sends requests to this service: add one, or remove the service")]
    UnusedService,
    /// A response that meets the latency objective in time may come after the timeout.
    #[error("the latency of {} ms is over the timeout of {} ms: lower it, or raise the timeout", latency.0, timeout.0)]
    LatencyOverTimeout {
        /// The latency objective.
        latency: Millis,
        /// The timeout of requests.
        timeout: Millis,
    },
    /// A request may run longer than a leaving backend server keeps running.
    #[error(
        "the timeout of {} ms is over the drain grace of {} ms of service '{service}': requests can \
         be cut when its servers leave", timeout.0, grace.0
    )]
    TimeoutOverDrainGrace {
        /// The timeout of requests.
        timeout: Millis,
        /// The time that a draining backend server has.
        grace: Millis,
        /// The service.
        service: Name,
    },
    /// Another route takes all requests of a method that this route is meant to match.
    #[error("route '{by}' matches {method:?} on the same host and path: this route never gets one")]
    Shadowed {
        /// The route that matches.
        by: Name,
        /// The method.
        method: Method,
    },
    /// No request has a path that the prefix matches.
    #[error(
        "no request is routed by this path: write plain segments, without '.', '..', '?' or '#'"
    )]
    PathNeverMatches,
    /// No request has a host that equals this one.
    #[error("no request is routed by this host: write it in lower case and without a port")]
    HostNeverMatches,
    /// A route has no service that could run its requests.
    #[error("no service of this route is defined with a weight above 0: its requests get 404")]
    NoTarget,
    /// A part of a split never gets requests.
    #[error("the part '{service}' has the weight 0 and gets no requests: remove it or weight it")]
    ZeroWeight {
        /// The service of the part.
        service: Name,
    },
    /// A service is named twice in a split.
    #[error("the service '{service}' stands twice in the split: add the weights up")]
    RepeatedPart {
        /// The service.
        service: Name,
    },
    /// A route allows repeats, but the retry budget of its service allows none.
    #[error("{attempts} attempts are allowed, but service '{service}' has a retry budget of 0")]
    AttemptsWithoutBudget {
        /// The maximum number of attempts.
        attempts: u32,
        /// The service.
        service: Name,
    },
    /// A client account has no key, so that no request counts for it.
    #[error("the account has no key, so that no request counts for it: add one, or remove it")]
    AccountWithoutKeys,
    /// Two client accounts have a key in common.
    #[error("the account '{other}' has one of these keys too: remove it from one of the two")]
    SharedKey {
        /// The other account.
        other: Name,
    },
    /// The rate limit of a client account admits no requests in the long run.
    #[error("a rate of 0 refuses all requests after the first burst: remove the account's keys")]
    ZeroRate,
    /// The rate limit of a client account admits no request.
    #[error("a burst of 0 holds no request: write at least 1")]
    ZeroBurst,
    /// There are client accounts, but no route requires a key.
    #[error("all routes are public, so that no key is required: remove 'public' from some")]
    KeysNeverRequired,
    /// A limit of callers admits nothing.
    #[error("a limit of 0 refuses every caller: write a larger one, or leave the key out")]
    ZeroLimit,
}

impl Serialize for Problem {
    /// Writes the message.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
