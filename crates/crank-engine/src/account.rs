//! Client accounts: finds the account of a request by the key that came with it.
//!
//! A key that a newer configuration lacks must be refused although its caller stays connected, so
//! each request is looked up in the configuration in force, and may be looked up again later.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crank_protocol::Name;
use crank_protocol::call::KeyTag;
use crank_protocol::config::{ClientAccount, Digest, Importance, RateLimit};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;
const INDEX_BYTES: usize = 8;

/// The SHA-256 digest of a key. Its `Debug` output does not show the digest.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key, which is not kept.
    ///
    /// ```
    /// use crank_engine::account::KeyDigest;
    /// assert_eq!(KeyDigest::of(b"a-key"), KeyDigest::of(b"a-key"));
    /// assert_eq!(format!("{:?}", KeyDigest::of(b"a-key")), "KeyDigest");
    /// ```
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the digest in the form of the configuration.
    ///
    /// ```
    /// use crank_engine::account::KeyDigest;
    /// assert_eq!(KeyDigest::of(b"a-key").to_config().as_str().len(), 64);
    /// ```
    #[must_use]
    pub fn to_config(self) -> Digest {
        match Digest::new(&hex::encode(self.0)) {
            Ok(digest) => digest,
            Err(error) => unreachable!("{error}"),
        }
    }

    /// Returns the tag that names the key between nodes.
    ///
    /// ```
    /// use crank_engine::account::KeyDigest;
    /// assert_ne!(KeyDigest::of(b"a-key").tag(), KeyDigest::of(b"another").tag());
    /// ```
    #[must_use]
    pub fn tag(&self) -> KeyTag {
        KeyTag(u64::from_be_bytes(self.index()))
    }

    fn from_config(digest: &Digest) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        let decoded = hex::decode_to_slice(digest.as_str(), &mut bytes);
        debug_assert!(decoded.is_ok(), "a digest is hexadecimal");
        Self(bytes)
    }

    /// Returns the part by which digests are found; the rest is compared in constant time.
    fn index(&self) -> [u8; INDEX_BYTES] {
        let mut index = [0; INDEX_BYTES];
        index.copy_from_slice(&self.0[..INDEX_BYTES]);
        index
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Returns whether a configuration's client accounts still have a key: that of `account`, or of
/// another that has been given it since. Without client accounts no key is needed.
///
/// ```
/// use crank_engine::account::{KeyDigest, has_key};
/// use crank_protocol::{Name, config::ClientAccount};
/// let keys = [KeyDigest::of(b"a-key").to_config()].into();
/// let account = ClientAccount { keys, ..ClientAccount::default() };
/// let name = Name::new("mill-7").unwrap();
/// let clients = [(name.clone(), account)].into();
/// assert!(has_key(&clients, &name, KeyDigest::of(b"a-key").tag()));
/// assert!(!has_key(&clients, &name, KeyDigest::of(b"another").tag()));
/// ```
#[must_use]
pub fn has_key(clients: &BTreeMap<Name, ClientAccount>, account: &Name, tag: KeyTag) -> bool {
    let is_known = |client: &ClientAccount| {
        let mut digests = client.keys.iter().map(KeyDigest::from_config);
        digests.any(|digest| digest.tag() == tag)
    };
    clients.is_empty()
        || clients.get(account).is_some_and(is_known)
        || clients.values().any(is_known)
}

/// A client account without its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownAccount {
    /// The account's name.
    pub name: Name,
    /// The importance of the account's requests, which precedes that of the route.
    pub importance: Option<Importance>,
    /// The rate limit over all nodes together, if there is one.
    pub rate: Option<RateLimit>,
}

/// The client accounts of one configuration by their keys.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AccountTable {
    requires_keys: bool,
    by_index: BTreeMap<[u8; INDEX_BYTES], Vec<(KeyDigest, Arc<KnownAccount>)>>,
}

impl AccountTable {
    /// Builds the table of a configuration's client accounts.
    ///
    /// ```
    /// use crank_engine::account::{AccountTable, KeyDigest};
    /// use crank_protocol::{Name, config::ClientAccount};
    /// let keys = [KeyDigest::of(b"a-key").to_config()].into();
    /// let account = ClientAccount { keys, ..ClientAccount::default() };
    /// let table = AccountTable::new(&[(Name::new("mill-7").unwrap(), account)].into());
    /// assert_eq!(table.find(&KeyDigest::of(b"a-key")).unwrap().name.as_str(), "mill-7");
    /// assert!(table.find(&KeyDigest::of(b"another")).is_none());
    /// ```
    #[must_use]
    pub fn new(clients: &BTreeMap<Name, ClientAccount>) -> Self {
        let mut table = Self {
            requires_keys: !clients.is_empty(),
            by_index: BTreeMap::new(),
        };
        for (name, client) in clients {
            let account = Arc::new(KnownAccount {
                name: name.clone(),
                importance: client.importance,
                rate: client.rate,
            });
            for digest in &client.keys {
                let digest = KeyDigest::from_config(digest);
                let found = table.by_index.entry(digest.index()).or_default();
                found.push((digest, account.clone()));
            }
        }
        table
    }

    /// Returns whether requests on routes that are not public need a key: whether the
    /// configuration has client accounts.
    ///
    /// ```
    /// use crank_engine::account::AccountTable;
    /// assert!(!AccountTable::default().requires_keys());
    /// ```
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the account that holds a key, if there is one.
    ///
    /// ```
    /// use crank_engine::account::{AccountTable, KeyDigest};
    /// assert!(AccountTable::default().find(&KeyDigest::of(b"a-key")).is_none());
    /// ```
    #[must_use]
    pub fn find(&self, digest: &KeyDigest) -> Option<&Arc<KnownAccount>> {
        let candidates = self.by_index.get(&digest.index())?;
        let mut candidates = candidates.iter();
        let found = candidates.find(|(candidate, _)| candidate == digest);
        found.map(|(_, account)| account)
    }
}
