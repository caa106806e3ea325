//! From a path and method to a route.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::call::Refusal;
use crank_protocol::config::{Config, Method, Route, Service, Snapshot, Version};
use crank_protocol::{Millis, Name};

/// A route with the policy of its service, as one configuration states them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// The route's name.
    pub name: Name,
    /// The route.
    pub route: Route,
    /// The policy of the service it leads to.
    pub service: Service,
}

impl Rule {
    /// The longest a request of this route may take.
    ///
    /// ```
    /// # use crank_engine::route::Rule;
    /// fn half(rule: &Rule) -> u64 {
    ///     rule.timeout().0 / 2
    /// }
    /// ```
    #[must_use]
    pub fn timeout(&self) -> Millis {
        self.route.timeout.unwrap_or(self.service.timeout)
    }
}

/// The routes of one configuration, immutable; a request keeps the table that it began with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    version: Version,
    rules: BTreeMap<Box<str>, BTreeMap<Method, Arc<Rule>>>,
}

impl Table {
    /// The table of an accepted configuration.
    ///
    /// A route whose service the configuration lacks is left out: no request is led to it.
    ///
    /// ```
    /// # use crank_protocol::{Name, config::{Account, Config, Snapshot, Stamp, Version}};
    /// # let account = Account { name: Name::new("sutkent").unwrap(), notice_ends: None };
    /// # let config = Config { account, services: Default::default(), routes: Default::default() };
    /// # let stamp = Stamp { version: Version(7), digest: crank_engine::config::digest(&config) };
    /// use crank_engine::route::Table;
    /// let snapshot = Snapshot { stamp, config };
    /// assert_eq!(Table::new(&snapshot).version(), Version(7));
    /// ```
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut table = Self {
            version: snapshot.stamp.version,
            rules: BTreeMap::new(),
        };
        for (name, route) in &snapshot.config.routes {
            table.add(name, route, &snapshot.config);
        }
        table
    }

    fn add(&mut self, name: &Name, route: &Route, config: &Config) {
        let Some(service) = config.services.get(&route.service) else {
            return;
        };
        let rule = Arc::new(Rule {
            name: name.clone(),
            route: route.clone(),
            service: service.clone(),
        });
        let prefix = route.path.trim_end_matches('/');
        let methods = self.rules.entry(prefix.into()).or_default();
        for method in &route.methods {
            methods.entry(*method).or_insert_with(|| rule.clone());
        }
    }

    /// The number of the configuration.
    ///
    /// ```
    /// # use crank_engine::route::Table;
    /// fn is_first(table: &Table) -> bool {
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
    /// # let table = crank_engine::route::Table::new(&Snapshot { stamp, config });
    /// use crank_protocol::call::Refusal;
    /// assert_eq!(table.find(Method::Get, "/recipes"), Err(Refusal::NoRoute));
    /// assert!(matches!(table.find(Method::Get, "/a/../b"), Err(Refusal::BadRequest { .. })));
    /// ```
    pub fn find(&self, method: Method, path: &str) -> Result<&Arc<Rule>, Refusal> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        check(path)?;
        let mut prefix = path.trim_end_matches('/');
        loop {
            let methods = self.rules.get(prefix);
            if let Some(rule) = methods.and_then(|methods| methods.get(&method)) {
                return Ok(rule);
            }
            let Some((shorter, _)) = prefix.rsplit_once('/') else {
                return Err(Refusal::NoRoute);
            };
            prefix = shorter;
        }
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
