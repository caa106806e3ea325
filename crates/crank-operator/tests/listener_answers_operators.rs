//! Tests the listener and its client with an `Admin` that returns fixed data.

#![allow(clippy::unwrap_used)]

use crank_engine::Moment;
use crank_engine::burn::{BurnCounter, BurnReport};
use crank_operator::{Admin, Client, Error, listener};
use crank_protocol::config::Owner;
use crank_protocol::status::{HistoryEntry, MeshStatus, NodeAccounts};
use crank_protocol::{Millis, Name};
use tokio::net::TcpListener;

#[derive(Clone)]
struct Fixed {
    ready: bool,
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

impl Admin for Fixed {
    async fn status(&self) -> MeshStatus {
        MeshStatus {
            account: name("sutkent"),
            asked: name("n1"),
            head: None,
            store_up: false,
            refused: None,
            nodes: Vec::new(),
            in_force: false,
            highest: None,
            took: Millis(1),
        }
    }

    async fn history(&self, _: u32) -> Result<Vec<HistoryEntry>, crank_platform_client::Error> {
        Err(crank_platform_client::Error::Unavailable {
            detail: "closed".into(),
        })
    }

    fn account(&self) -> Option<Owner> {
        self.ready.then(|| Owner {
            name: name("sutkent"),
            notice_ends: None,
        })
    }

    fn accounts(&self) -> NodeAccounts {
        NodeAccounts {
            node: name("n1"),
            version: None,
            window: Millis(10_000),
            accounts: Vec::new(),
        }
    }

    fn burn(&self) -> BurnReport {
        let mut burn = BurnCounter::new(Moment(0));
        burn.record(&name("recipes"), true, Moment(1));
        burn.report(name("n1"), None, Moment(2))
    }

    fn metrics(&self) -> String {
        "# EOF\n".to_owned()
    }

    fn is_ready(&self) -> bool {
        self.ready
    }
}

async fn start(ready: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let serving = listener::serve(listener, Fixed { ready }, std::future::pending());
    tokio::spawn(serving);
    address
}

async fn status_of(address: &str, path: &str) -> u16 {
    let answer = reqwest::get(format!("http://{address}{path}")).await;
    answer.unwrap().status().as_u16()
}

#[tokio::test]
async fn what_a_node_says_comes_back_typed() {
    let client = Client::new(&start(true).await).unwrap();
    assert_eq!(client.status().await.unwrap().asked, name("n1"));
    assert_eq!(client.accounts().await.unwrap().node, name("n1"));
    assert_eq!(client.burn().await.unwrap().node, name("n1"));
    assert!(!client.notice().await.unwrap().complete);
}

#[tokio::test]
async fn what_it_cannot_answer_is_an_error_with_its_reason() {
    let client = Client::new(&start(false).await).unwrap();
    let history = client.history(5).await.unwrap_err().to_string();
    assert!(
        history.contains("store is not available (closed)"),
        "{history}"
    );
    assert!(matches!(client.notice().await, Err(Error::Refused { .. })));
    let nobody = Client::new("127.0.0.1:1").unwrap();
    assert!(matches!(
        nobody.status().await,
        Err(Error::Unreachable { .. })
    ));
}

#[tokio::test]
async fn readiness_health_and_metrics_have_their_paths() {
    let (ready, not_ready) = (start(true).await, start(false).await);
    assert_eq!(status_of(&ready, "/readyz").await, 200);
    assert_eq!(status_of(&not_ready, "/readyz").await, 503);
    assert_eq!(status_of(&not_ready, "/healthz").await, 200);
    assert_eq!(status_of(&ready, "/metrics").await, 200);
    assert_eq!(status_of(&ready, "/nowhere").await, 404);
}
