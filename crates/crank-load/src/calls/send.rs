//! Sending requests and reading their answers.

use std::sync::Arc;
use std::time::Duration;

use crank_protocol::call::{
    IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, REFUSAL_HEADER, REQUEST_ID_HEADER,
};
use reqwest::{Client, Response};
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use super::Plan;
use super::pace::{self, Turn};
use super::tally::{RequestOutcome, Tally};
use crate::Error;

struct Sender {
    plan: Plan,
    client: Client,
    tally: Mutex<Tally>,
}

/// Sends a plan's requests when they are due, and waits for all answers.
///
/// # Errors
/// [`Error::Http`] where the HTTP client cannot be made.
///
/// ```
/// # use crank_load::{Error, calls::{self, Plan}};
/// async fn slowest(plan: Plan) -> Result<u64, Error> {
///     Ok(calls::run(plan).await?.figures().max_us)
/// }
/// ```
pub async fn run(plan: Plan) -> Result<Tally, Error> {
    let client = client(plan.limit)?;
    let mut turns = pace::start(plan.rate, plan.warm_up, plan.time, plan.seed);
    let sender = Arc::new(Sender {
        plan,
        client,
        tally: Mutex::new(Tally::new()?),
    });
    let mut requests = JoinSet::new();
    while let Some(turn) = turns.recv().await {
        requests.spawn(sender.clone().request(turn));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let mut tally = sender.tally.lock().await;
    Ok(std::mem::replace(&mut tally, Tally::new()?))
}

fn client(limit: Duration) -> Result<Client, Error> {
    let client = Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .timeout(limit)
        .build();
    client.map_err(|source| Error::Http {
        what: Arc::from("the HTTP client"),
        source,
    })
}

impl Sender {
    async fn request(self: Arc<Self>, turn: Turn) {
        let (told, refusal) = self.send(turn).await;
        let took = turn.due.elapsed();
        if turn.is_counted {
            self.tally.lock().await.add(turn.id, told, refusal, took);
        }
    }

    async fn send(&self, turn: Turn) -> (RequestOutcome, Option<Arc<str>>) {
        let plan = &self.plan;
        let target = &plan.targets[turn.number % plan.targets.len()];
        let path = &plan.paths[turn.number / plan.targets.len() % plan.paths.len()];
        let id = format!("{:032x}", turn.id);
        let path = format!("{path}?id={id}");
        let url = format!("{target}{path}");
        let (mut request, expected) = if plan.body_bytes == 0 {
            (self.client.get(url), path)
        } else {
            let body = padded(&id, plan.body_bytes);
            (self.client.post(url).body(body.clone()), body)
        };
        if plan.keyed {
            request = request.header(IDEMPOTENCY_KEY_HEADER, &id);
        }
        match request.header(REQUEST_ID_HEADER, &id).send().await {
            Ok(response) => judge(response, &expected).await,
            Err(_) => (RequestOutcome::Unanswered, None),
        }
    }
}

/// A body of a length that no other request has.
fn padded(id: &str, length: usize) -> String {
    let mut body = id.to_owned();
    body.extend(std::iter::repeat_n('.', length.saturating_sub(id.len())));
    body
}

async fn judge(response: Response, expected: &str) -> (RequestOutcome, Option<Arc<str>>) {
    let text = |name: &str| {
        let value = response.headers().get(name);
        value.and_then(|value| value.to_str().ok()).map(Arc::from)
    };
    let outcome: Option<Arc<str>> = text(OUTCOME_HEADER);
    let refusal = text(REFUSAL_HEADER);
    if refusal.is_some() {
        let told = match outcome.as_deref() {
            Some("not-run") => RequestOutcome::NotRun,
            Some("ran") => RequestOutcome::Ran,
            _ => RequestOutcome::Unknown,
        };
        return (told, refusal);
    }
    let is_good = response.status().is_success();
    match response.bytes().await {
        Err(_) => (RequestOutcome::Cut, None),
        Ok(_) if !is_good => (RequestOutcome::Failed, None),
        Ok(body) if body == expected.as_bytes() => (RequestOutcome::Whole, None),
        Ok(_) => (RequestOutcome::Crossed, None),
    }
}
