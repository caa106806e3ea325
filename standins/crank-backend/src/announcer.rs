//! Announces the stand-in to its node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_protocol::Name;
use crank_protocol::member::Stage;
use serde::Serialize;
use tokio::time::timeout;

use crate::state::State;

const POST_LIMIT: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Report<'a> {
    service: &'a Name,
    stage: Stage,
    slots: u32,
    address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    start: Option<Start>,
}

/// What is known of the process.
#[derive(Serialize)]
struct Start {
    release: Arc<str>,
}

/// Announces at once, at each change, and as a heartbeat.
pub(crate) async fn run(state: State, address: SocketAddr) {
    let client = reqwest::Client::new();
    let every = Duration::from_millis(state.options.announce_ms);
    loop {
        post(&state, &client, address).await;
        let _ = timeout(every, state.news.notified()).await;
    }
}

/// Announces once.
pub(crate) async fn post(state: &State, client: &reqwest::Client, address: SocketAddr) {
    let control = state.control.lock().clone();
    let (is_silent, is_lying) = (control.silent == Some(true), control.lie == Some(true));
    let Some(node) = state.options.node.filter(|_| !is_silent) else {
        return;
    };
    let report = Report {
        service: &state.options.service,
        stage: if is_lying {
            Stage::Ready
        } else {
            state.stage()
        },
        slots: state.options.slots,
        address,
        start: control.release.map(|release| Start { release }),
    };
    let request = client.post(format!("http://{node}/announce"));
    let sent = request.json(&report).timeout(POST_LIMIT).send().await;
    if let Err(error) = sent {
        log::debug!(error:% = error; "node not reached");
    }
}
