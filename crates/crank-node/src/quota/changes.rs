//! What a new configuration changes in the client accounts.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::Name;
use crank_protocol::config::{ClientAccount, Digest, Version};

/// The most accounts that get a log line of their own when a configuration changes them.
const MAX_CHANGE_LINES: usize = 20;
/// The most keys that are remembered after they were taken back.
const MAX_TAKEN_BACK: usize = 1_000;

/// The keys that were taken back while the process ran, by their digests.
#[derive(Default)]
pub(super) struct TakenBack(BTreeMap<Name, BTreeSet<Digest>>);

impl TakenBack {
    /// Returns the keys that were taken back, by account.
    pub(super) fn keys(&self) -> &BTreeMap<Name, BTreeSet<Digest>> {
        &self.0
    }

    /// Adds the keys that a newer configuration lacks, and drops those that are valid again.
    pub(super) fn update(
        &mut self,
        before: &BTreeMap<Name, ClientAccount>,
        after: &BTreeMap<Name, ClientAccount>,
    ) {
        let mut room = MAX_TAKEN_BACK.saturating_sub(self.0.values().map(BTreeSet::len).sum());
        for (name, client) in before {
            let kept = after.get(name).map(|client| &client.keys);
            let is_kept = |key: &&Digest| kept.is_some_and(|kept| kept.contains(*key));
            let removed = client.keys.iter().filter(|key| !is_kept(key));
            let removed: Vec<Digest> = removed.take(room).cloned().collect();
            room -= removed.len();
            if !removed.is_empty() {
                self.0.entry(name.clone()).or_default().extend(removed);
            }
        }
        for (name, client) in after {
            if let Some(keys) = self.0.get_mut(name) {
                keys.retain(|key| !client.keys.contains(key));
            }
        }
        self.0.retain(|_, keys| !keys.is_empty());
    }
}

/// Logs which accounts a configuration changes, by the number of their keys and their limits.
pub(super) fn log_changes(
    old: &BTreeMap<Name, ClientAccount>,
    new: &BTreeMap<Name, ClientAccount>,
    version: Version,
) {
    let keys: usize = new.values().map(|client| client.keys.len()).sum();
    let limited = new.values().filter(|client| client.rate.is_some()).count();
    log::info!(
        version = version.0,
        accounts = new.len(),
        keys = keys,
        limited = limited;
        "client accounts in force"
    );
    if old.is_empty() {
        return;
    }
    let names: BTreeSet<&Name> = old.keys().chain(new.keys()).collect();
    let changed = names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name));
    for name in changed.take(MAX_CHANGE_LINES) {
        let (before, after) = (old.get(name), new.get(name));
        let keys = |client: Option<&ClientAccount>| client.map_or(0, |client| client.keys.len());
        let rate = |client: Option<&ClientAccount>| client.and_then(|client| client.rate);
        let kept = before.zip(after).map_or(0, |(before, after)| {
            before.keys.intersection(&after.keys).count()
        });
        log::info!(
            version = version.0,
            account:% = name,
            keys = keys(after),
            keys_added = keys(after) - kept,
            keys_removed = keys(before) - kept,
            rate:? = rate(after),
            rate_before:? = rate(before);
            "client account changed"
        );
    }
}
