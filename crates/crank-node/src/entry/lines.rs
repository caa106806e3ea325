//! The log lines about a request at the entry: each decision with its reasons.

use std::sync::Arc;

use crank_engine::Moment;
use crank_protocol::HttpDialect;
use crank_protocol::Name;
use crank_protocol::call::{Header, RefusedRequest};

use super::caller::Rejected;
use super::routed::RoutedRequest;
use super::search::TargetSearch;

/// Returns the request ID as its caller wrote it, or an empty text if it has none.
pub(super) fn request_label(headers: &[Header], dialect: &HttpDialect) -> Arc<str> {
    let mut named = headers.iter();
    let found = named.find(|header| header.name.eq_ignore_ascii_case(&dialect.request_id_header));
    let text = found.map(|header| String::from_utf8_lossy(&header.value));
    Arc::from(text.unwrap_or_default())
}

/// Returns the name of the client account, or an empty text if the request has none.
fn account_label(account: Option<&Name>) -> &str {
    account.map_or("", Name::as_str)
}

pub(super) fn not_routed(label: &str, rejected: &Rejected) {
    log::info!(
        request = label,
        account = account_label(rejected.account.as_ref()),
        refusal:? = rejected.refusal;
        "request not routed"
    );
}

/// Logs a response that took more than one attempt; other responses get no line.
pub(super) fn answered(routed: &RoutedRequest, tried: &[Name], now: Moment) {
    if tried.len() > 1 {
        log::info!(
            request = *routed.label,
            account = account_label(routed.head.account.as_ref()),
        service:% = routed.head.service,
            tried:? = tried,
            took_ms = now.since(routed.started_at).0;
            "request answered after more than one attempt"
        );
    }
}

pub(super) fn failed(routed: &RoutedRequest, tried: &[Name], status: u16, retry: bool) {
    log::info!(
        request = *routed.label,
        account = account_label(routed.head.account.as_ref()),
        service:% = routed.head.service,
        version = routed.head.version.0,
        target:? = tried.last(),
        status = status,
        again = retry;
        "backend server answered with a failure"
    );
}

pub(super) fn refused(
    routed: &RoutedRequest,
    tried: &[Name],
    refused: &RefusedRequest,
    retry: bool,
) {
    log::info!(
        request = *routed.label,
        account = account_label(routed.head.account.as_ref()),
        service:% = routed.head.service,
        version = routed.head.version.0,
        target:? = tried.last(),
        refusal:? = refused.refusal,
        outcome:? = refused.outcome,
        reached = refused.reached,
        load:? = refused.load,
        again = retry;
        "attempt refused"
    );
}

pub(super) fn given_up(
    routed: &RoutedRequest,
    search: &TargetSearch,
    refused: &RefusedRequest,
    now: Moment,
) {
    log::info!(
        request = *routed.label,
        account = account_label(routed.head.account.as_ref()),
        service:% = routed.head.service,
        route:% = routed.rule.name,
        importance:? = routed.head.importance,
        version = routed.head.version.0,
        tried:? = search.tried(),
        full:? = search.full(),
        refusal:? = refused.refusal,
        outcome:? = refused.outcome,
        reached = refused.reached,
        took_ms = now.since(routed.started_at).0,
        left_ms = routed.deadline.since(now).0;
        "request given up"
    );
}
