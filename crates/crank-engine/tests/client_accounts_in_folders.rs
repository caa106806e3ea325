//! Client accounts in the operators' folder: what they become, and the faults that name their line.

#![allow(clippy::unwrap_used)]

use crank_engine::account::{AccountTable, KeyDigest};
use crank_engine::folder::{File, merge};
use crank_protocol::Name;
use crank_protocol::config::{Config, Importance, RateLimit};
use crank_protocol::status::Fault;

const OWNER: &str = "[account]\nname = sutkent\n[service recipes]\nslots = 6\n";
const KEY: &str = "tta828m82thhkmgjqnir";
const OTHER_KEY: &str = "th5mgjy5rcpihhacrudd";

fn merge_with(clients: &str) -> Result<Config, Vec<Fault>> {
    let file = |name: &str, content: &str| File {
        name: name.into(),
        content: content.into(),
    };
    let merged = merge(&[file("10.ini", OWNER), file("20.ini", clients)]);
    merged.map(|merged| merged.config)
}

/// Returns the only fault, as `file:line: section: key: problem`.
fn only_fault(clients: &str) -> String {
    let faults = merge_with(clients).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults[0].to_string()
}

#[test]
fn an_account_has_keys_importance_and_a_rate_limit() {
    let digest = KeyDigest::of(OTHER_KEY.as_bytes()).to_config();
    let text = format!(
        "[client mill-7]\nkeys = {KEY}\nkey_digests = {digest}\nimportance = high\nrate = 30\n\
         burst = 60\n[route r]\npath = /r\nmethods = GET\nservice = recipes\npublic = yes\n"
    );
    let config = merge_with(&text).unwrap();
    let client = &config.clients[&Name::new("mill-7").unwrap()];
    assert_eq!(client.keys.len(), 2);
    assert_eq!(client.importance, Some(Importance::High));
    let limit = RateLimit {
        per_second: 30,
        burst: 60,
    };
    assert_eq!(client.rate, Some(limit));
    assert!(config.routes[&Name::new("r").unwrap()].public);
    let table = AccountTable::new(&config.clients);
    for key in [KEY, OTHER_KEY] {
        let found = table.find(&KeyDigest::of(key.as_bytes())).unwrap();
        assert_eq!(found.name.as_str(), "mill-7");
    }
    assert!(
        table
            .find(&KeyDigest::of(b"another-key-altogether"))
            .is_none()
    );
}

#[test]
fn a_route_is_not_public_unless_it_says_so() {
    let text = "[route r]\npath = /r\nmethods = GET\nservice = recipes\n";
    let config = merge_with(text).unwrap();
    assert!(!config.routes[&Name::new("r").unwrap()].public);
}

#[test]
fn an_account_without_keys_is_a_fault_at_its_line() {
    let fault = only_fault("\n[client mill-7]\nimportance = low\n");
    assert!(
        fault.starts_with("20.ini:2: client mill-7 keys: the account has no key"),
        "{fault}"
    );
}

#[test]
fn a_rate_without_a_burst_is_a_fault_at_its_line() {
    let fault = only_fault(&format!("[client mill-7]\nkeys = {KEY}\nrate = 30\n"));
    assert!(
        fault.starts_with("20.ini:3: client mill-7 rate: 'rate' requires 'burst'"),
        "{fault}"
    );
    let fault = only_fault(&format!("[client mill-7]\nkeys = {KEY}\nburst = 30\n"));
    assert!(
        fault.starts_with("20.ini:3: client mill-7 burst: 'burst' requires 'rate'"),
        "{fault}"
    );
}

#[test]
fn two_accounts_with_one_key_are_a_fault_that_names_both_and_not_the_key() {
    let text = format!("[client a]\nkeys = {KEY}\n[client b]\nkeys = {OTHER_KEY} {KEY}\n");
    let fault = only_fault(&text);
    assert!(
        fault.starts_with("20.ini:4: client b keys: the account 'a' has one"),
        "{fault}"
    );
    assert!(!fault.contains(KEY), "{fault}");
    let digest = KeyDigest::of(KEY.as_bytes()).to_config();
    let text = format!("[client a]\nkeys = {KEY}\n[client b]\nkey_digests = {digest}\n");
    let fault = only_fault(&text);
    assert!(
        fault.starts_with("20.ini:4: client b key_digests: the account 'a'"),
        "{fault}"
    );
}

#[test]
fn a_key_that_does_not_fit_is_a_fault_that_does_not_show_it() {
    for line in ["keys = short-secret", "key_digests = not-a-digest-secret"] {
        let fault = only_fault(&format!("[client a]\n{line}\n"));
        assert!(fault.starts_with("20.ini:2: client a key"), "{fault}");
        assert!(!fault.contains("secret"), "{fault}");
    }
}
