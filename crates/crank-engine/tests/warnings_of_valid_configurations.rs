//! Valid configurations with entries that never match, or with limits that contradict each other.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use crank_engine::folder::{File, merge};
use crank_engine::lint::{Problem, warnings};
use crank_protocol::Name;
use crank_protocol::config::{ClientAccount, Config, Method, RateLimit, WeightedService};

const SERVICE: &str = "[account]\nname = sutkent\n[service recipes]\nslots = 6\n";
const ROUTE: &str = "[route r]\npath = /r\nmethods = GET\nservice = recipes\n";

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn files(route: &str) -> [File; 2] {
    let file = |name: &str, content: &str| File {
        name: name.into(),
        content: content.into(),
    };
    [file("10.ini", SERVICE), file("20.ini", route)]
}

fn config(route: &str) -> Config {
    merge(&files(route)).unwrap().config
}

/// Returns the problems of the route `r` after the change.
fn problems(change: impl FnOnce(&mut Config)) -> Vec<Problem> {
    let mut config = config(ROUTE);
    change(&mut config);
    let found = warnings(&config).into_iter();
    found.map(|warning| warning.problem).collect()
}

#[test]
fn a_configuration_without_contradictions_has_no_warnings() {
    assert_eq!(problems(|_| {}), []);
}

#[test]
fn a_warning_names_file_line_and_key() {
    let route = format!("{ROUTE}timeout = 500ms\nlatency = 800ms\n");
    let merged = merge(&files(&route)).unwrap();
    let lines: Vec<String> = merged.warnings.iter().map(ToString::to_string).collect();
    let expected = "20.ini:6: route r latency: the latency of 800 ms is over the timeout of 500 ms: \
        lower it, or raise the timeout";
    assert_eq!(lines, [expected]);
}

#[test]
fn a_warning_about_a_key_that_is_left_out_names_the_section() {
    let route = "[route r]\npath = /r\nmethods = GET\nservice = recipes\nattempts = 3\n\
        [service recipes]\ndrain_grace = 4s\n";
    let merged = merge(&files(route)).unwrap();
    let found = &merged.warnings[0];
    assert_eq!(
        (&*found.file, found.line, &*found.key),
        ("20.ini", 1, "timeout")
    );
}

#[test]
fn a_service_without_routes_is_unused() {
    let part = |service: &str, weight| WeightedService {
        service: name(service),
        weight,
    };
    let found = problems(|config| {
        let spare = config.services[&name("recipes")].clone();
        config.services.insert(name("spare"), spare);
        let route = config.routes.get_mut(&name("r")).unwrap();
        route.split = vec![part("recipes", 9), part("spare", 0)];
    });
    let service = name("spare");
    assert_eq!(
        found,
        [Problem::UnusedService, Problem::ZeroWeight { service }]
    );
}

#[test]
fn the_second_route_on_a_path_is_shadowed() {
    let found = problems(|config| {
        let mut route = config.routes[&name("r")].clone();
        route.methods.insert(Method::Post);
        config.routes.insert(name("s"), route);
    });
    let by = name("r");
    let method = Method::Get;
    assert_eq!(found, [Problem::Shadowed { by, method }]);
}

#[test]
fn routes_of_different_hosts_do_not_shadow_each_other() {
    let found = problems(|config| {
        let mut route = config.routes[&name("r")].clone();
        route.host = Some("a.example".into());
        config.routes.insert(name("s"), route);
    });
    assert_eq!(found, []);
}

#[test]
fn a_path_or_host_that_no_request_can_have_never_matches() {
    for path in ["r", "/a/../b/", "/a?b/"] {
        let found = problems(|config| {
            config.routes.get_mut(&name("r")).unwrap().path = path.into();
        });
        assert_eq!(found, [Problem::PathNeverMatches], "{path}");
    }
    for host in ["A.example", "a.example:80"] {
        let found = problems(|config| {
            config.routes.get_mut(&name("r")).unwrap().host = Some(host.into());
        });
        assert_eq!(found, [Problem::HostNeverMatches], "{host}");
    }
}

#[test]
fn a_route_to_an_undefined_service_has_no_target() {
    let found = problems(|config| {
        config.routes.get_mut(&name("r")).unwrap().service = name("gone");
    });
    assert_eq!(found, [Problem::UnusedService, Problem::NoTarget]);
}

#[test]
fn attempts_without_a_retry_budget_contradict_each_other() {
    let found = problems(|config| {
        config
            .services
            .get_mut(&name("recipes"))
            .unwrap()
            .retry_budget
            .0 = 0;
        config.routes.get_mut(&name("r")).unwrap().attempts = Some(3);
    });
    let service = name("recipes");
    assert_eq!(
        found,
        [Problem::AttemptsWithoutBudget {
            attempts: 3,
            service
        }]
    );
}

#[test]
fn accounts_whose_keys_or_limits_admit_nothing_are_named() {
    let found = problems(|config| {
        let rate = Some(RateLimit {
            per_second: 5,
            burst: 0,
        });
        let account = ClientAccount {
            keys: BTreeSet::new(),
            importance: None,
            rate,
        };
        config.clients.insert(name("mill"), account);
    });
    assert_eq!(found, [Problem::AccountWithoutKeys, Problem::ZeroBurst]);
}

#[test]
fn keys_that_no_route_requires_are_pointed_out() {
    let found = problems(|config| {
        let digest = crank_engine::folder::content_digest(b"a key");
        let account = ClientAccount {
            keys: BTreeSet::from([digest]),
            ..ClientAccount::default()
        };
        config.clients.insert(name("mill"), account);
        config.routes.get_mut(&name("r")).unwrap().public = true;
    });
    assert_eq!(found, [Problem::KeysNeverRequired]);
}

#[test]
fn a_limit_of_zero_refuses_every_caller() {
    let found = problems(|config| config.limits.header_bytes = Some(0));
    assert_eq!(found, [Problem::ZeroLimit]);
}
