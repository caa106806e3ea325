//! The node's HTTP listener for operators.

use std::future::Future;

use crank_engine::notice;
use serde::{Deserialize, Serialize};
use time::OffsetDateTime;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::{Admin, ErrorResponse};

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
/// # async fn run(admin: impl crank_operator::Admin) -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// crank_operator::listener::serve(listener, admin, std::future::pending()).await;
/// # Ok(())
/// # }
/// ```
pub async fn serve(
    listener: TcpListener,
    admin: impl Admin,
    stop: impl Future<Output = ()> + Send + 'static,
) {
    warp::serve(questions(admin.clone()).or(texts(admin)))
        .incoming(listener)
        .graceful(stop)
        .run()
        .await;
}

fn at<D: Admin>(
    path: &'static str,
    admin: &D,
) -> impl Filter<Extract = (D,), Error = warp::Rejection> + Clone + use<D> {
    let admin = admin.clone();
    warp::get()
        .and(warp::path(path))
        .and(warp::path::end())
        .map(move || admin.clone())
}

fn questions<D: Admin>(
    admin: D,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let status = at("status", &admin).then(async |admin: D| json(&admin.status().await));
    let history = at("history", &admin)
        .and(warp::query::<Page>())
        .then(history::<D>);
    let notice = at("notice", &admin).then(notice::<D>);
    let burn = at("burn", &admin).map(|admin: D| json(&admin.burn()));
    status.or(history).or(notice).or(burn)
}

fn texts<D: Admin>(
    admin: D,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let metrics = at("metrics", &admin).map(|admin: D| {
        warp::reply::with_header(
            admin.metrics(),
            warp::http::header::CONTENT_TYPE,
            METRICS_TYPE,
        )
    });
    let health = at("healthz", &admin).map(|_| "ok\n");
    let ready = at("readyz", &admin).map(|admin: D| {
        if admin.is_ready() {
            warp::reply::with_status("ready\n", StatusCode::OK)
        } else {
            warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE)
        }
    });
    metrics.or(health).or(ready)
}

async fn history<D: Admin>(admin: D, page: Page) -> Response {
    let limit = page.limit.unwrap_or(DEFAULT_HISTORY).clamp(1, MOST_HISTORY);
    match admin.history(limit).await {
        Ok(entries) => json(&entries),
        Err(error) => trouble(&ErrorResponse {
            detail: error.to_string().into(),
        }),
    }
}

async fn notice<D: Admin>(admin: D) -> Response {
    let Some(account) = admin.account() else {
        return trouble(&ErrorResponse {
            detail: "no configuration is in force on this node yet: ask another, or wait".into(),
        });
    };
    let mesh = admin.status().await;
    json(&notice::progress(
        &account,
        &mesh,
        OffsetDateTime::now_utc(),
    ))
}

fn json<T: Serialize>(value: &T) -> Response {
    warp::reply::json(value).into_response()
}

fn trouble(trouble: &ErrorResponse) -> Response {
    let body = warp::reply::json(trouble);
    warp::reply::with_status(body, StatusCode::SERVICE_UNAVAILABLE).into_response()
}
