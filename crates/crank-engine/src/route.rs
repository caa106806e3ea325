//! Routing: finds the route of a request by its host, method and path.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::call::Refusal;
use crank_protocol::config::{
    Config, Importance, Method, Objective, Route, Service, Snapshot, Version,
};
use crank_protocol::{Millis, Name, Permille};

use crate::account::AccountTable;

/// The share of good answers that a route with a latency objective requires if its service has no
/// objective of its own.
const DEFAULT_GOOD_SHARE: Permille = Permille(990);

/// A route with the policy of its service, as given by one configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// The name of the route.
    pub name: Name,
    /// The route, with the service that the request is sent to.
    pub route: Route,
    /// The policy of that service.
    pub service: Service,
}

impl ResolvedRoute {
    /// Returns the time limit for a request of this route.
    ///
    /// ```
    /// # use crank_engine::route::ResolvedRoute;
    /// fn half_timeout(route: &ResolvedRoute) -> u64 {
    ///     route.timeout().0 / 2
    /// }
    /// ```
    #[must_use]
    pub fn timeout(&self) -> Millis {
        self.route.timeout.unwrap_or(self.service.timeout)
    }

    /// Returns the importance of requests of this route: under overload, less important requests
    /// are refused first.
    ///
    /// ```
    /// # use crank_engine::route::ResolvedRoute;
    /// # use crank_protocol::config::Importance;
    /// fn is_important(route: &ResolvedRoute) -> bool {
    ///     route.importance() == Importance::High
    /// }
    /// ```
    #[must_use]
    pub fn importance(&self) -> Importance {
        self.route.importance.unwrap_or(self.service.importance)
    }

    /// Returns the service-level objective for requests of this route, if there is one.
    ///
    /// The route's own latency takes precedence over that of its service.
    ///
    /// ```
    /// # use crank_engine::route::ResolvedRoute;
    /// fn has_objective(route: &ResolvedRoute) -> bool {
    ///     route.objective().is_some()
    /// }
    /// ```
    #[must_use]
    pub fn objective(&self) -> Option<Objective> {
        let service_objective = self.service.objective;
        match self.route.latency {
            Some(latency) => {
                let good = service_objective.map_or(DEFAULT_GOOD_SHARE, |objective| objective.good);
                Some(Objective { good, latency })
            }
            None => service_objective,
        }
    }
}

/// The immutable routing table of one configuration.
///
/// A request keeps the table that it was routed with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingTable {
    version: Version,
    any_host: PathMap,
    hosts: BTreeMap<Box<str>, PathMap>,
    accounts: AccountTable,
}

/// Routes by path prefix and method; the prefix of `/` is empty.
type PathMap = BTreeMap<Box<str>, BTreeMap<Method, WeightedRoutes>>;

/// The services of one route with their weights; a route that is not split has one service.
#[derive(Debug, Clone, PartialEq, Eq)]
struct WeightedRoutes {
    parts: Vec<(u32, Arc<ResolvedRoute>)>,
}

impl WeightedRoutes {
    /// Returns `None` if no service has both a weight above zero and an entry in the configuration.
    fn new(name: &Name, route: &Route, config: &Config) -> Option<Self> {
        let single = (1, &route.service);
        let split = route.split.iter().map(|part| (part.weight, &part.service));
        let parts: Vec<_> = match route.split.as_slice() {
            [] => vec![single],
            _ => split.filter(|(weight, _)| *weight > 0).collect(),
        };
        let resolve = |(weight, service): (u32, &Name)| {
            let policy = config.services.get(service)?;
            let resolved = ResolvedRoute {
                name: name.clone(),
                route: Route {
                    service: service.clone(),
                    ..route.clone()
                },
                service: policy.clone(),
            };
            Some((weight, Arc::new(resolved)))
        };
        let parts: Vec<_> = parts.into_iter().filter_map(resolve).collect();
        (!parts.is_empty()).then_some(Self { parts })
    }

    /// Picks a service in proportion to its weight; `draw` is uniformly distributed.
    fn pick(&self, draw: u32) -> Option<&Arc<ResolvedRoute>> {
        let total: u64 = self
            .parts
            .iter()
            .map(|(weight, _)| u64::from(*weight))
            .sum();
        let mut remaining = (u64::from(draw) * total) >> u32::BITS;
        for (weight, route) in &self.parts {
            match remaining.checked_sub(u64::from(*weight)) {
                Some(rest) => remaining = rest,
                None => return Some(route),
            }
        }
        None
    }
}

impl RoutingTable {
    /// Builds the routing table of an accepted configuration.
    ///
    /// Routes to services that are missing from the configuration are left out.
    ///
    /// ```
    /// # use crank_protocol::{Name, config::{Owner, Config, Snapshot, Stamp, Version}};
    /// # let account = Owner { name: Name::new("sutkent").unwrap(), notice_ends: None };
    /// # let config = Config::new(account);
    /// # let stamp = Stamp { version: Version(7), digest: crank_engine::config::digest(&config) };
    /// use crank_engine::route::RoutingTable;
    /// let snapshot = Snapshot { stamp, config };
    /// assert_eq!(RoutingTable::new(&snapshot).version(), Version(7));
    /// ```
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut table = Self {
            version: snapshot.stamp.version,
            any_host: PathMap::new(),
            hosts: BTreeMap::new(),
            accounts: AccountTable::new(&snapshot.config.clients),
        };
        for (name, route) in &snapshot.config.routes {
            table.add(name, route, &snapshot.config);
        }
        table
    }

    fn add(&mut self, name: &Name, route: &Route, config: &Config) {
        let Some(routes) = WeightedRoutes::new(name, route, config) else {
            return;
        };
        let paths = match &route.host {
            Some(host) => self.hosts.entry(Box::from(&**host)).or_default(),
            None => &mut self.any_host,
        };
        let prefix = if &*route.path == "/" { "" } else { &route.path };
        let methods = paths.entry(prefix.into()).or_default();
        for method in &route.methods {
            methods.entry(*method).or_insert_with(|| routes.clone());
        }
    }

    /// Returns the version of the configuration.
    ///
    /// ```
    /// # use crank_engine::route::RoutingTable;
    /// fn is_first(table: &RoutingTable) -> bool {
    ///     table.version().0 == 1
    /// }
    /// ```
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the client accounts of the configuration.
    ///
    /// ```
    /// # use crank_engine::route::RoutingTable;
    /// fn is_open(table: &RoutingTable) -> bool {
    ///     !table.accounts().requires_keys()
    /// }
    /// ```
    #[must_use]
    pub fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// Finds the route for a method and path, without regard to routes of particular hosts.
    ///
    /// The route with the longest path prefix that ends at a segment boundary wins. A query in the
    /// path is ignored.
    ///
    /// # Errors
    /// Returns [`Refusal::NoRoute`] if no route matches, and [`Refusal::BadRequest`] if the path
    /// does not start with `/` or contains `.` or `..` segments, because a backend server could
    /// resolve them to another path than the one that was routed.
    ///
    /// ```
    /// # use crank_protocol::{Name, config::{Owner, Config, Method, Snapshot, Stamp, Version}};
    /// # let account = Owner { name: Name::new("sutkent").unwrap(), notice_ends: None };
    /// # let config = Config::new(account);
    /// # let stamp = Stamp { version: Version(7), digest: crank_engine::config::digest(&config) };
    /// # let table = crank_engine::route::RoutingTable::new(&Snapshot { stamp, config });
    /// use crank_protocol::call::Refusal;
    /// assert_eq!(table.find(Method::Get, "/recipes"), Err(Refusal::NoRoute));
    /// assert!(matches!(table.find(Method::Get, "/a/../b"), Err(Refusal::BadRequest { .. })));
    /// ```
    pub fn find(&self, method: Method, path: &str) -> Result<&Arc<ResolvedRoute>, Refusal> {
        self.find_for_host("", method, path, 0)
    }

    /// Finds the route as [`RoutingTable::find`] does, but prefers routes of the given host over
    /// routes for all hosts.
    ///
    /// `draw` is a random number for the request; a split route uses it to choose the service.
    ///
    /// # Errors
    /// Returns the same refusals as [`RoutingTable::find`].
    ///
    /// ```
    /// # use crank_engine::route::{ResolvedRoute, RoutingTable};
    /// # use crank_protocol::{Name, call::Refusal, config::Method};
    /// fn service(table: &RoutingTable, host: &str, draw: u32) -> Result<Name, Refusal> {
    ///     let route = table.find_for_host(host, Method::Get, "/recipes/7", draw)?;
    ///     Ok(route.route.service.clone())
    /// }
    /// ```
    pub fn find_for_host(
        &self,
        host: &str,
        method: Method,
        path: &str,
        draw: u32,
    ) -> Result<&Arc<ResolvedRoute>, Refusal> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        validate_path(path)?;
        let host_paths = self.hosts.get(host);
        let routes = host_paths.and_then(|paths| longest_match(paths, method, path));
        let routes = routes.or_else(|| longest_match(&self.any_host, method, path));
        routes
            .and_then(|routes| routes.pick(draw))
            .ok_or(Refusal::NoRoute)
    }
}

/// Looks up the whole path and then ever shorter prefixes of it that end at a segment boundary;
/// each prefix is tried with its trailing slash first and then without.
fn longest_match<'a>(paths: &'a PathMap, method: Method, path: &str) -> Option<&'a WeightedRoutes> {
    let lookup = |prefix: &str| paths.get(prefix).and_then(|methods| methods.get(&method));
    let mut prefix = path;
    loop {
        if let Some(routes) = lookup(prefix) {
            return Some(routes);
        }
        let slash = prefix.rfind('/')?;
        if let Some(routes) = lookup(&prefix[..=slash]) {
            return Some(routes);
        }
        prefix = &prefix[..slash];
    }
}

/// Returns whether a request with this path can be routed.
pub(crate) fn is_routable(path: &str) -> bool {
    !path.contains(['?', '#']) && validate_path(path).is_ok()
}

fn validate_path(path: &str) -> Result<(), Refusal> {
    let problem = if !path.starts_with('/') {
        "the path does not start with '/': send an absolute path"
    } else if path.split('/').any(is_dot_segment) {
        "the path has a '.' or '..' segment: send the path that is meant"
    } else {
        return Ok(());
    };
    Err(Refusal::BadRequest {
        detail: Arc::from(problem),
    })
}

/// Returns whether a path segment is `.` or `..`, plain or percent-encoded.
fn is_dot_segment(segment: &str) -> bool {
    if segment.len() > 6 {
        return false;
    }
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}
