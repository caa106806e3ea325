//! Digests of configurations, and deltas between configurations.

use std::collections::BTreeMap;

use crank_protocol::Name;
use crank_protocol::config::{
    Change, ClientAccount, Config, Delta, Digest, Route, Service, Snapshot, Stamp,
};
use sha2::{Digest as _, Sha256};

use crate::Error;

/// Returns the SHA-256 digest of a configuration's canonical encoding.
///
/// The CBOR encoding is canonical because every map and set in a configuration is ordered.
///
/// ```
/// # use crank_protocol::{Name, config::{Owner, Config}};
/// # let account = Owner { name: Name::new("sutkent").unwrap(), notice_ends: None };
/// # let config = Config::new(account);
/// let digest = crank_engine::config::digest(&config);
/// assert_eq!(digest, crank_engine::config::digest(&config.clone()));
/// ```
#[must_use]
pub fn digest(config: &Config) -> Digest {
    let mut hasher = HashWriter(Sha256::new());
    let encoded = ciborium::into_writer(config, &mut hasher);
    debug_assert!(encoded.is_ok(), "writing to the hasher cannot fail");
    match Digest::new(&hex::encode(hasher.0.finalize())) {
        Ok(digest) => digest,
        Err(error) => unreachable!("{error}"),
    }
}

struct HashWriter(Sha256);

impl std::io::Write for HashWriter {
    fn write(&mut self, buffer: &[u8]) -> std::io::Result<usize> {
        self.0.update(buffer);
        Ok(buffer.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the delta that turns the configuration `base` into `result`.
///
/// ```
/// # use crank_protocol::{Name, config::{Owner, Config, Snapshot, Stamp, Version}};
/// # let account = Owner { name: Name::new("sutkent").unwrap(), notice_ends: None };
/// # let config = Config::new(account);
/// # let stamp = Stamp { version: Version(1), digest: crank_engine::config::digest(&config) };
/// let old = Snapshot { stamp, config };
/// let mut new = old.clone();
/// new.stamp.version = Version(2);
/// let delta = crank_engine::config::diff(&old, &new);
/// assert_eq!(crank_engine::config::apply(&old, &delta)?, new);
/// # Ok::<(), crank_engine::Error>(())
/// ```
#[must_use]
pub fn diff(base: &Snapshot, result: &Snapshot) -> Delta {
    let (old, new) = (&base.config, &result.config);
    let mut changes = Vec::new();
    if old.account != new.account {
        changes.push(Change::Owner(new.account.clone()));
    }
    changes.extend(map_changes(
        &old.services,
        &new.services,
        put_service,
        Change::NoService,
    ));
    changes.extend(map_changes(
        &old.routes,
        &new.routes,
        put_route,
        Change::NoRoute,
    ));
    changes.extend(map_changes(
        &old.clients,
        &new.clients,
        put_client,
        Change::NoClient,
    ));
    if old.limits != new.limits {
        changes.push(Change::Limits(new.limits));
    }
    Delta {
        base: base.stamp.clone(),
        result: result.stamp.clone(),
        changes,
    }
}

fn put_service(name: Name, service: Service) -> Change {
    Change::Service(name, service)
}

fn put_route(name: Name, route: Route) -> Change {
    Change::Route(name, route)
}

fn put_client(name: Name, client: ClientAccount) -> Change {
    Change::Client(name, client)
}

fn map_changes<T: Clone + PartialEq>(
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
    put: fn(Name, T) -> Change,
    remove: fn(Name) -> Change,
) -> Vec<Change> {
    let puts = new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(*value));
    let removals = old.keys().filter(|name| !new.contains_key(*name));
    puts.map(|(name, value)| put(name.clone(), value.clone()))
        .chain(removals.map(|name| remove(name.clone())))
        .collect()
}

/// Applies a delta to its base version and verifies the digest of the result.
///
/// # Errors
/// Returns [`Error::WrongBase`] if `base` is not exactly the base version of the delta, and
/// [`Error::WrongDigest`] if the result does not match the digest that the delta states.
///
/// ```
/// # use crank_protocol::{Name, config::{Owner, Config, Snapshot, Stamp, Version}};
/// # let account = Owner { name: Name::new("sutkent").unwrap(), notice_ends: None };
/// # let config = Config::new(account);
/// # let stamp = Stamp { version: Version(1), digest: crank_engine::config::digest(&config) };
/// # let old = Snapshot { stamp, config };
/// let mut new = old.clone();
/// new.stamp.version = Version(2);
/// let delta = crank_engine::config::diff(&old, &new);
/// assert!(crank_engine::config::apply(&new, &delta).is_err());
/// ```
pub fn apply(base: &Snapshot, delta: &Delta) -> Result<Snapshot, Error> {
    if base.stamp != delta.base {
        let (wanted, held) = (Box::new(delta.base.clone()), Box::new(base.stamp.clone()));
        return Err(Error::WrongBase { wanted, held });
    }
    let config = with_changes(base.config.clone(), &delta.changes);
    verify_digest(config, delta.result.clone())
}

/// Returns a configuration with the given changes applied, without any checks.
///
/// ```
/// # use crank_protocol::{Name, config::{Owner, Change, Config}};
/// # let account = Owner { name: Name::new("sutkent").unwrap(), notice_ends: None };
/// # let config = Config::new(account);
/// let removal = Change::NoService(Name::new("recipes").unwrap());
/// assert_eq!(crank_engine::config::with_changes(config.clone(), &[removal]), config);
/// ```
#[must_use]
pub fn with_changes(mut config: Config, changes: &[Change]) -> Config {
    for change in changes {
        apply_change(&mut config, change.clone());
    }
    config
}

fn apply_change(config: &mut Config, change: Change) {
    match change {
        Change::Owner(account) => config.account = account,
        Change::Service(name, service) => {
            config.services.insert(name, service);
        }
        Change::NoService(name) => {
            config.services.remove(&name);
        }
        Change::Route(name, route) => {
            config.routes.insert(name, route);
        }
        Change::NoRoute(name) => {
            config.routes.remove(&name);
        }
        Change::Client(name, client) => {
            config.clients.insert(name, client);
        }
        Change::NoClient(name) => {
            config.clients.remove(&name);
        }
        Change::Limits(limits) => config.limits = limits,
    }
}

/// Combines a configuration and its stamp into a snapshot after verifying the digest.
///
/// # Errors
/// Returns [`Error::WrongDigest`] if the configuration does not match the digest in the stamp.
///
/// ```
/// # use crank_protocol::{Name, config::{Owner, Config, Digest, Stamp, Version}};
/// # let account = Owner { name: Name::new("sutkent").unwrap(), notice_ends: None };
/// # let config = Config::new(account);
/// let stamp = Stamp { version: Version(1), digest: Digest::new(&"00".repeat(32)).unwrap() };
/// assert!(crank_engine::config::verify_digest(config, stamp).is_err());
/// ```
pub fn verify_digest(config: Config, stamp: Stamp) -> Result<Snapshot, Error> {
    if digest(&config) == stamp.digest {
        Ok(Snapshot { stamp, config })
    } else {
        Err(Error::WrongDigest {
            stated: Box::new(stamp),
        })
    }
}
