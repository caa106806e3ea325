//! Load balancing: which targets are chosen, ejected and connected to.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use crank_engine::Moment;
use crank_engine::balance::{AttemptResult, MAX_EJECTION_TIME, MIN_LOCAL_TARGETS, TargetPool};
use crank_protocol::call::Load;
use crank_protocol::config::{Importance, Service};
use crank_protocol::member::{Endpoint, Member, Place, Stage, State};
use crank_protocol::{Millis, Name, Permille};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 6;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn place(region: usize, data_centre: usize) -> Place {
    Place {
        region: name(&format!("r{region}")),
        data_centre: name(&format!("d{data_centre}")),
    }
}

fn service() -> Service {
    Service {
        slots: SLOTS,
        connections: 110,
        queue: 12,
        timeout: Millis(1_000),
        retry_budget: Permille(100),
        importance: Importance::Normal,
        warm_up: Millis(10_000),
        drain_grace: Millis(0),
        objective: None,
        health: None,
    }
}

fn member(id: &str, place: Place, stage: Option<Stage>) -> Member {
    Member {
        id: name(id),
        place,
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        link: 0,
        state: State::Alive,
        endpoint: stage.map(|stage| Endpoint {
            service: name("recipes"),
            stage,
            slots: SLOTS,
            release: None,
        }),
    }
}

fn pool(members: &[Member]) -> TargetPool {
    let mut pool = TargetPool::new(name("me"), place(0, 0));
    pool.update(Moment(0), &name("recipes"), &service(), members);
    pool
}

fn near(count: usize) -> Vec<Member> {
    (0..count)
        .map(|number| member(&format!("s{number}"), place(0, 0), Some(Stage::Ready)))
        .collect()
}

proptest! {
    #[test]
    fn at_most_half_of_the_targets_are_ejected(
        count in 1..9_usize,
        attempts in prop::collection::vec((0..9_usize, 0..3_u8, 0..3_000_u64), 1..300),
    ) {
        let members = near(count);
        let mut pool = pool(&members);
        let mut now = Moment(1);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        for (pick, kind, millis) in attempts {
            now = now.after(Millis(millis));
            let result = match kind {
                0 => AttemptResult::Answered { micros: millis * 1_000 },
                1 => AttemptResult::Slow { micros: 1_000_000 },
                _ => AttemptResult::Failed,
            };
            pool.finish(now, &members[pick % count].id, result, None);
            prop_assert!(pool.ejected(now).count() <= count / 2);
            prop_assert!(pool.choose(now, &[], &mut rng).is_some());
        }
        prop_assert_eq!(pool.ejected(now.after(MAX_EJECTION_TIME)).count(), 0);
    }

    #[test]
    fn only_ready_targets_that_were_not_tried_are_chosen(
        stages in prop::collection::vec(
            prop_oneof![
                Just(None),
                Just(Some(Stage::Starting)),
                Just(Some(Stage::Ready)),
                Just(Some(Stage::Draining)),
            ],
            1..8,
        ),
        seed in any::<u64>(),
    ) {
        let members: Vec<Member> = stages
            .iter()
            .enumerate()
            .map(|(number, stage)| member(&format!("s{number}"), place(0, number), *stage))
            .collect();
        let mut pool = pool(&members);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut tried = Vec::new();
        while let Some(target) = pool.choose(Moment(1), &tried, &mut rng) {
            prop_assert!(!tried.contains(&target.id));
            tried.push(target.id);
        }
        let ready = stages.iter().filter(|stage| **stage == Some(Stage::Ready));
        prop_assert_eq!(tried.len(), ready.count());
    }
}

#[test]
fn a_farther_target_is_chosen_only_when_the_nearer_one_is_full() {
    let members = [
        member("near", place(0, 0), Some(Stage::Ready)),
        member("region", place(0, 1), Some(Stage::Ready)),
        member("far", place(1, 2), Some(Stage::Ready)),
    ];
    let mut pool = pool(&members);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let chosen: Vec<Name> = (0..SLOTS * 2)
        .filter_map(|_| pool.choose(Moment(1), &[], &mut rng))
        .map(|target| target.id)
        .collect();
    let count = |id: &str| chosen.iter().filter(|chosen| chosen.as_str() == id).count();
    let slots = SLOTS as usize;
    assert!(chosen[..slots].iter().all(|id| id.as_str() == "near"));
    assert_eq!([count("region"), count("far")], [slots, 0]);
}

#[test]
fn a_target_that_reported_high_load_is_avoided_until_the_report_is_old() {
    let mut pool = pool(&near(2));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let busy = Load {
        running: SLOTS,
        waiting: 4,
        slots: SLOTS,
        slowdown: None,
    };
    let result = AttemptResult::Answered { micros: 1_000 };
    pool.finish(Moment(1), &name("s0"), result, Some(busy));
    for now in [Moment(2), Moment(3)] {
        let target = pool.choose(now, &[], &mut rng).unwrap();
        assert_eq!(target.id, name("s1"));
    }
    let later = Moment(1).after(Millis(1_000));
    let target = pool.choose(later, &[], &mut rng).unwrap();
    assert_eq!(target.id, name("s0"));
}

#[test]
fn a_new_target_starts_slowly() {
    let mut members = near(3);
    let mut pool = pool(&members);
    members.push(member("fresh", place(0, 0), Some(Stage::Ready)));
    pool.update(Moment(0), &name("recipes"), &service(), &members);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let shares = [0, 5_000, 10_000].map(|millis| {
        let now = Moment(0).after(Millis(millis));
        let mut new_target_requests = 0;
        for _ in 0..1_000 {
            let target = pool.choose(now, &[], &mut rng).unwrap();
            pool.finish(now, &target.id, AttemptResult::Unrelated, None);
            new_target_requests += u32::from(target.id == name("fresh"));
        }
        new_target_requests
    });
    assert!(shares[0] <= 50, "{shares:?}");
    assert!(
        shares[0] < shares[2] && shares[1] <= shares[2],
        "{shares:?}"
    );
    assert!(shares[2] >= 200, "{shares:?}");
}

#[test]
fn the_connections_of_a_server_stay_bounded_and_are_the_same_after_a_restart() {
    let servers = near(20);
    let others = (0..180).map(|number| member(&format!("n{number}"), place(0, 0), None));
    let members: Vec<Member> = servers.iter().cloned().chain(others).collect();
    let mut connections: BTreeMap<Name, u32> = BTreeMap::new();
    for node in &members {
        let targets = || {
            let mut pool = TargetPool::new(node.id.clone(), node.place.clone());
            pool.update(Moment(0), &name("recipes"), &service(), &members);
            pool.targets().cloned().collect::<Vec<Name>>()
        };
        let chosen = targets();
        assert_eq!(chosen, targets());
        assert!(chosen.len() >= MIN_LOCAL_TARGETS);
        for id in chosen {
            *connections.entry(id).or_default() += 1;
        }
    }
    assert_eq!(connections.len(), servers.len());
    let highest = connections.values().max().copied().unwrap_or(0);
    assert!(highest <= service().connections, "{highest} connections");
}

#[test]
fn a_slow_target_gets_fewer_requests_until_its_reports_are_old() {
    let mut pool = pool(&near(3));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let slow = Load {
        slots: SLOTS,
        slowdown: Some(Permille(3_000)),
        ..Load::default()
    };
    let result = AttemptResult::Answered { micros: 1_000 };
    for _ in 0..20 {
        pool.finish(Moment(1), &name("s0"), result, Some(slow));
    }
    let mut requests_at_slow = |now: Moment| {
        (0..300)
            .filter(|_| {
                let target = pool.choose(now, &[], &mut rng).unwrap();
                pool.finish(now, &target.id, AttemptResult::Unrelated, None);
                target.id == name("s0")
            })
            .count()
    };
    assert_eq!(requests_at_slow(Moment(2)), 0);
    let recent = Moment(1).after(Millis(5_000));
    assert_eq!(requests_at_slow(recent), 0);
    let old = Moment(1).after(Millis(10_000));
    assert!(requests_at_slow(old) > 60);
}
