//! What operators see of the client accounts on this node.

use std::collections::BTreeSet;

use crank_engine::quota::{RECENT_WINDOW, account_hash};
use crank_protocol::Name;
use crank_protocol::config::Digest;
use crank_protocol::status::{AccountStatus, NodeAccounts};

use super::RateLimiter;

impl RateLimiter {
    /// Returns what this node knows of the client accounts.
    ///
    /// ```
    /// # use crank_node::{clock::Clock, quota::RateLimiter};
    /// # let _runtime = tokio::runtime::Runtime::new().unwrap();
    /// let node = crank_protocol::Name::new("node-1").unwrap();
    /// assert!(RateLimiter::new(Clock::new()).status(node).accounts.is_empty());
    /// ```
    #[must_use]
    pub fn status(&self, node: Name) -> NodeAccounts {
        let now = self.clock.now();
        let state = self.state.lock();
        let taken_back = state.taken_back.keys();
        let names: BTreeSet<&Name> = state.clients.keys().chain(taken_back.keys()).collect();
        let accounts = names.into_iter().map(|name| {
            let client = state.clients.get(name);
            let home = state.limiter.home(account_hash(name));
            let recent = state.recent.get(name);
            let has_room = state.counts.len() < super::MAX_COUNTED_ACCOUNTS;
            AccountStatus {
                account: name.clone(),
                keys: count(client.map(|client| &client.keys)),
                keys_taken_back: count(taken_back.get(name)),
                limit: client.and_then(|client| client.rate),
                home: home.cloned(),
                recent: match recent {
                    Some(recent) => Some(recent.requests(now)),
                    None => has_room.then(Default::default),
                },
            }
        });
        NodeAccounts {
            node,
            version: state.version,
            window: RECENT_WINDOW,
            accounts: accounts.collect(),
        }
    }
}

fn count(keys: Option<&BTreeSet<Digest>>) -> u32 {
    let keys = keys.map_or(0, BTreeSet::len);
    u32::try_from(keys).unwrap_or(u32::MAX)
}
