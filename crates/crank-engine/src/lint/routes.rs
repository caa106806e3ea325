//! Warnings about routes.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::Name;
use crank_protocol::config::{Config, Method, Route, Service};

use super::{Problem, Warning};
use crate::route::is_routable;

/// The routes that match, by host, path and method.
type Matches<'a> = BTreeMap<(Option<&'a str>, &'a str, Method), &'a Name>;

pub(super) fn check(config: &Config, warnings: &mut Vec<Warning>) {
    let mut matches = Matches::new();
    for (name, route) in &config.routes {
        let mut warn = |key, problem| {
            warnings.push(Warning::new(format!("route {name}"), key, problem));
        };
        check_match(name, route, &mut matches, &mut warn);
        check_parts(route, config, &mut warn);
        for service in services(route, config) {
            check_service(route, service, &mut warn);
        }
    }
}

fn check_match<'a>(
    name: &'a Name,
    route: &'a Route,
    matches: &mut Matches<'a>,
    warn: &mut impl FnMut(&'static str, Problem),
) {
    if !is_routable(&route.path) {
        warn("path", Problem::PathNeverMatches);
    }
    if let Some(host) = &route.host
        && host.contains(|byte: char| byte.is_ascii_uppercase() || byte == ':')
    {
        warn("host", Problem::HostNeverMatches);
    }
    for method in &route.methods {
        let place = (route.host.as_deref(), &*route.path, *method);
        if let Some(by) = matches.get(&place) {
            let (by, method) = ((*by).clone(), *method);
            warn("path", Problem::Shadowed { by, method });
        } else {
            matches.insert(place, name);
        }
    }
}

fn check_parts(route: &Route, config: &Config, warn: &mut impl FnMut(&'static str, Problem)) {
    if services(route, config).next().is_none() {
        let key = if route.split.is_empty() {
            "service"
        } else {
            "split"
        };
        warn(key, Problem::NoTarget);
    }
    let mut seen = BTreeSet::new();
    for part in &route.split {
        let service = part.service.clone();
        if part.weight == 0 {
            warn("split", Problem::ZeroWeight { service });
        } else if !seen.insert(&part.service) {
            warn("split", Problem::RepeatedPart { service });
        }
    }
}

/// Returns the services that a route sends requests to.
fn services<'a>(
    route: &'a Route,
    config: &'a Config,
) -> impl Iterator<Item = (&'a Name, &'a Service)> {
    let single = route.split.is_empty().then_some(&route.service);
    let parts = route.split.iter().filter(|part| part.weight > 0);
    let names = parts.map(|part| &part.service).chain(single);
    names.filter_map(|name| config.services.get_key_value(name))
}

fn check_service(
    route: &Route,
    (name, service): (&Name, &Service),
    warn: &mut impl FnMut(&'static str, Problem),
) {
    let timeout = route.timeout.unwrap_or(service.timeout);
    if let Some(latency) = route.latency
        && latency > timeout
    {
        warn("latency", Problem::LatencyOverTimeout { latency, timeout });
    }
    if timeout > service.drain_grace {
        let (grace, service) = (service.drain_grace, name.clone());
        warn(
            "timeout",
            Problem::TimeoutOverDrainGrace {
                timeout,
                grace,
                service,
            },
        );
    }
    if let Some(attempts) = route.attempts.filter(|attempts| *attempts > 1)
        && service.retry_budget.0 == 0
    {
        let service = name.clone();
        warn(
            "attempts",
            Problem::AttemptsWithoutBudget { attempts, service },
        );
    }
}
