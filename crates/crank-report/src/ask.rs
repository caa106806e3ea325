//! Asking the nodes.

use std::sync::Arc;

use crank_engine::burn;
use crank_operator::{Client, Error};
use futures::StreamExt;

use crate::{Report, Unreached};

const ASKED_AT_ONCE: usize = 32;

/// Asks every node for its counts, and the first that answers for who there is.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let report = crank_report::ask(&["127.0.0.1:1".into()]).await;
/// assert_eq!((report.heard.len(), report.unreached.len()), (0, 1));
/// # });
/// ```
pub async fn ask(addresses: &[Arc<str>]) -> Report {
    let answers: Vec<(Arc<str>, Result<burn::Report, Error>)> =
        futures::stream::iter(addresses.iter().cloned())
            .map(async |address| {
                let answer = ask_one(&address).await;
                (address, answer)
            })
            .buffered(ASKED_AT_ONCE)
            .collect()
            .await;
    let mut reports = Vec::new();
    let mut unreached = Vec::new();
    let mut mesh = None;
    for (address, answer) in answers {
        match answer {
            Ok(report) => {
                if mesh.is_none() {
                    mesh = status(&address).await;
                }
                reports.push(report);
            }
            Err(error) => unreached.push(Unreached {
                address,
                problem: error.to_string().into(),
            }),
        }
    }
    Report::new(&reports, unreached, mesh.as_ref())
}

async fn ask_one(address: &str) -> Result<burn::Report, Error> {
    Client::new(address)?.burn().await
}

async fn status(address: &str) -> Option<crank_protocol::status::Mesh> {
    Client::new(address).ok()?.status().await.ok()
}
