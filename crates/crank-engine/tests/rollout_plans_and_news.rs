//! Roll-outs: the share of an unproven release, the merged news and evidence, and the members.

#![allow(clippy::unwrap_used)]

use crank_engine::Moment;
use crank_engine::rollout::{
    Evidence, Ledger, Newcomers, Releases, ShareBudget, completes_at, trial_credit, trial_servers,
    trial_share,
};
use crank_protocol::config::Revision;
use crank_protocol::member::{Endpoint, Member, Place, Stage, State};
use crank_protocol::rollout::{
    self, ExposureLimit, Phase, RolloutOrder, RolloutState, Subject, Tally,
};
use crank_protocol::{Millis, Name, Permille};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DURATION: Millis = Millis(14_000);
const SERVERS: usize = 20;
const SEEDS: u64 = 300;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn order(revision: u64) -> RolloutOrder {
    RolloutOrder {
        service: name("vat"),
        target: "v2".into(),
        duration: DURATION,
        revision: Revision(revision),
    }
}

fn state(revision: u64, phase: Phase) -> RolloutState {
    RolloutState {
        order: order(revision),
        phase,
        age: Millis(0),
    }
}

#[test]
fn the_share_holds_over_all_nodes_without_coordination() {
    let limit = ExposureLimit::default();
    let (nodes, requests) = (76, 120);
    let mut exposed = 0;
    for node in 0..nodes {
        let mut budget = ShareBudget::new(node * 7_919);
        for request in 0..requests {
            let age = Millis(DURATION.0 * request / requests);
            if budget.allows() {
                budget.spend();
                exposed += 1;
            }
            budget.earn(trial_share(age, DURATION, limit, SERVERS));
        }
    }
    let total = nodes * requests;
    assert!(exposed > total * 3 / 100, "{exposed} of {total}");
    assert!(exposed < total / 10, "{exposed} of {total}");
}

/// Sends requests of a trial over nodes at random; returns how many went to the new release.
fn exposed(nodes: usize, requests: u64, with_credit: bool, seed: u64) -> u64 {
    let limit = ExposureLimit::default();
    let mut rng = StdRng::seed_from_u64(seed);
    let seeds: Vec<u64> = (0..nodes).map(|_| rng.random_range(0..1_000)).collect();
    let mut budgets: Vec<ShareBudget> = seeds.into_iter().map(ShareBudget::new).collect();
    let mut exposed = 0;
    for request in 0..requests {
        let age = Millis(completes_at(DURATION).0 * request / requests);
        let budget = &mut budgets[rng.random_range(0..nodes)];
        if with_credit {
            budget.grant(trial_credit(age, DURATION, limit, nodes));
        }
        if budget.allows() {
            budget.spend();
            exposed += 1;
        }
        budget.earn(trial_share(age, DURATION, limit, SERVERS));
    }
    exposed
}

#[test]
fn a_service_with_few_requests_gets_some_of_the_slack() {
    let limit = ExposureLimit::default();
    for seed in 0..SEEDS {
        for nodes in [5, 10, 76] {
            let requests = 90;
            let exposed = exposed(nodes, requests, true, seed);
            let allowed = requests * u64::from(limit.share.0) / 1_000 + u64::from(limit.slack);
            assert!(
                exposed <= allowed,
                "{exposed} on {nodes} nodes, seed {seed}"
            );
            assert!(
                nodes > 10 || exposed >= 12,
                "{exposed} on {nodes} nodes, seed {seed}"
            );
        }
    }
}

#[test]
fn a_service_with_many_requests_gets_its_share_only() {
    for seed in 0..20 {
        let exposed = |with_credit| exposed(10, 6_000, with_credit, seed);
        let more = exposed(true).abs_diff(exposed(false));
        assert!(more <= 10, "{more}, a request a node at most");
    }
}

#[test]
fn after_the_deadline_the_share_is_nothing() {
    let limit = ExposureLimit::default();
    assert_eq!(trial_share(DURATION, DURATION, limit, SERVERS), Permille(0));
}

#[test]
fn a_trial_server_gets_no_more_than_an_old_one() {
    for old in 1..80 {
        for age in [0, 9_000] {
            let limit = ExposureLimit::default();
            let share = trial_share(Millis(age), DURATION, limit, old);
            let servers = trial_servers(share, old);
            assert!(
                share.0 as usize * old <= servers * 1_000,
                "{old} old servers"
            );
        }
    }
}

#[test]
fn a_verdict_stays_whatever_arrives_later() {
    let mut ledger = Ledger::default();
    assert!(ledger.merge(state(7, Phase::RolledBack), Moment(0)));
    assert!(!ledger.merge(state(7, Phase::Trial), Moment(1)));
    assert!(!ledger.merge(state(6, Phase::Completed), Moment(2)));
    assert!(
        ledger.merge(state(8, Phase::Trial), Moment(3)),
        "a later order counts"
    );
}

#[test]
fn a_repeated_order_keeps_its_time() {
    let mut ledger = Ledger::default();
    let later = Moment(0).after(Millis(4_000));
    ledger.merge(state(7, Phase::Trial), Moment(0));
    ledger.merge(state(8, Phase::Trial), later);
    let known = ledger.rollouts().next().unwrap();
    assert_eq!(known.age(later), Millis(4_000));
}

#[test]
fn an_order_that_is_older_than_the_process_keeps_its_age() {
    let mut ledger = Ledger::default();
    let age = Millis(9_000);
    let now = Moment(0).after(Millis(500));
    let older = RolloutState {
        age,
        ..state(7, Phase::Trial)
    };
    ledger.merge(older, now);
    assert_eq!(ledger.states(now.after(Millis(250)))[0].age, Millis(9_250));
}

#[test]
fn a_greater_age_of_an_order_is_news_once() {
    let mut ledger = Ledger::default();
    let aged = |millis| RolloutState {
        age: Millis(millis),
        ..state(7, Phase::Trial)
    };
    let now = Moment(0).after(Millis(500));
    assert!(ledger.merge(aged(0), now));
    assert!(
        !ledger.merge(aged(300), now),
        "as long as it was on its way"
    );
    assert!(ledger.merge(aged(9_000), now));
    assert!(!ledger.merge(aged(9_000), now));
    assert!(!ledger.merge(aged(2_000), now));
    assert_eq!(ledger.states(now)[0].age, Millis(9_000));
}

#[test]
fn an_order_known_through_others_keeps_its_age() {
    let mut ledger = Ledger::default();
    let now = Moment(0).after(Millis(9_000));
    let age = Millis(3_000);
    ledger.merge(
        RolloutState {
            age,
            ..state(7, Phase::Trial)
        },
        now,
    );
    assert_eq!(ledger.states(now.after(Millis(500)))[0].age, Millis(3_500));
}

fn evidence(process: u64, failed: u32, phase: Phase, in_flight: u32) -> rollout::Evidence {
    let subject = Subject {
        route: name("r0"),
        server: Some(name("n1")),
    };
    rollout::Evidence {
        service: name("vat"),
        order: Revision(7),
        process,
        phase,
        in_flight,
        tallies: vec![Tally {
            subject,
            answered: 0,
            failed,
            latencies: Vec::new(),
        }],
    }
}

#[test]
fn repeated_and_late_messages_count_once_and_a_restart_adds() {
    let mut merged = Evidence::default();
    for (process, failed) in [(1, 5), (1, 5), (1, 3), (2, 4)] {
        merged.merge(&name("n9"), evidence(process, failed, Phase::Trial, 0));
    }
    let failed: u32 = merged.totals().values().map(|tally| tally.failed).sum();
    assert_eq!(failed, 9);
}

#[test]
fn a_node_has_moved_once_its_last_request_at_an_old_server_ended() {
    let mut merged = Evidence::default();
    let node = name("n9");
    merged.merge(&node, evidence(1, 0, Phase::Trial, 0));
    assert!(!merged.has_moved(&node, Phase::Completed));
    merged.merge(&node, evidence(1, 0, Phase::Completed, 2));
    assert!(!merged.has_moved(&node, Phase::Completed));
    merged.merge(&node, evidence(1, 0, Phase::Completed, 0));
    merged.merge(&node, evidence(1, 0, Phase::Trial, 3));
    assert!(merged.has_moved(&node, Phase::Completed));
}

fn member(id: &str, release: &str) -> Member {
    let place = Place {
        region: name("almaty"),
        data_centre: name("almaty-a"),
    };
    Member {
        id: name(id),
        place,
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: 1,
        link: 0,
        state: State::Alive,
        endpoint: Some(Endpoint {
            service: name("vat"),
            stage: Stage::Ready,
            slots: 9,
            release: Some(release.into()),
        }),
    }
}

#[test]
fn members_are_sorted_by_release() {
    let members = [member("a", "v1"), member("b", "v2"), member("c", "v1")];
    let releases = Releases::new(&order(7), &members);
    assert_eq!(releases.old, [name("a"), name("c")]);
    assert_eq!(releases.new, [name("b")]);
}

#[test]
fn a_release_that_appears_without_an_order_is_held_for_a_while() {
    let mut newcomers = Newcomers::default();
    let old = member("a", "v1");
    let new = member("b", "v2");
    let at = |millis| Moment(0).after(Millis(millis));
    newcomers.update(at(1_000), &name("vat"), [&old]);
    newcomers.update(at(9_000), &name("vat"), [&old, &new]);
    assert_eq!(newcomers.held(), [name("b")]);
    newcomers.update(at(12_500), &name("vat"), [&old, &new]);
    assert!(newcomers.held().is_empty());
}
