//! The messages between nodes that keep the rate limits of client accounts over all nodes.
//!
//! They travel as payloads of [`crate::wire::PeerMessage`], so any of them may be lost, repeated or
//! reordered. Counters are cumulative and shares expire.

use serde::{Deserialize, Serialize};

use crate::config::Version;

/// A client account, named by a hash that is the same on every node.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AccountHash(pub u64);

/// A part of the client accounts that has a home node of its own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Shard(pub u8);

/// The number of a report; each report of a process to a home has a higher one than those before.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReportNumber(pub u64);

/// A message about rate limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// From an entry to the home of a shard.
    Report(Report),
    /// From the home of a shard to an entry.
    Grants(Grants),
}

/// What an entry has admitted and refused of a shard's accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The shard.
    pub shard: Shard,
    /// The number of this report.
    pub number: ReportNumber,
    /// Identifies the process that reports.
    pub start: u64,
    /// Whether the entry reports to another home from now on.
    #[serde(rename = "last")]
    pub is_last: bool,
    /// The accounts whose counters have changed since the last report that the home answered.
    pub usage: Vec<Usage>,
}

/// The counters of one account at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedUsage", into = "EncodedUsage")]
pub struct Usage {
    /// The account.
    pub account: AccountHash,
    /// Identifies the counters: they started at zero before the report of this number.
    pub since: ReportNumber,
    /// How many requests have arrived, without those that did not reach a backend server.
    pub wanted: u64,
    /// How many of them were admitted, without those that did not reach a backend server.
    pub admitted: u64,
}

type EncodedUsage = (AccountHash, ReportNumber, u64, u64);

impl From<EncodedUsage> for Usage {
    fn from((account, since, wanted, admitted): EncodedUsage) -> Self {
        Self {
            account,
            since,
            wanted,
            admitted,
        }
    }
}

impl From<Usage> for EncodedUsage {
    fn from(usage: Usage) -> Self {
        (usage.account, usage.since, usage.wanted, usage.admitted)
    }
}

/// What an entry may admit of a shard's accounts, for a bounded time after its report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// The shard.
    pub shard: Shard,
    /// The last report of the entry that the home has taken into account.
    pub number: ReportNumber,
    /// The process that sent that report.
    pub start: u64,
    /// The version of the configuration whose limits the home keeps.
    pub version: Version,
    /// The shares of accounts that are at their limit. Unless `is_cut`, the other accounts of the
    /// shard are not limited for now.
    pub shares: Vec<Share>,
    /// Whether there was no room for all shares: an account that is not named may be at its limit.
    #[serde(rename = "cut", default, skip_serializing_if = "is_false")]
    pub is_cut: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// An entry's share of an account's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedShare", into = "EncodedShare")]
pub struct Share {
    /// The account.
    pub account: AccountHash,
    /// The rate, in thousandths of a request a second.
    pub millis_per_second: u64,
    /// The part of the requests that may be admitted anywhere, in ten-thousandths; it holds in
    /// place of a rate that is too small to wait for.
    pub chance: u16,
}

type EncodedShare = (AccountHash, u64, u16);

impl From<EncodedShare> for Share {
    fn from((account, millis_per_second, chance): EncodedShare) -> Self {
        Self {
            account,
            millis_per_second,
            chance,
        }
    }
}

impl From<Share> for EncodedShare {
    fn from(share: Share) -> Self {
        (share.account, share.millis_per_second, share.chance)
    }
}
