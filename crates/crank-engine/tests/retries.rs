//! What is tried again, and how much that multiplies.

use crank_engine::Moment;
use crank_engine::retry::{self, MAX_ATTEMPTS, MAX_BUDGET_RETRIES, RetryBudget, RetryContext};
use crank_protocol::Permille;
use crank_protocol::call::{Outcome, Refusal};
use proptest::prelude::*;

const LAYERS: u32 = 10;

fn attempt(idempotent: bool, depth: u32, made: u32) -> RetryContext {
    RetryContext {
        idempotent,
        depth,
        attempts: made,
        reached: made,
        max_reached: MAX_ATTEMPTS,
        deadline: Moment(u64::MAX),
    }
}

/// The runs of the last layer for one request at the first, when the last layer's answer is
/// always lost.
fn runs(depth: u32, budget: &mut RetryBudget) -> u64 {
    if depth == LAYERS {
        return 1;
    }
    let mut total = 0;
    for made in 1.. {
        total += runs(depth + 1, budget);
        let lost = retry::refused(Refusal::Lost, None);
        if !retry::approve_retry(Moment(0), attempt(true, depth, made), &lost, budget) {
            break;
        }
    }
    total
}

#[test]
fn ten_layers_multiply_a_failing_request_by_no_more_than_one_layer_does() {
    let mut budget = RetryBudget::new(Permille(1_000));
    let most = (0..100).map(|_| runs(0, &mut budget)).max();
    assert_eq!(most, Some(u64::from(MAX_ATTEMPTS)));
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
    fn all_nodes_together_stay_within_the_slack_and_the_share_of_what_reaches_servers(
        nodes in 1..30_u64,
        share in 0..=500_u32,
        slack in 0..100_000_u64,
        requests in 0..2_000_u64,
        runs in any::<bool>(),
    ) {
        let mut repeats = 0;
        for node in 0..nodes {
            let mut budget = RetryBudget::new(Permille(1_000));
            budget.limit_repeats(Permille(share), slack / nodes);
            let own = requests / nodes + u64::from(node < requests % nodes);
            for _ in 0..own {
                budget.record_request();
                while if runs { budget.try_spend_repeated_run() } else { budget.try_spend_repeat() } {
                    repeats += if runs { 2 } else { 1 };
                }
            }
        }
        prop_assert!(repeats * 1_000 <= slack + requests * u64::from(share));
    }

    #[test]
    fn what_may_have_run_is_tried_again_only_where_that_does_no_harm(
        refusal in refusal(),
        told in outcome(),
        idempotent in any::<bool>(),
        depth in 0..3_u32,
        made in 1..6_u32,
    ) {
        let mut refused = retry::refused(refusal, None);
        refused.outcome = told;
        let mut budget = RetryBudget::new(Permille(1_000));
        let again = retry::approve_retry(Moment(0), attempt(idempotent, depth, made), &refused, &mut budget);
        if again {
            let certain = retry::combine_outcomes(told, retry::outcome_of(&refused.refusal));
            prop_assert!(certain == Outcome::NotRun || (idempotent && certain == Outcome::Unknown));
            prop_assert!(depth == 0 && made < MAX_ATTEMPTS);
        }
    }
}
