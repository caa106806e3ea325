//! What may be tried again: outcome, budget, deadline and depth.

use crank_protocol::Permille;
use crank_protocol::call::{Load, Outcome, Refusal, RefusedRequest};
use serde::{Deserialize, Serialize};

use crate::Moment;

/// The most attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;
/// Retries that a budget holds when it is full.
pub const MAX_BUDGET_RETRIES: u64 = 10;

const TOKENS_PER_RETRY: u64 = 1_000;
const TOKENS_PER_REPEATED_RUN: u64 = 2 * TOKENS_PER_RETRY;

/// What is certain about a request that got this refusal and no more.
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
        | Refusal::BadRequest { .. }
        | Refusal::NoServer
        | Refusal::Leaving
        | Refusal::Overloaded { .. }
        | Refusal::TooLate
        | Refusal::StoreDown
        | Refusal::KeyMismatch
        | Refusal::NotSent => Outcome::NotRun,
        Refusal::KeyInUse | Refusal::Lost | Refusal::TimedOut | Refusal::Cancelled => {
            Outcome::Unknown
        }
        Refusal::Cut => Outcome::Ran,
    }
}

/// A refusal with what is certain about its request.
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

/// What is certain about a request of which this was certain so far, and then one more attempt ended.
///
/// ```
/// use crank_engine::retry;
/// use crank_protocol::call::Outcome;
/// assert_eq!(retry::combine_outcomes(Outcome::Unknown, Outcome::NotRun), Outcome::Unknown);
/// assert_eq!(retry::combine_outcomes(Outcome::NotRun, Outcome::Ran), Outcome::Ran);
/// ```
#[must_use]
pub fn combine_outcomes(before: Outcome, attempt: Outcome) -> Outcome {
    match (before, attempt) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}

/// Bounds the retries of a service to a share of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    share: Permille,
    tokens: u64,
    repeats: Option<Repeats>,
}

/// Bounds the requests that come to a service's backend servers more than once, over all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Repeats {
    share: Permille,
    most: u64,
    tokens: u64,
}

impl Repeats {
    fn pay(&mut self, tokens: u64) -> bool {
        let left = self.tokens.checked_sub(tokens);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }
}

impl RetryBudget {
    /// A full budget that allows this share of retries.
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

    /// Bounds repeats at backend servers too: this share of the requests, and `slack` in
    /// thousandths of a repeat at once.
    ///
    /// The slack may change with the number of nodes that divide what a whole fleet is allowed. It
    /// begins with one repeat at most, because a node that has just started knows few others.
    ///
    /// ```
    /// # use crank_engine::retry::RetryBudget;
    /// # use crank_protocol::Permille;
    /// let mut budget = RetryBudget::new(Permille(100));
    /// budget.limit_repeats(Permille(200), 2_500);
    /// assert_eq!((0..9).filter(|_| budget.try_spend_repeat()).count(), 1);
    /// ```
    pub fn limit_repeats(&mut self, share: Permille, slack: u64) {
        let tokens = match &self.repeats {
            Some(held) => held.tokens.min(slack),
            None => slack.min(TOKENS_PER_RETRY),
        };
        self.repeats = Some(Repeats {
            share,
            most: slack,
            tokens,
        });
    }

    /// Pays for a request that may come to a backend server once more; free where unbounded.
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
        repeats.pay(TOKENS_PER_RETRY)
    }

    /// Pays for a request that has run and may run once more, with all the calls that it makes.
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
        repeats.is_none_or(|repeats| repeats.pay(TOKENS_PER_REPEATED_RUN))
    }

    /// Takes another share from now on.
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

    /// Counts a request, which earns its share of a retry.
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
            repeats.tokens = earned.min(repeats.most);
        }
    }

    /// Pays for a retry, if there is enough left.
    ///
    /// ```
    /// # use crank_engine::retry::RetryBudget;
    /// # use crank_protocol::Permille;
    /// assert!(!RetryBudget::new(Permille(0)).try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        match self.tokens.checked_sub(TOKENS_PER_RETRY) {
            Some(left) => {
                self.tokens = left;
                true
            }
            None => false,
        }
    }
}

/// What is known of a request when one of its attempts was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryContext {
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// The layer of the call chain; only layer zero retries.
    pub depth: u32,
    /// Attempts made so far.
    #[serde(rename = "made")]
    pub attempts: u32,
    /// How many of them may have come to a backend server.
    pub reached: u32,
    /// The most that may come to a backend server.
    #[serde(rename = "most")]
    pub max_reached: u32,
    /// When its time is over.
    pub deadline: Moment,
}

/// Whether a refused request is tried again; pays for the retry where it is.
///
/// A request that may have run is tried again only where running it twice does no harm. A refusal
/// that another target would repeat is final.
///
/// ```
/// use crank_engine::{Moment, retry};
/// use crank_protocol::{Permille, call::Refusal};
/// let mut budget = retry::RetryBudget::new(Permille(100));
/// let order = retry::RetryContext {
///     idempotent: false, depth: 0, attempts: 1, reached: 0, max_reached: 2, deadline: Moment(900),
/// };
/// let leaving = retry::refused(Refusal::Leaving, None);
/// assert!(retry::approve_retry(Moment(0), order, &leaving, &mut budget));
/// let lost = retry::refused(Refusal::Lost, None);
/// assert!(!retry::approve_retry(Moment(0), order, &lost, &mut budget));
/// ```
pub fn approve_retry(
    now: Moment,
    attempt: RetryContext,
    refused: &RefusedRequest,
    budget: &mut RetryBudget,
) -> bool {
    let safe = match combine_outcomes(refused.outcome, outcome_of(&refused.refusal)) {
        Outcome::NotRun => true,
        Outcome::Unknown => attempt.idempotent,
        Outcome::Ran => false,
    };
    safe && another_may_differ(&refused.refusal)
        && attempt.depth == 0
        && attempt.attempts < MAX_ATTEMPTS
        && attempt.reached < attempt.max_reached
        && now < attempt.deadline
        && budget.try_spend()
        && (!refused.reached || budget.try_spend_repeat())
}

/// Whether a request that a backend server answered with a failure of its own is tried at another.
///
/// It has run, so that its repeat makes its calls to other services again: it costs two repeats.
///
/// ```
/// use crank_engine::{Moment, retry};
/// use crank_protocol::Permille;
/// let mut budget = retry::RetryBudget::new(Permille(100));
/// let lookup = retry::RetryContext {
///     idempotent: true, depth: 0, attempts: 1, reached: 1, max_reached: 2, deadline: Moment(900),
/// };
/// assert!(retry::approve_retry_after_failure(Moment(0), lookup, &mut budget));
/// ```
pub fn approve_retry_after_failure(
    now: Moment,
    attempt: RetryContext,
    budget: &mut RetryBudget,
) -> bool {
    attempt.idempotent
        && attempt.depth == 0
        && attempt.attempts < MAX_ATTEMPTS
        && attempt.reached < attempt.max_reached
        && now < attempt.deadline
        && budget.try_spend()
        && budget.try_spend_repeated_run()
}

fn another_may_differ(refusal: &Refusal) -> bool {
    match refusal {
        Refusal::NotReady
        | Refusal::Leaving
        | Refusal::Overloaded { .. }
        | Refusal::NotSent
        | Refusal::Lost => true,
        Refusal::NoRoute
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
