//! Which route a path and method lead to.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_engine::config::digest;
use crank_engine::route::RoutingTable;
use crank_protocol::call::Refusal;
use crank_protocol::config::{
    Account, Config, Importance, Method, Route, Service, Snapshot, Stamp, Version, WeightedService,
};
use crank_protocol::{Millis, Name, Permille};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn service() -> Service {
    Service {
        slots: 6,
        connections: 110,
        queue: 12,
        timeout: Millis(1_000),
        retry_budget: Permille(100),
        importance: Importance::Normal,
        warm_up: Millis(0),
        drain_grace: Millis(0),
        objective: None,
        health: None,
    }
}

fn table(paths: &[(String, Method)]) -> RoutingTable {
    let routes: BTreeMap<Name, Route> = paths
        .iter()
        .enumerate()
        .map(|(number, (path, method))| {
            let route = Route {
                path: Arc::from(path.as_str()),
                methods: [*method].into(),
                service: name("recipes"),
                timeout: None,
                idempotent: true,
                once: false,
                host: None,
                split: Vec::new(),
                attempts: None,
                importance: None,
                latency: None,
            };
            (name(&format!("r{number}")), route)
        })
        .collect();
    let account = Account {
        name: name("sutkent"),
        notice_ends: None,
    };
    let config = Config {
        account,
        services: [(name("recipes"), service())].into(),
        routes,
    };
    let stamp = Stamp {
        version: Version(1),
        digest: digest(&config),
    };
    RoutingTable::new(&Snapshot { stamp, config })
}

fn path() -> impl Strategy<Value = String> {
    prop::collection::vec("[ab]{1,2}", 0..5).prop_map(|parts| format!("/{}", parts.join("/")))
}

fn method() -> impl Strategy<Value = Method> {
    prop_oneof![Just(Method::Get), Just(Method::Post)]
}

/// The longest route by comparing segments one by one.
fn expected<'a>(routes: &'a [(String, Method)], wanted: Method, path: &str) -> Option<&'a str> {
    let segments = |path: &str| -> Vec<String> {
        let parts = path.split('/').filter(|part| !part.is_empty());
        parts.map(String::from).collect()
    };
    let asked = segments(path);
    routes
        .iter()
        .filter(|(route, method)| *method == wanted && asked.starts_with(&segments(route)))
        .map(|(route, _)| route.as_str())
        .max_by_key(|route| route.len())
}

proptest! {
    #[test]
    fn the_longest_prefix_at_a_segment_border_wins(
        routes in prop::collection::vec((path(), method()), 0..8),
        asked in path(),
        wanted in method(),
        query in prop::option::of("[a-z/.]{0,6}"),
    ) {
        let table = table(&routes);
        let whole = match query {
            Some(query) => format!("{asked}?{query}"),
            None => asked.clone(),
        };
        let found = table.find(wanted, &whole).map(|rule| rule.route.path.to_string());
        match expected(&routes, wanted, &asked) {
            Some(route) => prop_assert_eq!(found, Ok(route.to_string())),
            None => prop_assert_eq!(found, Err(Refusal::NoRoute)),
        }
    }

    #[test]
    fn a_path_that_could_be_read_as_another_is_refused(
        before in path(),
        dots in prop_oneof!["\\.{1,2}", "%2[eE]", "(%2[eE]|\\.){2}"],
        after in path(),
    ) {
        let table = table(&[("/".to_string(), Method::Get)]);
        let whole = format!("{before}/{dots}{after}");
        let is_refused = matches!(
            table.find(Method::Get, &whole),
            Err(Refusal::BadRequest { .. })
        );
        prop_assert!(is_refused, "{whole}");
    }
}

fn route(path: &str, host: Option<&str>, split: &[(&str, u32)]) -> Route {
    let shares = split.iter().map(|(service, weight)| WeightedService {
        service: name(service),
        weight: *weight,
    });
    Route {
        path: Arc::from(path),
        methods: [Method::Get].into(),
        service: name("recipes"),
        timeout: None,
        idempotent: true,
        once: false,
        host: host.map(Arc::from),
        split: shares.collect(),
        attempts: None,
        importance: None,
        latency: None,
    }
}

fn table_of(routes: &[(&str, Route)]) -> RoutingTable {
    let routes = routes.iter().map(|(id, route)| (name(id), route.clone()));
    let services = ["recipes", "panels"];
    let config = Config {
        account: Account {
            name: name("sutkent"),
            notice_ends: None,
        },
        services: services.map(|id| (name(id), service())).into(),
        routes: routes.collect(),
    };
    let stamp = Stamp {
        version: Version(1),
        digest: digest(&config),
    };
    RoutingTable::new(&Snapshot { stamp, config })
}

#[test]
fn a_path_with_a_last_slash_claims_only_what_stands_behind_it() {
    let table = table_of(&[("a", route("/a/", None, &[]))]);
    assert!(table.find(Method::Get, "/a/").is_ok());
    assert!(table.find(Method::Get, "/a/b/c?d").is_ok());
    for path in ["/a", "/ab/c", "/"] {
        assert_eq!(
            table.find(Method::Get, path),
            Err(Refusal::NoRoute),
            "{path}"
        );
    }
}

#[test]
fn routes_of_a_host_go_before_those_of_all_hosts_and_claim_no_others() {
    let table = table_of(&[
        ("all", route("/a/b", None, &[])),
        ("one", route("/a", Some("one.example"), &[])),
    ]);
    let found = |host: &str, path: &str| {
        let rule = table.find_for_host(host, Method::Get, path, 0)?;
        Ok(rule.name.clone())
    };
    assert_eq!(found("one.example", "/a/b"), Ok(name("one")));
    assert_eq!(found("two.example", "/a/b"), Ok(name("all")));
    assert_eq!(found("two.example", "/a"), Err(Refusal::NoRoute));
}

proptest! {
    #[test]
    fn a_split_route_deals_by_weight(weights in prop::collection::vec(0..100_u32, 2)) {
        prop_assume!(weights.iter().sum::<u32>() > 0);
        let split = [("recipes", weights[0]), ("panels", weights[1])];
        let table = table_of(&[("a", route("/a", None, &split))]);
        let draws = 10_000_u32;
        let step = u32::MAX / draws;
        let to_recipes = (0..draws)
            .filter(|draw| {
                let rule = table.find_for_host("", Method::Get, "/a", draw * step).unwrap();
                rule.route.service == name("recipes")
            })
            .count();
        let share = f64::from(weights[0]) / f64::from(weights[0] + weights[1]);
        let dealt = to_recipes as f64 / f64::from(draws);
        prop_assert!((dealt - share).abs() < 0.001, "{dealt} instead of {share}");
    }
}
