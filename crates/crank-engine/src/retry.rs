//! Retry decisions, based on the outcome, the retry budget, the deadline and the call depth.

use crank_protocol::Permille;
use crank_protocol::call::{Load, Outcome, Refusal, RefusedRequest};
use serde::{Deserialize, Serialize};

use crate::Moment;

/// The maximum number of attempts for one request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;
/// The number of retries that a full budget allows.
pub const MAX_BUDGET_RETRIES: u64 = 10;

const TOKENS_PER_RETRY: u64 = 1_000;
/// A request that has run also repeats its calls to other services, so it costs two repeats.
const TOKENS_PER_REPEATED_RUN: u64 = 2 * TOKENS_PER_RETRY;

/// Returns what is certain about a request whose only attempt ended with this refusal.
///
/// ```
/// use crank_engine::retry;
/// use crank_protocol::call::{Outcome, Refusal};
/// assert_eq!(retry::outcome_of(&Refusal::Leaving), Outcome::NotRun);
/// assert_eq!(retry::outcome_of(&Refusal::Lost), Outcome::Unknown);
/// ```
#[must_use]
pub fn outcome_of(refusal: &Refusal) -> Outcome {
    match refusal {
        Refusal::NotReady
        | Refusal::NoRoute
        | Refusal::Unauthorized
        | Refusal::OverRate { .. }
        | Refusal::BadRequest { .. }
        | Refusal::NoServer
        | Refusal::Leaving
        | Refusal::Overloaded { .. }
        | Refusal::TooLate
        | Refusal::StoreDown
        | Refusal::KeyMismatch
        | Refusal::NotSent => Outcome::NotRun,
        Refusal::KeyInUse
        | Refusal::Lost
        | Refusal::ConnectionLost
        | Refusal::TimedOut
        | Refusal::Cancelled => Outcome::Unknown,
        Refusal::Cut => Outcome::Ran,
    }
}

/// Creates a [`RefusedRequest`] from a refusal and the load that the target reported with it.
///
/// Its outcome is that of [`outcome_of`]; `reached` is false only if the request was not run.
///
/// ```
/// use crank_engine::retry;
/// use crank_protocol::call::{Outcome, Refusal};
/// assert_eq!(retry::refused(Refusal::NoServer, None).outcome, Outcome::NotRun);
/// ```
#[must_use]
pub fn refused(refusal: Refusal, load: Option<Load>) -> RefusedRequest {
    let outcome = outcome_of(&refusal);
    RefusedRequest {
        outcome,
        refusal,
        load,
        reached: outcome != Outcome::NotRun,
    }
}

/// Combines the outcome of a request's previous attempts with the outcome of its last attempt.
///
/// ```
/// use crank_engine::retry;
/// use crank_protocol::call::Outcome;
/// assert_eq!(retry::combine_outcomes(Outcome::Unknown, Outcome::NotRun), Outcome::Unknown);
/// assert_eq!(retry::combine_outcomes(Outcome::NotRun, Outcome::Ran), Outcome::Ran);
/// ```
#[must_use]
pub fn combine_outcomes(previous: Outcome, last: Outcome) -> Outcome {
    match (previous, last) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}

/// Limits the retries of a service to a share of its requests.
///
/// Every request earns a fraction of a retry, and every retry costs one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    share: Permille,
    tokens: u64,
    repeats: Option<RepeatBudget>,
}

/// Limits the repeats of a service over all nodes: attempts at a request that may have reached a
/// backend server before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RepeatBudget {
    share: Permille,
    #[serde(rename = "most")]
    max_tokens: u64,
    tokens: u64,
}

impl RepeatBudget {
    fn try_spend(&mut self, tokens: u64) -> bool {
        let remaining = self.tokens.checked_sub(tokens);
        self.tokens = remaining.unwrap_or(self.tokens);
        remaining.is_some()
    }
}

impl RetryBudget {
    /// Creates a full budget that allows retries for this share of the requests.
    ///
    /// With a share of zero no retry is allowed, not even at the start.
    ///
    /// ```
    /// use crank_engine::retry::{RetryBudget, MAX_BUDGET_RETRIES};
    /// use crank_protocol::Permille;
    /// let mut budget = RetryBudget::new(Permille(100));
    /// assert_eq!((0..100).filter(|_| budget.try_spend()).count() as u64, MAX_BUDGET_RETRIES);
    /// ```
    #[must_use]
    pub fn new(share: Permille) -> Self {
        let tokens = if share.0 == 0 {
            0
        } else {
            MAX_BUDGET_RETRIES * TOKENS_PER_RETRY
        };
        Self {
            share,
            tokens,
            repeats: None,
        }
    }

    /// Limits repeats at backend servers too: to this share of the requests, and to a burst (the
    /// setting `slack`) given in thousandths of a repeat.
    ///
    /// The burst may change over time, because all nodes together share the burst that the whole
    /// fleet is allowed. The first call grants at most one repeat, because a node that has just
    /// started knows few other nodes.
    ///
    /// ```
    /// # use crank_engine::retry::RetryBudget;
    /// # use crank_protocol::Permille;
    /// let mut budget = RetryBudget::new(Permille(100));
    /// budget.limit_repeats(Permille(200), 2_500);
    /// assert_eq!((0..9).filter(|_| budget.try_spend_repeat()).count(), 1);
    /// ```
    pub fn limit_repeats(&mut self, share: Permille, burst: u64) {
        let tokens = match &self.repeats {
            Some(current) => current.tokens.min(burst),
            None => burst.min(TOKENS_PER_RETRY),
        };
        self.repeats = Some(RepeatBudget {
            share,
            max_tokens: burst,
            tokens,
        });
    }

    /// Spends one repeat, for a request that may reach a backend server once more.
    ///
    /// Returns whether the repeat is allowed; without a limit it always is.
    ///
    /// ```
    /// # use crank_engine::retry::RetryBudget;
    /// # use crank_protocol::Permille;
    /// assert!(RetryBudget::new(Permille(100)).try_spend_repeat());
    /// ```
    pub fn try_spend_repeat(&mut self) -> bool {
        let Some(repeats) = &mut self.repeats else {
            return true;
        };
        repeats.try_spend(TOKENS_PER_RETRY)
    }

    /// Spends two repeats, for a request that has run and would run once more with all the calls
    /// that it makes.
    ///
    /// Returns whether the repeat is allowed; without a limit it always is.
    ///
    /// ```
    /// # use crank_engine::retry::RetryBudget;
    /// # use crank_protocol::Permille;
    /// let mut budget = RetryBudget::new(Permille(100));
    /// budget.limit_repeats(Permille(200), 2_500);
    /// assert!(!budget.try_spend_repeated_run());
    /// assert!(budget.try_spend_repeat());
    /// ```
    pub fn try_spend_repeated_run(&mut self) -> bool {
        let repeats = self.repeats.as_mut();
        repeats.is_none_or(|repeats| repeats.try_spend(TOKENS_PER_REPEATED_RUN))
    }

    /// Changes the share of requests that may be retried; zero also discards the saved retries.
    ///
    /// ```
    /// # use crank_engine::retry::RetryBudget;
    /// # use crank_protocol::Permille;
    /// let mut budget = RetryBudget::new(Permille(100));
    /// budget.set_share(Permille(0));
    /// assert!(!budget.try_spend());
    /// ```
    pub fn set_share(&mut self, share: Permille) {
        if share.0 == 0 {
            self.tokens = 0;
        }
        self.share = share;
    }

    /// Records a request, which adds its share of a retry to the budget.
    ///
    /// ```
    /// # use crank_engine::retry::RetryBudget;
    /// # use crank_protocol::Permille;
    /// let mut budget = RetryBudget::new(Permille(500));
    /// while budget.try_spend() {}
    /// budget.record_request();
    /// budget.record_request();
    /// assert!(budget.try_spend());
    /// assert!(!budget.try_spend());
    /// ```
    pub fn record_request(&mut self) {
        let earned = self.tokens.saturating_add(u64::from(self.share.0));
        self.tokens = earned.min(MAX_BUDGET_RETRIES * TOKENS_PER_RETRY);
        if let Some(repeats) = &mut self.repeats {
            let earned = repeats.tokens.saturating_add(u64::from(repeats.share.0));
            repeats.tokens = earned.min(repeats.max_tokens);
        }
    }

    /// Spends one retry and returns whether the budget allowed it.
    ///
    /// ```
    /// # use crank_engine::retry::RetryBudget;
    /// # use crank_protocol::Permille;
    /// assert!(!RetryBudget::new(Permille(0)).try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        match self.tokens.checked_sub(TOKENS_PER_RETRY) {
            Some(remaining) => {
                self.tokens = remaining;
                true
            }
            None => false,
        }
    }
}

/// The state of a request after a failed attempt, for the decision whether to retry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryContext {
    /// Whether the request is idempotent, so that it can safely run twice.
    pub idempotent: bool,
    /// The depth in the call chain; only requests at depth zero are retried.
    pub depth: u32,
    /// The number of attempts so far.
    #[serde(rename = "made")]
    pub attempts: u32,
    /// The number of attempts that may have reached a backend server.
    pub reached: u32,
    /// The maximum number of attempts that may reach a backend server.
    #[serde(rename = "most")]
    pub max_reached: u32,
    /// The time by which the request must have been answered.
    pub deadline: Moment,
}

/// Decides whether a refused request is retried, and if so spends the retry from the budget.
///
/// A request that may have run is retried only if it is idempotent. A refusal that another target
/// would repeat is final.
///
/// ```
/// use crank_engine::{Moment, retry};
/// use crank_protocol::{Permille, call::Refusal};
/// let mut budget = retry::RetryBudget::new(Permille(100));
/// let context = retry::RetryContext {
///     idempotent: false, depth: 0, attempts: 1, reached: 0, max_reached: 2, deadline: Moment(900),
/// };
/// let leaving = retry::refused(Refusal::Leaving, None);
/// assert!(retry::approve_retry(Moment(0), context, &leaving, &mut budget));
/// let lost = retry::refused(Refusal::Lost, None);
/// assert!(!retry::approve_retry(Moment(0), context, &lost, &mut budget));
/// ```
pub fn approve_retry(
    now: Moment,
    context: RetryContext,
    refused: &RefusedRequest,
    budget: &mut RetryBudget,
) -> bool {
    let is_safe = match combine_outcomes(refused.outcome, outcome_of(&refused.refusal)) {
        Outcome::NotRun => true,
        Outcome::Unknown => context.idempotent,
        Outcome::Ran => false,
    };
    is_safe
        && is_retryable_elsewhere(&refused.refusal)
        && context.depth == 0
        && context.attempts < MAX_ATTEMPTS
        && context.reached < context.max_reached
        && now < context.deadline
        && budget.try_spend()
        && (!refused.reached || budget.try_spend_repeat())
}

/// Decides whether a request that a backend server answered with an error is retried at another
/// server, and if so spends the retry from the budget.
///
/// The request has run, and its repeat makes its calls to other services again, so it costs two
/// repeats.
///
/// ```
/// use crank_engine::{Moment, retry};
/// use crank_protocol::Permille;
/// let mut budget = retry::RetryBudget::new(Permille(100));
/// let context = retry::RetryContext {
///     idempotent: true, depth: 0, attempts: 1, reached: 1, max_reached: 2, deadline: Moment(900),
/// };
/// assert!(retry::approve_retry_after_failure(Moment(0), context, &mut budget));
/// ```
pub fn approve_retry_after_failure(
    now: Moment,
    context: RetryContext,
    budget: &mut RetryBudget,
) -> bool {
    context.idempotent
        && context.depth == 0
        && context.attempts < MAX_ATTEMPTS
        && context.reached < context.max_reached
        && now < context.deadline
        && budget.try_spend()
        && budget.try_spend_repeated_run()
}

/// Returns whether another target may accept a request that got this refusal.
fn is_retryable_elsewhere(refusal: &Refusal) -> bool {
    match refusal {
        Refusal::NotReady
        | Refusal::Leaving
        | Refusal::Overloaded { .. }
        | Refusal::NotSent
        | Refusal::Lost
        | Refusal::ConnectionLost => true,
        Refusal::NoRoute
        | Refusal::Unauthorized
        | Refusal::OverRate { .. }
        | Refusal::StoreDown
        | Refusal::BadRequest { .. }
        | Refusal::NoServer
        | Refusal::TooLate
        | Refusal::KeyInUse
        | Refusal::KeyMismatch
        | Refusal::TimedOut
        | Refusal::Cut
        | Refusal::Cancelled => false,
    }
}
