//! Recognizes the retries of clients, so that a request's objective counts from its first attempt.
//!
//! Load pattern: a service gets more requests than it can run in time. Those that it refuses come
//! back, too late for their objective by then, and take the slots in which new requests would meet
//! theirs: nearly all are answered late.
//!
//! A client that retries waits until the same moment as before, and says how long that is. So a
//! retry is a request of the same route and client account whose deadline is that of a request that
//! failed here.

use std::collections::BTreeMap;

use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::Moment;

/// How far apart the deadlines of two attempts of one request may appear.
pub const DEADLINE_TOLERANCE: Millis = Millis(5);
/// The number of deadlines of failed requests that are remembered.
pub const MAX_DEADLINES: usize = 2_048;
/// The number of failed requests with the same deadline that are remembered.
pub const MAX_SAME_DEADLINE: usize = 4;

/// What tells the request of a client from others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientRequest {
    /// When the client gives up.
    pub deadline: Moment,
    /// The route of the request.
    pub route: Name,
    /// The client account that the request counts for, if any.
    pub account: Option<Name>,
}

impl ClientRequest {
    fn is_same_kind(&self, other: &Self) -> bool {
        self.route == other.route && self.account == other.account
    }
}

/// A request that failed, and when its first attempt arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FailedRequest {
    request: ClientRequest,
    first_arrival: Moment,
}

/// The requests that failed at this node and whose clients may retry them.
///
/// ```
/// use crank_engine::{Moment, client_retry::{ClientRequest, ClientRetries}};
/// use crank_protocol::Name;
/// let request = ClientRequest {
///     deadline: Moment(800_000), route: Name::new("spoons").unwrap(), account: None,
/// };
/// let mut retries = ClientRetries::default();
/// assert_eq!(retries.first_arrival(Moment(2_000), &request), Moment(2_000));
/// retries.record_failure(Moment(9_000), request.clone(), Moment(2_000));
/// assert_eq!(retries.first_arrival(Moment(90_000), &request), Moment(2_000));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClientRetries {
    /// The failed requests by the moment at which their clients give up.
    failed: BTreeMap<Moment, Vec<FailedRequest>>,
}

impl ClientRetries {
    /// Returns when the first attempt of a request arrived: now, or earlier if the request is a
    /// retry. The failed request that it repeats is forgotten.
    ///
    /// ```
    /// # use crank_engine::{Moment, client_retry::{ClientRequest, ClientRetries}};
    /// fn is_retry(retries: &mut ClientRetries, now: Moment, request: &ClientRequest) -> bool {
    ///     retries.first_arrival(now, request) < now
    /// }
    /// ```
    pub fn first_arrival(&mut self, now: Moment, request: &ClientRequest) -> Moment {
        let Some(deadline) = self.closest_deadline(request) else {
            return now;
        };
        let Some(failed) = self.failed.get_mut(&deadline) else {
            return now;
        };
        let mut positions = failed.iter();
        let position = positions.position(|failed| failed.request.is_same_kind(request));
        let first_arrival = position.map_or(now, |index| failed.remove(index).first_arrival);
        if failed.is_empty() {
            self.failed.remove(&deadline);
        }
        first_arrival
    }

    /// Returns the deadline closest to that of a request among the failed requests of its kind.
    fn closest_deadline(&self, request: &ClientRequest) -> Option<Moment> {
        let deadline = request.deadline;
        let earliest = deadline.before(DEADLINE_TOLERANCE);
        let latest = deadline.after(DEADLINE_TOLERANCE);
        let has_same_kind =
            |failed: &[FailedRequest]| failed.iter().any(|one| one.request.is_same_kind(request));
        self.failed
            .range(earliest..=latest)
            .filter(|(_, failed)| has_same_kind(failed))
            .map(|(deadline, _)| *deadline)
            .min_by_key(|candidate| candidate.0.abs_diff(deadline.0))
    }

    /// Records that a request failed whose first attempt arrived at `first_arrival`.
    ///
    /// Requests whose clients have given up by now are forgotten.
    ///
    /// ```
    /// # use crank_engine::{Moment, client_retry::{ClientRequest, ClientRetries}};
    /// fn refuse(retries: &mut ClientRetries, now: Moment, request: ClientRequest) {
    ///     retries.record_failure(now, request, now);
    /// }
    /// ```
    pub fn record_failure(&mut self, now: Moment, request: ClientRequest, first_arrival: Moment) {
        self.failed = self.failed.split_off(&now);
        if self.failed.len() >= MAX_DEADLINES {
            self.failed.pop_first();
        }
        let failed = self.failed.entry(request.deadline).or_default();
        if failed.len() < MAX_SAME_DEADLINE {
            failed.push(FailedRequest {
                request,
                first_arrival,
            });
        }
    }
}
