//! The node's HTTP listener for operators.

use std::future::Future;

use crank_engine::notice;
use serde::{Deserialize, Serialize};
use time::OffsetDateTime;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::{Desk, Trouble};

const DEFAULT_HISTORY: u32 = 20;
const MOST_HISTORY: u32 = 1_000;
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Page {
    limit: Option<u32>,
}

/// Answers operators on a listener until `stop` is done; answers that are under way are finished.
///
/// Paths: `/status`, `/history?limit=N`, `/notice` and `/burn` as JSON, `/metrics`, `/healthz` and
/// `/readyz` as text.
///
/// ```no_run
/// # async fn run(desk: impl crank_operator::Desk) -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// crank_operator::listener::serve(listener, desk, std::future::pending()).await;
/// # Ok(())
/// # }
/// ```
pub async fn serve(
    listener: TcpListener,
    desk: impl Desk,
    stop: impl Future<Output = ()> + Send + 'static,
) {
    warp::serve(questions(desk.clone()).or(texts(desk)))
        .incoming(listener)
        .graceful(stop)
        .run()
        .await;
}

fn at<D: Desk>(
    path: &'static str,
    desk: &D,
) -> impl Filter<Extract = (D,), Error = warp::Rejection> + Clone + use<D> {
    let desk = desk.clone();
    warp::get()
        .and(warp::path(path))
        .and(warp::path::end())
        .map(move || desk.clone())
}

fn questions<D: Desk>(
    desk: D,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let status = at("status", &desk).then(async |desk: D| json(&desk.status().await));
    let history = at("history", &desk)
        .and(warp::query::<Page>())
        .then(history::<D>);
    let notice = at("notice", &desk).then(notice::<D>);
    let burn = at("burn", &desk).map(|desk: D| json(&desk.burn()));
    status.or(history).or(notice).or(burn)
}

fn texts<D: Desk>(
    desk: D,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let metrics = at("metrics", &desk).map(|desk: D| {
        warp::reply::with_header(
            desk.metrics(),
            warp::http::header::CONTENT_TYPE,
            METRICS_TYPE,
        )
    });
    let health = at("healthz", &desk).map(|_| "ok\n");
    let ready = at("readyz", &desk).map(|desk: D| {
        if desk.is_ready() {
            warp::reply::with_status("ready\n", StatusCode::OK)
        } else {
            warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE)
        }
    });
    metrics.or(health).or(ready)
}

async fn history<D: Desk>(desk: D, page: Page) -> Response {
    let limit = page.limit.unwrap_or(DEFAULT_HISTORY).clamp(1, MOST_HISTORY);
    match desk.history(limit).await {
        Ok(entries) => json(&entries),
        Err(error) => trouble(&Trouble {
            detail: error.to_string().into(),
        }),
    }
}

async fn notice<D: Desk>(desk: D) -> Response {
    let Some(account) = desk.account() else {
        return trouble(&Trouble {
            detail: "no configuration is in force on this node yet: ask another, or wait".into(),
        });
    };
    let mesh = desk.status().await;
    json(&notice::count(&account, &mesh, OffsetDateTime::now_utc()))
}

fn json<T: Serialize>(value: &T) -> Response {
    warp::reply::json(value).into_response()
}

fn trouble(trouble: &Trouble) -> Response {
    let body = warp::reply::json(trouble);
    warp::reply::with_status(body, StatusCode::SERVICE_UNAVAILABLE).into_response()
}
