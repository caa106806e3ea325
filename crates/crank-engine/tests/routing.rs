//! Routing: which route a host, path and method match.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_engine::config::digest;
use crank_engine::route::RoutingTable;
use crank_protocol::call::Refusal;
use crank_protocol::config::{
    Config, Importance, Method, Owner, Route, Service, Snapshot, Stamp, Version, WeightedService,
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

fn table_for_paths(paths: &[(String, Method)]) -> RoutingTable {
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
                public: false,
            };
            (name(&format!("r{number}")), route)
        })
        .collect();
    let account = Owner {
        name: name("sutkent"),
        notice_ends: None,
    };
    let config = Config {
        account,
        services: [(name("recipes"), service())].into(),
        routes,
        clients: Default::default(),
        limits: Default::default(),
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

/// Finds the longest matching route by comparing segments one by one.
fn expected_route<'a>(
    routes: &'a [(String, Method)],
    requested_method: Method,
    path: &str,
) -> Option<&'a str> {
    let segments = |path: &str| -> Vec<String> {
        let parts = path.split('/').filter(|part| !part.is_empty());
        parts.map(String::from).collect()
    };
    let requested_segments = segments(path);
    routes
        .iter()
        .filter(|(route, method)| {
            *method == requested_method && requested_segments.starts_with(&segments(route))
        })
        .map(|(route, _)| route.as_str())
        .max_by_key(|route| route.len())
}

proptest! {
    #[test]
    fn the_longest_prefix_at_a_segment_boundary_wins(
        routes in prop::collection::vec((path(), method()), 0..8),
        requested_path in path(),
        requested_method in method(),
        query in prop::option::of("[a-z/.]{0,6}"),
    ) {
        let table = table_for_paths(&routes);
        let target = match query {
            Some(query) => format!("{requested_path}?{query}"),
            None => requested_path.clone(),
        };
        let matched = table.find(requested_method, &target).map(|route| route.route.path.to_string());
        match expected_route(&routes, requested_method, &requested_path) {
            Some(route) => prop_assert_eq!(matched, Ok(route.to_string())),
            None => prop_assert_eq!(matched, Err(Refusal::NoRoute)),
        }
    }

    #[test]
    fn a_path_with_dot_segments_is_refused(
        before in path(),
        dots in prop_oneof!["\\.{1,2}", "%2[eE]", "(%2[eE]|\\.){2}"],
        after in path(),
    ) {
        let table = table_for_paths(&[("/".to_string(), Method::Get)]);
        let target = format!("{before}/{dots}{after}");
        let is_refused = matches!(
            table.find(Method::Get, &target),
            Err(Refusal::BadRequest { .. })
        );
        prop_assert!(is_refused, "{target}");
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
        public: false,
    }
}

fn table_for_routes(routes: &[(&str, Route)]) -> RoutingTable {
    let routes = routes.iter().map(|(id, route)| (name(id), route.clone()));
    let services = ["recipes", "panels"];
    let config = Config {
        account: Owner {
            name: name("sutkent"),
            notice_ends: None,
        },
        services: services.map(|id| (name(id), service())).into(),
        routes: routes.collect(),
        clients: Default::default(),
        limits: Default::default(),
    };
    let stamp = Stamp {
        version: Version(1),
        digest: digest(&config),
    };
    RoutingTable::new(&Snapshot { stamp, config })
}

#[test]
fn a_route_with_a_trailing_slash_matches_only_paths_below_it() {
    let table = table_for_routes(&[("a", route("/a/", None, &[]))]);
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
fn routes_of_a_host_take_precedence_and_match_no_other_host() {
    let table = table_for_routes(&[
        ("all", route("/a/b", None, &[])),
        ("one", route("/a", Some("one.example"), &[])),
    ]);
    let route_of = |host: &str, path: &str| {
        let route = table.find_for_host(host, Method::Get, path, 0)?;
        Ok(route.name.clone())
    };
    assert_eq!(route_of("one.example", "/a/b"), Ok(name("one")));
    assert_eq!(route_of("two.example", "/a/b"), Ok(name("all")));
    assert_eq!(route_of("two.example", "/a"), Err(Refusal::NoRoute));
}

proptest! {
    #[test]
    fn a_split_route_distributes_requests_by_weight(weights in prop::collection::vec(0..100_u32, 2)) {
        prop_assume!(weights.iter().sum::<u32>() > 0);
        let split = [("recipes", weights[0]), ("panels", weights[1])];
        let table = table_for_routes(&[("a", route("/a", None, &split))]);
        let draws = 10_000_u32;
        let step = u32::MAX / draws;
        let to_recipes = (0..draws)
            .filter(|draw| {
                let route = table.find_for_host("", Method::Get, "/a", draw * step).unwrap();
                route.route.service == name("recipes")
            })
            .count();
        let share = f64::from(weights[0]) / f64::from(weights[0] + weights[1]);
        let actual = to_recipes as f64 / f64::from(draws);
        prop_assert!((actual - share).abs() < 0.001, "{actual} instead of {share}");
    }
}
