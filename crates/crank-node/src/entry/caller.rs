//! The client account of a request: reads its key, and checks it again before each attempt.

use std::sync::Arc;

use crank_engine::account::{KeyDigest, KnownAccount};
use crank_engine::route::{ResolvedRoute, RoutingTable};
use crank_protocol::HttpDialect;
use crank_protocol::Name;
use crank_protocol::call::{KeyTag, Refusal, Request};
use crank_protocol::config::{Importance, Version};

/// Who sent a request, as its key tells.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    /// The account that the request counts for, with the digest of its key.
    account: Option<(Arc<KnownAccount>, KeyDigest)>,
    /// Whether the configuration has client accounts.
    pub(super) has_accounts: bool,
    /// The version of the configuration that knew the key.
    version: Version,
}

/// A request that was refused before it was sent to a target.
#[derive(Debug)]
pub(super) struct Rejected {
    pub(super) refusal: Refusal,
    /// The account that the request counts for, if it is known.
    pub(super) account: Option<Name>,
}

impl From<Refusal> for Rejected {
    fn from(refusal: Refusal) -> Self {
        let account = None;
        Self { refusal, account }
    }
}

impl Caller {
    /// Names the account in a refusal.
    pub(super) fn rejected(&self, refusal: Refusal) -> Rejected {
        let account = self.name().cloned();
        Rejected { refusal, account }
    }

    /// Finds the account whose key came with a request.
    ///
    /// A key that is not known counts as none on a public route.
    pub(super) fn identify(
        request: &Request,
        rule: &ResolvedRoute,
        table: &RoutingTable,
        dialect: &HttpDialect,
    ) -> Result<Self, Refusal> {
        let has_accounts = table.accounts().requires_keys();
        let digest = has_accounts.then(|| key_digest(request, dialect)).flatten();
        let account = digest.and_then(|digest| {
            let account = table.accounts().find(&digest)?;
            Some((account.clone(), digest))
        });
        if has_accounts && account.is_none() && !rule.route.public {
            return Err(Refusal::Unauthorized);
        }
        Ok(Self {
            account,
            has_accounts,
            version: table.version(),
        })
    }

    /// Checks the key against a later configuration.
    pub(super) fn check(&self, rule: &ResolvedRoute, table: &RoutingTable) -> Result<(), Refusal> {
        let Some((_, digest)) = &self.account else {
            return Ok(());
        };
        let is_known = table.version() == self.version
            || rule.route.public
            || !table.accounts().requires_keys()
            || table.accounts().find(digest).is_some();
        is_known.then_some(()).ok_or(Refusal::Unauthorized)
    }

    /// Returns the tag of the key without which the request may not run.
    pub(super) fn key_tag(&self, rule: &ResolvedRoute) -> Option<KeyTag> {
        let (_, digest) = self.account.as_ref()?;
        (!rule.route.public).then(|| digest.tag())
    }

    pub(super) fn account(&self) -> Option<&KnownAccount> {
        self.account.as_ref().map(|(account, _)| &**account)
    }

    pub(super) fn name(&self) -> Option<&Name> {
        self.account().map(|account| &account.name)
    }

    /// Returns the importance of the request: the account's, or else the route's.
    pub(super) fn importance(&self, rule: &ResolvedRoute) -> Importance {
        let importance = self.account().and_then(|account| account.importance);
        importance.unwrap_or_else(|| rule.importance())
    }
}

/// Returns the digest of the only key of a request.
fn key_digest(request: &Request, dialect: &HttpDialect) -> Option<KeyDigest> {
    let is_key = |name: &str| name.eq_ignore_ascii_case(&dialect.key_header);
    let mut values = request.headers.iter().filter(|header| is_key(&header.name));
    let header = values.next()?;
    if values.next().is_some() {
        return None;
    }
    let text = header.value.trim_ascii();
    let key = match dialect.key_scheme.as_deref() {
        Some(scheme) => without_scheme(text, scheme.as_bytes())?,
        None => text,
    };
    (!key.is_empty()).then(|| KeyDigest::of(key))
}

/// Returns what follows the authentication scheme, whose letter case does not matter.
fn without_scheme<'a>(text: &'a [u8], scheme: &[u8]) -> Option<&'a [u8]> {
    let (start, rest) = text.split_at_checked(scheme.len())?;
    let is_separated = rest.first().is_some_and(u8::is_ascii_whitespace);
    (start.eq_ignore_ascii_case(scheme) && is_separated).then(|| rest.trim_ascii_start())
}
