//! From a path and method to a route.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::call::Refusal;
use crank_protocol::config::{
    Config, Importance, Method, Objective, Route, Service, Snapshot, Version,
};
use crank_protocol::{Millis, Name, Permille};

/// The share of good answers wanted of a route that states a latency and a service that states none.
const USUAL_GOOD: Permille = Permille(990);

/// A route with the policy of its service, as one configuration states them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// The route's name.
    pub name: Name,
    /// The route.
    pub route: Route,
    /// The policy of the service it leads to.
    pub service: Service,
}

impl ResolvedRoute {
    /// The longest a request of this route may take.
    ///
    /// ```
    /// # use crank_engine::route::ResolvedRoute;
    /// fn half(rule: &ResolvedRoute) -> u64 {
    ///     rule.timeout().0 / 2
    /// }
    /// ```
    #[must_use]
    pub fn timeout(&self) -> Millis {
        self.route.timeout.unwrap_or(self.service.timeout)
    }

    /// What is kept for longer when there is not room for all.
    ///
    /// ```
    /// # use crank_engine::route::ResolvedRoute;
    /// # use crank_protocol::config::Importance;
    /// fn goes_first(rule: &ResolvedRoute) -> bool {
    ///     rule.importance() == Importance::High
    /// }
    /// ```
    #[must_use]
    pub fn importance(&self) -> Importance {
        self.route.importance.unwrap_or(self.service.importance)
    }

    /// The time within which an answer is good, where there is such an objective.
    ///
    /// ```
    /// # use crank_engine::route::ResolvedRoute;
    /// fn is_measured(rule: &ResolvedRoute) -> bool {
    ///     rule.objective().is_some()
    /// }
    /// ```
    #[must_use]
    pub fn objective(&self) -> Option<Objective> {
        let stated = self.service.objective;
        match self.route.latency {
            Some(latency) => {
                let good = stated.map_or(USUAL_GOOD, |objective| objective.good);
                Some(Objective { good, latency })
            }
            None => stated,
        }
    }
}

/// The routes of one configuration, immutable; a request keeps the table that it began with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingTable {
    version: Version,
    any_host: Paths,
    hosts: BTreeMap<Box<str>, Paths>,
}

type Paths = BTreeMap<Box<str>, BTreeMap<Method, Fork>>;

/// The services of one route, each with its weight; one alone where the route is not split.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Fork {
    parts: Vec<(u32, Arc<ResolvedRoute>)>,
}

impl Fork {
    /// `None` where no part has weight and a service in the configuration.
    fn new(name: &Name, route: &Route, config: &Config) -> Option<Self> {
        let whole = (1, &route.service);
        let split = route.split.iter().map(|part| (part.weight, &part.service));
        let parts: Vec<_> = match route.split.as_slice() {
            [] => vec![whole],
            _ => split.filter(|(weight, _)| *weight > 0).collect(),
        };
        let rule = |(weight, service): (u32, &Name)| {
            let policy = config.services.get(service)?;
            let rule = ResolvedRoute {
                name: name.clone(),
                route: Route {
                    service: service.clone(),
                    ..route.clone()
                },
                service: policy.clone(),
            };
            Some((weight, Arc::new(rule)))
        };
        let parts: Vec<_> = parts.into_iter().filter_map(rule).collect();
        (!parts.is_empty()).then_some(Self { parts })
    }

    fn pick(&self, draw: u32) -> Option<&Arc<ResolvedRoute>> {
        let total: u64 = self
            .parts
            .iter()
            .map(|(weight, _)| u64::from(*weight))
            .sum();
        let mut left = (u64::from(draw) * total) >> u32::BITS;
        for (weight, rule) in &self.parts {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(rule),
            }
        }
        None
    }
}

impl RoutingTable {
    /// The table of an accepted configuration.
    ///
    /// A route whose service the configuration lacks is left out: no request is led to it.
    ///
    /// ```
    /// # use crank_protocol::{Name, config::{Account, Config, Snapshot, Stamp, Version}};
    /// # let account = Account { name: Name::new("sutkent").unwrap(), notice_ends: None };
    /// # let config = Config { account, services: Default::default(), routes: Default::default() };
    /// # let stamp = Stamp { version: Version(7), digest: crank_engine::config::digest(&config) };
    /// use crank_engine::route::RoutingTable;
    /// let snapshot = Snapshot { stamp, config };
    /// assert_eq!(RoutingTable::new(&snapshot).version(), Version(7));
    /// ```
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut table = Self {
            version: snapshot.stamp.version,
            any_host: Paths::new(),
            hosts: BTreeMap::new(),
        };
        for (name, route) in &snapshot.config.routes {
            table.add(name, route, &snapshot.config);
        }
        table
    }

    fn add(&mut self, name: &Name, route: &Route, config: &Config) {
        let Some(fork) = Fork::new(name, route, config) else {
            return;
        };
        let paths = match &route.host {
            Some(host) => self.hosts.entry(Box::from(&**host)).or_default(),
            None => &mut self.any_host,
        };
        let prefix = if &*route.path == "/" { "" } else { &route.path };
        let methods = paths.entry(prefix.into()).or_default();
        for method in &route.methods {
            methods.entry(*method).or_insert_with(|| fork.clone());
        }
    }

    /// The number of the configuration.
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

    /// The route with the longest prefix of the path, at a segment border, that claims the method.
    ///
    /// The path may carry a query, which does not count.
    ///
    /// # Errors
    /// [`Refusal::NoRoute`] where none claims it, and [`Refusal::BadRequest`] for a path that does
    /// not start with `/` or holds `.` or `..` segments, which a backend server could read as
    /// another path than the one that was routed.
    ///
    /// ```
    /// # use crank_protocol::{Name, config::{Account, Config, Method, Snapshot, Stamp, Version}};
    /// # let account = Account { name: Name::new("sutkent").unwrap(), notice_ends: None };
    /// # let config = Config { account, services: Default::default(), routes: Default::default() };
    /// # let stamp = Stamp { version: Version(7), digest: crank_engine::config::digest(&config) };
    /// # let table = crank_engine::route::RoutingTable::new(&Snapshot { stamp, config });
    /// use crank_protocol::call::Refusal;
    /// assert_eq!(table.find(Method::Get, "/recipes"), Err(Refusal::NoRoute));
    /// assert!(matches!(table.find(Method::Get, "/a/../b"), Err(Refusal::BadRequest { .. })));
    /// ```
    pub fn find(&self, method: Method, path: &str) -> Result<&Arc<ResolvedRoute>, Refusal> {
        self.find_for_host("", method, path, 0)
    }

    /// The same for a host; routes of that host go before those of all hosts.
    ///
    /// `draw` is a number drawn for the request, by which a split route deals it to a service.
    ///
    /// # Errors
    /// As [`RoutingTable::find`].
    ///
    /// ```
    /// # use crank_engine::route::{ResolvedRoute, RoutingTable};
    /// # use crank_protocol::{Name, call::Refusal, config::Method};
    /// fn service(table: &RoutingTable, host: &str, draw: u32) -> Result<Name, Refusal> {
    ///     let rule = table.find_for_host(host, Method::Get, "/recipes/7", draw)?;
    ///     Ok(rule.route.service.clone())
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
        check(path)?;
        let own = self.hosts.get(host);
        let fork = own.and_then(|paths| longest(paths, method, path));
        let fork = fork.or_else(|| longest(&self.any_host, method, path));
        fork.and_then(|fork| fork.pick(draw))
            .ok_or(Refusal::NoRoute)
    }
}

/// Tries the whole path and each shorter one at a border, with its last slash before without it.
fn longest<'a>(paths: &'a Paths, method: Method, path: &str) -> Option<&'a Fork> {
    let found = |prefix: &str| paths.get(prefix).and_then(|methods| methods.get(&method));
    let mut prefix = path;
    loop {
        if let Some(fork) = found(prefix) {
            return Some(fork);
        }
        let slash = prefix.rfind('/')?;
        if let Some(fork) = found(&prefix[..=slash]) {
            return Some(fork);
        }
        prefix = &prefix[..slash];
    }
}

fn check(path: &str) -> Result<(), Refusal> {
    let problem = if !path.starts_with('/') {
        "the path does not start with '/': send an absolute path"
    } else if path.split('/').any(is_dots) {
        "the path has a '.' or '..' segment: send the path that is meant"
    } else {
        return Ok(());
    };
    Err(Refusal::BadRequest {
        detail: Arc::from(problem),
    })
}

fn is_dots(segment: &str) -> bool {
    if segment.len() > 6 {
        return false;
    }
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}
