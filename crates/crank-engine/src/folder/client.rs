//! The `[client NAME]` sections: keys, importance and rate limit of a client account.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::Name;
use crank_protocol::config::{ClientAccount, Digest, RateLimit};

use super::Problem;
use super::service::importance;
use crate::account::KeyDigest;
use crate::ini::{self, Document, Fault, Section, SectionReader, value};

const KEYS: &str = "keys";
const DIGESTS: &str = "key_digests";
const RATE: &str = "rate";
const BURST: &str = "burst";
/// Shorter keys can be guessed.
const MIN_KEY_BYTES: usize = 16;
const MAX_KEY_BYTES: usize = 256;
const MAX_RATE_PER_SECOND: u32 = 10_000_000;
const MAX_BURST: u32 = 100_000_000;

pub(super) fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<ClientAccount> {
    let mut reader = SectionReader::new(section);
    let keys = reader.optional(KEYS, |text| words(text, key));
    let digests = reader.optional(DIGESTS, |text| words(text, digest));
    let importance = reader.optional("importance", importance);
    let rate = rate(section, &mut reader);
    let is_present = |key| section.entries.contains_key(key);
    if !is_present(KEYS) && !is_present(DIGESTS) {
        reader.report(KEYS, Problem::NoKeys.into());
    }
    let found = reader.finish();
    let is_valid = found.is_empty();
    faults.extend(found);
    let keys = [keys, digests].into_iter().flatten().flatten().collect();
    is_valid.then_some(ClientAccount {
        keys,
        importance,
        rate,
    })
}

fn rate(section: &Section, reader: &mut SectionReader<'_>) -> Option<RateLimit> {
    let per_second = reader.optional(RATE, |text| value::count(text, 1, MAX_RATE_PER_SECOND));
    let burst = reader.optional(BURST, |text| value::count(text, 1, MAX_BURST));
    let is_present = |key| section.entries.contains_key(key);
    let incomplete = match (is_present(RATE), is_present(BURST)) {
        (true, false) => Some((RATE, BURST)),
        (false, true) => Some((BURST, RATE)),
        _ => None,
    };
    if let Some((present, missing)) = incomplete {
        let problem = Problem::IncompleteRate { present, missing };
        reader.report(present, problem.into());
    }
    Some(RateLimit {
        per_second: per_second?,
        burst: burst?,
    })
}

fn words(
    text: &str,
    read: impl Fn(&str) -> Option<Digest>,
) -> Result<BTreeSet<Digest>, ini::Problem> {
    let digests: Option<BTreeSet<Digest>> = text.split_ascii_whitespace().map(read).collect();
    let digests = digests.filter(|digests| !digests.is_empty());
    digests.ok_or_else(|| Problem::InvalidKey.into())
}

fn key(word: &str) -> Option<Digest> {
    let is_valid = (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&word.len())
        && word.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid.then(|| KeyDigest::of(word.as_bytes()).to_config())
}

fn digest(word: &str) -> Option<Digest> {
    Digest::new(word).ok()
}

/// Reports each account that has a key of another one, at its line.
pub(super) fn check_shared_keys(
    clients: &BTreeMap<Name, ClientAccount>,
    document: &Document,
    faults: &mut Vec<Fault>,
) {
    let mut owners: BTreeMap<&Digest, &Name> = BTreeMap::new();
    for (name, client) in clients {
        let shared = client.keys.iter();
        let others: BTreeSet<_> = shared.filter_map(|key| owners.insert(key, name)).collect();
        let heading = format!("client {name}");
        let Some(section) = document.sections.get(heading.as_str()) else {
            continue;
        };
        let is_plain = section.entries.contains_key(KEYS);
        let key = if is_plain { KEYS } else { DIGESTS };
        for other in others {
            let other = other.clone().into();
            faults.push(section.key_fault(key, Problem::SharedKey { other }.into()));
        }
    }
}
