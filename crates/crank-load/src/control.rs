//! The control bytes that nodes count, by kind.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::roster::Roster;

const METRIC: &str = "crank_control_bytes_total{";

/// Sent bytes of control by kind and reach, summed over nodes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bytes(pub BTreeMap<Arc<str>, u64>);

impl Bytes {
    /// What has come on top of an earlier reading.
    ///
    /// ```
    /// use crank_load::control::Bytes;
    /// let earlier = Bytes([("probe near".into(), 10)].into());
    /// let later = Bytes([("probe near".into(), 25)].into());
    /// assert_eq!(later.since(&earlier).0["probe near"], 15);
    /// ```
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let before = |kind: &Arc<str>| earlier.0.get(kind).copied().unwrap_or(0);
        let grown = self
            .0
            .iter()
            .map(|(kind, bytes)| (kind.clone(), bytes - before(kind)));
        Self(grown.collect())
    }

    /// The sum over all kinds.
    ///
    /// ```
    /// # use crank_load::control::Bytes;
    /// assert_eq!(Bytes([("probe near".into(), 10), ("delta far".into(), 1)].into()).total(), 11);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// Reads the counters of every node that answers.
///
/// ```
/// # use crank_load::{control, roster::Roster};
/// # async fn example(roster: &Roster) -> u64 {
/// control::read(roster).await.total()
/// # }
/// ```
pub async fn read(roster: &Roster) -> Bytes {
    let client = reqwest::Client::new();
    let mut sum = Bytes::default();
    for post in &roster.posts {
        let Ok(answer) = client
            .get(format!("{}/metrics", post.operators))
            .send()
            .await
        else {
            continue;
        };
        let text = answer.text().await.unwrap_or_default();
        for (kind, bytes) in text.lines().filter_map(sent) {
            *sum.0.entry(kind).or_default() += bytes;
        }
    }
    sum
}

fn sent(line: &str) -> Option<(Arc<str>, u64)> {
    let (labels, value) = line.strip_prefix(METRIC)?.split_once("} ")?;
    let label = |name: &str| {
        labels
            .split(',')
            .find_map(|label| label.strip_prefix(name)?.strip_prefix('='))
    };
    if label("direction")? != "\"sent\"" {
        return None;
    }
    let kind = label("kind")?.trim_matches('"');
    let reach = label("reach")?.trim_matches('"');
    Some((format!("{kind} {reach}").into(), value.parse().ok()?))
}
