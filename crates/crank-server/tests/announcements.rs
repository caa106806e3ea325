//! The listener for heartbeats tracks the state of the backend server beside a node.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use crank_protocol::member::Stage;
use crank_server::{Announcement, AnnouncementListener, Error};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(20);

async fn post(announcements: &AnnouncementListener, report: &serde_json::Value) -> u16 {
    let url = format!("http://{}/announce", announcements.address());
    let request = reqwest::Client::new().post(url).json(report);
    request.send().await.unwrap().status().as_u16()
}

async fn wait_until_gone(watch: &mut watch::Receiver<Option<Announcement>>) {
    let is_gone = |announced: &Option<Announcement>| {
        let stage = announced
            .as_ref()
            .map(|announcement| announcement.endpoint.stage);
        stage == Some(Stage::Gone)
    };
    timeout(TIMEOUT, watch.wait_for(is_gone))
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn a_backend_server_without_heartbeats_or_that_refuses_connections_is_gone() {
    let announcements = AnnouncementListener::new(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    let mut watch = announcements.watch();
    assert!(watch.borrow().is_none());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let report = json!({"service": "recipes", "stage": "ready", "slots": 6, "address": address});
    assert_eq!(post(&announcements, &report).await, 204);
    let announced = watch.borrow_and_update().clone().unwrap();
    assert_eq!(
        (announced.address, announced.endpoint.stage),
        (address, Stage::Ready)
    );
    wait_until_gone(&mut watch).await;
    drop(listener);
    assert_eq!(post(&announcements, &report).await, 204);
    wait_until_gone(&mut watch).await;
}

#[tokio::test]
async fn only_valid_announcements_with_a_loopback_address_are_accepted() {
    let announcements = AnnouncementListener::new(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    let remote = json!({"service": "a", "stage": "ready", "slots": 6, "address": "192.0.2.1:80"});
    let unknown_stage =
        json!({"service": "a", "stage": "idle", "slots": 6, "address": "127.0.0.1:80"});
    for bad in [remote, unknown_stage, json!([])] {
        assert_eq!(post(&announcements, &bad).await, 400);
    }
    assert!(announcements.watch().borrow().is_none());
    let error = AnnouncementListener::new(([192, 0, 2, 1], 0).into())
        .await
        .err();
    assert!(matches!(error, Some(Error::NotLoopback { .. })));
}

// Guards against a listener that asks every report for its length.
#[tokio::test]
async fn an_announcement_in_chunks_is_accepted_up_to_the_longest() {
    const MAX_REPORT_BYTES: usize = 4_096;
    let announcements = AnnouncementListener::new(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let report = json!({"service": "recipes", "stage": "ready", "slots": 6, "address": address});
    let report = report.to_string();
    for (length, status) in [
        (report.len(), 204),
        (MAX_REPORT_BYTES, 204),
        (MAX_REPORT_BYTES + 1, 404),
    ] {
        let body = format!("{report:length$}");
        let chunks: Vec<_> = body.as_bytes().chunks(50).map(<[u8]>::to_vec).collect();
        let chunks = futures::stream::iter(chunks.into_iter().map(Ok::<_, std::io::Error>));
        let request = reqwest::Client::new()
            .post(format!("http://{}/announce", announcements.address()))
            .body(reqwest::Body::wrap_stream(chunks));
        let answered = request.send().await.unwrap();
        assert_eq!(answered.status().as_u16(), status, "{length} bytes");
    }
}
