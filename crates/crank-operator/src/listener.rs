//! The HTTP listener on which a node answers operators.

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
const MAX_HISTORY: u32 = 1_000;
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct HistoryQuery {
    limit: Option<u32>,
}

/// Serves operators on `listener` until `stop` completes, then finishes the responses in progress.
///
/// Serves `/status`, `/history?limit=N`, `/notice`, `/accounts` and `/burn` as JSON, and `/metrics`,
/// `/healthz` and `/readyz` as text.
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
    warp::serve(json_routes(admin.clone()).or(text_routes(admin)))
        .incoming(listener)
        .graceful(stop)
        .run()
        .await;
}

fn get_path<D: Admin>(
    path: &'static str,
    admin: &D,
) -> impl Filter<Extract = (D,), Error = warp::Rejection> + Clone + use<D> {
    let admin = admin.clone();
    warp::get()
        .and(warp::path(path))
        .and(warp::path::end())
        .map(move || admin.clone())
}

fn json_routes<D: Admin>(
    admin: D,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let status = get_path("status", &admin).then(async |admin: D| json(&admin.status().await));
    let history = get_path("history", &admin)
        .and(warp::query::<HistoryQuery>())
        .then(history::<D>);
    let notice = get_path("notice", &admin).then(notice::<D>);
    let accounts = get_path("accounts", &admin).map(|admin: D| json(&admin.accounts()));
    let burn = get_path("burn", &admin).map(|admin: D| json(&admin.burn()));
    status.or(history).or(notice).or(accounts).or(burn)
}

fn text_routes<D: Admin>(
    admin: D,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
    let metrics = get_path("metrics", &admin).map(|admin: D| {
        warp::reply::with_header(
            admin.metrics(),
            warp::http::header::CONTENT_TYPE,
            METRICS_CONTENT_TYPE,
        )
    });
    let health = get_path("healthz", &admin).map(|_| "ok\n");
    let ready = get_path("readyz", &admin).map(|admin: D| {
        if admin.is_ready() {
            warp::reply::with_status("ready\n", StatusCode::OK)
        } else {
            warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE)
        }
    });
    metrics.or(health).or(ready)
}

async fn history<D: Admin>(admin: D, query: HistoryQuery) -> Response {
    let limit = query.limit.unwrap_or(DEFAULT_HISTORY).clamp(1, MAX_HISTORY);
    match admin.history(limit).await {
        Ok(entries) => json(&entries),
        Err(error) => service_unavailable(&ErrorResponse {
            detail: error.to_string().into(),
        }),
    }
}

async fn notice<D: Admin>(admin: D) -> Response {
    let Some(account) = admin.account() else {
        return service_unavailable(&ErrorResponse {
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

fn service_unavailable(error: &ErrorResponse) -> Response {
    let body = warp::reply::json(error);
    warp::reply::with_status(body, StatusCode::SERVICE_UNAVAILABLE).into_response()
}
