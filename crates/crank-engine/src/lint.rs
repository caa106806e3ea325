//! Warnings about a valid configuration: entries that can never match, and limits that contradict
//! each other.
//!
//! Nodes accept such a configuration. Operators see the warnings before they send it.

mod problem;
mod routes;

use std::collections::BTreeSet;
use std::sync::Arc;

use crank_protocol::Name;
use crank_protocol::config::{CallerLimits, ClientAccount, Config, Service};
use serde::Serialize;

pub use problem::Problem;

/// A problem and the entry of the configuration that has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Warning {
    /// The section, as operators write it, such as `route tickets`.
    pub section: Arc<str>,
    /// The key in the section.
    pub key: &'static str,
    /// What is wrong, and what to do.
    pub problem: Problem,
}

impl Warning {
    fn new(section: String, key: &'static str, problem: Problem) -> Self {
        Self {
            section: section.into(),
            key,
            problem,
        }
    }
}

/// Returns the warnings about a configuration, in the order of its sections.
///
/// ```
/// use crank_engine::folder::{File, merge};
/// use crank_engine::lint;
/// let content = "[account]\nname = sutkent\n[service recipes]\nslots = 6\n";
/// let merged = merge(&[File { name: "a.ini".into(), content: content.into() }])?;
/// let warnings = lint::warnings(&merged.config);
/// assert_eq!(warnings[0].problem, lint::Problem::UnusedService);
/// # Ok::<(), Vec<crank_protocol::status::Fault>>(())
/// ```
#[must_use]
pub fn warnings(config: &Config) -> Vec<Warning> {
    let mut warnings = Vec::new();
    let used = used_services(config);
    for (name, service) in &config.services {
        check_service(name, service, used.contains(name), &mut warnings);
    }
    routes::check(config, &mut warnings);
    check_clients(config, &mut warnings);
    check_limits(&config.limits, &mut warnings);
    warnings
}

/// Returns the services that at least one route sends requests to.
fn used_services(config: &Config) -> BTreeSet<&Name> {
    let routes = config.routes.values();
    let services = routes.flat_map(|route| {
        let single = route.split.is_empty().then_some(&route.service);
        let parts = route.split.iter().filter(|part| part.weight > 0);
        parts.map(|part| &part.service).chain(single)
    });
    services.collect()
}

fn check_service(name: &Name, service: &Service, is_used: bool, warnings: &mut Vec<Warning>) {
    let mut warn = |key, problem| {
        warnings.push(Warning::new(format!("service {name}"), key, problem));
    };
    if !is_used {
        warn("slots", Problem::UnusedService);
    }
    if let Some(objective) = service.objective
        && objective.latency > service.timeout
    {
        let (latency, timeout) = (objective.latency, service.timeout);
        let problem = Problem::LatencyOverTimeout { latency, timeout };
        warn("objective_latency", problem);
    }
}

fn check_clients(config: &Config, warnings: &mut Vec<Warning>) {
    let mut owners: Vec<(&Name, &ClientAccount)> = Vec::new();
    for (name, client) in &config.clients {
        let mut warn = |key, problem| {
            warnings.push(Warning::new(format!("client {name}"), key, problem));
        };
        if client.keys.is_empty() {
            warn("keys", Problem::AccountWithoutKeys);
        }
        let shares_key = |(_, other): &&(_, &ClientAccount)| !other.keys.is_disjoint(&client.keys);
        if let Some((other, _)) = owners.iter().find(shares_key) {
            let other = (*other).clone();
            warn("keys", Problem::SharedKey { other });
        }
        if client.rate.is_some_and(|rate| rate.per_second == 0) {
            warn("rate", Problem::ZeroRate);
        }
        if client.rate.is_some_and(|rate| rate.burst == 0) {
            warn("burst", Problem::ZeroBurst);
        }
        owners.push((name, client));
    }
    let all_are_public = config.routes.values().all(|route| route.public);
    if let Some(name) = config.clients.keys().next()
        && all_are_public
    {
        let section = format!("client {name}");
        warnings.push(Warning::new(section, "keys", Problem::KeysNeverRequired));
    }
}

fn check_limits(limits: &CallerLimits, warnings: &mut Vec<Warning>) {
    let zero_keys = [
        ("header_bytes", limits.header_bytes == Some(0)),
        (
            "header_timeout",
            limits.header_timeout.is_some_and(|limit| limit.0 == 0),
        ),
        (
            "idle_timeout",
            limits.idle_timeout.is_some_and(|limit| limit.0 == 0),
        ),
    ];
    for (key, is_zero) in zero_keys {
        if is_zero {
            warnings.push(Warning::new("limits".to_owned(), key, Problem::ZeroLimit));
        }
    }
}
