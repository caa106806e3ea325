//! Retries: which requests are retried, and by how much retries multiply the load.

use crank_engine::Moment;
use crank_engine::retry::{self, MAX_ATTEMPTS, MAX_BUDGET_RETRIES, RetryBudget, RetryContext};
use crank_protocol::Permille;
use crank_protocol::call::{Outcome, Refusal};
use proptest::prelude::*;

const LAYERS: u32 = 10;

fn retry_context(idempotent: bool, depth: u32, made: u32) -> RetryContext {
    RetryContext {
        idempotent,
        depth,
        attempts: made,
        reached: made,
        max_reached: MAX_ATTEMPTS,
        deadline: Moment(u64::MAX),
    }
}

/// Returns how often the last layer of a call chain runs for one request at the first layer, if
/// the answer of the last layer is always lost.
fn runs_of_last_layer(depth: u32, budget: &mut RetryBudget) -> u64 {
    if depth == LAYERS {
        return 1;
    }
    let mut total = 0;
    for made in 1.. {
        total += runs_of_last_layer(depth + 1, budget);
        let lost = retry::refused(Refusal::Lost, None);
        if !retry::approve_retry(Moment(0), retry_context(true, depth, made), &lost, budget) {
            break;
        }
    }
    total
}

#[test]
fn ten_layers_cause_no_more_runs_of_a_failing_request_than_one_layer() {
    let mut budget = RetryBudget::new(Permille(1_000));
    let max_runs = (0..100).map(|_| runs_of_last_layer(0, &mut budget)).max();
    assert_eq!(max_runs, Some(u64::from(MAX_ATTEMPTS)));
}

fn refusal() -> impl Strategy<Value = Refusal> {
    prop_oneof![
        Just(Refusal::Leaving),
        Just(Refusal::NotSent),
        Just(Refusal::Lost),
        Just(Refusal::TimedOut),
        Just(Refusal::Cut),
        Just(Refusal::StoreDown),
        Just(Refusal::KeyInUse),
        Just(Refusal::TooLate),
    ]
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::NotRun),
        Just(Outcome::Unknown),
        Just(Outcome::Ran),
    ]
}

proptest! {
    #[test]
    fn retries_stay_within_the_budget(share in 0..=1_000_u32, requests in 0..2_000_u64) {
        let mut budget = RetryBudget::new(Permille(share));
        let mut retries = 0;
        for _ in 0..requests {
            budget.record_request();
            while budget.try_spend() {
                retries += 1;
            }
        }
        let full = if share == 0 { 0 } else { MAX_BUDGET_RETRIES };
        prop_assert!(retries <= full + requests * u64::from(share) / 1_000);
    }

    #[test]
    fn repeats_of_all_nodes_stay_within_the_burst_and_the_share_of_requests(
        nodes in 1..30_u64,
        share in 0..=500_u32,
        burst in 0..100_000_u64,
        requests in 0..2_000_u64,
        have_run in any::<bool>(),
    ) {
        let mut repeats = 0;
        for node in 0..nodes {
            let mut budget = RetryBudget::new(Permille(1_000));
            budget.limit_repeats(Permille(share), burst / nodes);
            let requests_of_node = requests / nodes + u64::from(node < requests % nodes);
            for _ in 0..requests_of_node {
                budget.record_request();
                while if have_run {
                    budget.try_spend_repeated_run()
                } else {
                    budget.try_spend_repeat()
                } {
                    repeats += if have_run { 2 } else { 1 };
                }
            }
        }
        prop_assert!(repeats * 1_000 <= burst + requests * u64::from(share));
    }

    #[test]
    fn only_idempotent_requests_are_retried_if_they_may_have_run(
        refusal in refusal(),
        reported_outcome in outcome(),
        idempotent in any::<bool>(),
        depth in 0..3_u32,
        made in 1..6_u32,
    ) {
        let mut refused = retry::refused(refusal, None);
        refused.outcome = reported_outcome;
        let mut budget = RetryBudget::new(Permille(1_000));
        let context = retry_context(idempotent, depth, made);
        let is_retried = retry::approve_retry(Moment(0), context, &refused, &mut budget);
        if is_retried {
            let last = retry::outcome_of(&refused.refusal);
            let outcome = retry::combine_outcomes(reported_outcome, last);
            prop_assert!(outcome == Outcome::NotRun || (idempotent && outcome == Outcome::Unknown));
            prop_assert!(depth == 0 && made < MAX_ATTEMPTS);
        }
    }
}
