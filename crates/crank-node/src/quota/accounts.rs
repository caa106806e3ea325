//! The metrics of client accounts.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;

use super::{AccountCounts, RateLimiter};

/// The label of all accounts that are not counted by name.
const OTHER_ACCOUNTS: &str = "other";

/// Encodes the counts of client accounts.
pub(crate) struct AccountCollector(pub(crate) RateLimiter);

impl fmt::Debug for AccountCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("AccountCollector").finish_non_exhaustive()
    }
}

impl Collector for AccountCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let (counts, others) = self.0.counts();
        if counts.is_empty() {
            return Ok(());
        }
        let help = "Requests of client accounts that were let in, or over their rate limit";
        let mut family =
            encoder.encode_descriptor("account_requests", help, None, MetricType::Counter)?;
        let mut encode = |account: &str, counts: AccountCounts| {
            for (result, count) in [
                ("admitted", counts.admitted),
                ("over_rate", counts.over_rate),
            ] {
                let labels = [("account", account), ("result", result)];
                ConstCounter::new(count).encode(family.encode_family(&labels)?)?;
            }
            Ok(())
        };
        for (account, counts) in &counts {
            encode(account.as_str(), *counts)?;
        }
        encode(OTHER_ACCOUNTS, others)
    }
}
