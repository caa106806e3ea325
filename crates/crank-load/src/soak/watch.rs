//! Polls every node for the version of its configuration in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::converge;

const PERIOD: Duration = Duration::from_millis(100);
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// The process id and operator URL by which a node is polled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Seen {
    pub(super) process: u32,
    pub(super) operators: Arc<str>,
}

/// The versions that nodes reported, and the processes whose version went backwards.
#[derive(Debug, Clone, Default)]
pub(super) struct Watch {
    pub(super) nodes: Arc<Mutex<BTreeMap<usize, Seen>>>,
    went_back: Arc<Mutex<Vec<String>>>,
    held: Arc<Mutex<BTreeMap<u32, u64>>>,
}

impl Watch {
    /// Polls all nodes until the future is dropped.
    pub(super) async fn run(self, client: reqwest::Client) {
        loop {
            let nodes: Vec<(usize, Seen)> = {
                let nodes = self.nodes.lock();
                nodes.iter().map(|(at, seen)| (*at, seen.clone())).collect()
            };
            for (node, seen) in nodes {
                let version = converge::version(&client, &seen.operators);
                if let Ok(version @ 1..) = tokio::time::timeout(ANSWER_LIMIT, version).await {
                    self.note(node, seen.process, version);
                }
            }
            tokio::time::sleep(PERIOD).await;
        }
    }

    fn note(&self, node: usize, process: u32, version: u64) {
        let mut held = self.held.lock();
        let before = held.entry(process).or_default();
        if version < *before {
            let line = format!("node {node} (process {process}) went from {before} to {version}");
            self.went_back.lock().push(line);
        }
        *before = version;
    }

    pub(super) fn went_back(&self) -> Vec<String> {
        self.went_back.lock().clone()
    }

    /// Returns the highest version that any node has last reported.
    pub(super) fn highest(&self) -> u64 {
        self.held.lock().values().copied().max().unwrap_or(0)
    }
}
