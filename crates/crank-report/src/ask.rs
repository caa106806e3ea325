//! Collects the counts of all nodes.

use std::collections::BTreeSet;
use std::sync::Arc;

use crank_engine::burn;
use crank_operator::{Client, Error};
use crank_protocol::status::{MeshStatus, NodeReport};
use futures::StreamExt;

use crate::{Report, UnreachedNode};

const MAX_CONCURRENT_QUERIES: usize = 32;

/// Queries these nodes for their counts, and every node in the mesh status of the first to answer.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let report = crank_report::ask(&["127.0.0.1:1".into()]).await;
/// assert_eq!((report.heard.len(), report.unreached.len()), (0, 1));
/// # });
/// ```
pub async fn ask(addresses: &[Arc<str>]) -> Report {
    let mesh = first_mesh_status(addresses).await;
    let mut all: BTreeSet<Arc<str>> = addresses.iter().cloned().collect();
    all.extend(mesh.iter().flat_map(operator_addresses));
    let answers: Vec<Result<burn::BurnReport, UnreachedNode>> = futures::stream::iter(all)
        .map(fetch_counts)
        .buffered(MAX_CONCURRENT_QUERIES)
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

async fn first_mesh_status(addresses: &[Arc<str>]) -> Option<MeshStatus> {
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

fn operator_addresses(mesh: &MeshStatus) -> Vec<Arc<str>> {
    let address = |answer: &NodeReport| match answer {
        NodeReport::Node(node) => node.operators.map(|address| address.to_string().into()),
        NodeReport::Silent(_) => None,
    };
    mesh.nodes.iter().filter_map(address).collect()
}

async fn fetch_counts(address: Arc<str>) -> Result<burn::BurnReport, UnreachedNode> {
    let answer = async { Client::new(&address)?.burn().await }.await;
    answer.map_err(|error: Error| UnreachedNode {
        problem: error.to_string().into(),
        address: Arc::clone(&address),
    })
}
