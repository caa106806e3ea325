//! Asking the nodes.

use std::collections::BTreeSet;
use std::sync::Arc;

use crank_engine::burn;
use crank_operator::{Client, Error};
use crank_protocol::status::{MeshStatus, NodeReport};
use futures::StreamExt;

use crate::{Report, UnreachedNode};

const ASKED_AT_ONCE: usize = 32;

/// Asks these nodes for their counts, and every node that the first to answer knows of.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let report = crank_report::ask(&["127.0.0.1:1".into()]).await;
/// assert_eq!((report.heard.len(), report.unreached.len()), (0, 1));
/// # });
/// ```
pub async fn ask(addresses: &[Arc<str>]) -> Report {
    let mesh = who_there_is(addresses).await;
    let mut all: BTreeSet<Arc<str>> = addresses.iter().cloned().collect();
    all.extend(mesh.iter().flat_map(addresses_of));
    let answers: Vec<Result<burn::BurnReport, UnreachedNode>> = futures::stream::iter(all)
        .map(ask_one)
        .buffered(ASKED_AT_ONCE)
        .collect()
        .await;
    let mut reports = Vec::new();
    let mut unreached = Vec::new();
    for answer in answers {
        match answer {
            Ok(report) => reports.push(report),
            Err(problem) => unreached.push(problem),
        }
    }
    Report::new(&reports, unreached, mesh.as_ref())
}

async fn who_there_is(addresses: &[Arc<str>]) -> Option<MeshStatus> {
    for address in addresses {
        if let Ok(mesh) = status(address).await {
            return Some(mesh);
        }
    }
    None
}

async fn status(address: &str) -> Result<MeshStatus, Error> {
    Client::new(address)?.status().await
}

fn addresses_of(mesh: &MeshStatus) -> Vec<Arc<str>> {
    let address = |answer: &NodeReport| match answer {
        NodeReport::Node(node) => node.operators.map(|address| address.to_string().into()),
        NodeReport::Silent(_) => None,
    };
    mesh.nodes.iter().filter_map(address).collect()
}

async fn ask_one(address: Arc<str>) -> Result<burn::BurnReport, UnreachedNode> {
    let answer = async { Client::new(&address)?.burn().await }.await;
    answer.map_err(|error: Error| UnreachedNode {
        problem: error.to_string().into(),
        address: Arc::clone(&address),
    })
}
