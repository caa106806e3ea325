//! The rate limits of one configuration, by account.

use std::collections::{BTreeMap, HashMap};

use crank_protocol::Name;
use crank_protocol::config::{ClientAccount, RateLimit, Version};
use crank_protocol::quota::AccountHash;

use super::account_hash;

/// The rate limits of one configuration, by account.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LimitTable {
    version: Version,
    limits: HashMap<AccountHash, RateLimit>,
}

impl LimitTable {
    /// Builds the table of a configuration's client accounts.
    ///
    /// ```
    /// use crank_engine::quota::LimitTable;
    /// use crank_protocol::config::Version;
    /// assert!(LimitTable::new(Version(1), &Default::default()).is_empty());
    /// ```
    #[must_use]
    pub fn new(version: Version, clients: &BTreeMap<Name, ClientAccount>) -> Self {
        let limits = clients.iter().filter_map(|(name, client)| {
            let limit = client.rate?;
            Some((account_hash(name), limit))
        });
        Self {
            version,
            limits: limits.collect(),
        }
    }

    /// Returns whether no account has a limit.
    ///
    /// ```
    /// assert!(crank_engine::quota::LimitTable::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the version of the configuration.
    ///
    /// ```
    /// # use crank_engine::quota::LimitTable;
    /// # use crank_protocol::config::Version;
    /// assert_eq!(LimitTable::default().version(), Version(0));
    /// ```
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limit of an account, if it has one.
    ///
    /// ```
    /// # use crank_engine::quota::LimitTable;
    /// # use crank_protocol::quota::AccountHash;
    /// assert_eq!(LimitTable::default().get(AccountHash(1)), None);
    /// ```
    #[must_use]
    pub fn get(&self, account: AccountHash) -> Option<RateLimit> {
        self.limits.get(&account).copied()
    }

    /// Returns all accounts with their limits, in no particular order.
    ///
    /// ```
    /// assert_eq!(crank_engine::quota::LimitTable::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (AccountHash, RateLimit)> + '_ {
        self.limits
            .iter()
            .map(|(account, limit)| (*account, *limit))
    }
}
