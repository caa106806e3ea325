//! Reads the options of a request from its headers.

use std::sync::Arc;

use crank_engine::route::ResolvedRoute;
use crank_protocol::call::{
    DEPTH_HEADER, Header, IDEMPOTENCY_KEY_HEADER, Refusal, Request, RequestHead,
};
use crank_protocol::config::Version;
use crank_protocol::{HttpDialect, Millis};

use super::Conventions;
use super::caller::Caller;

const HOST_HEADER: &str = "host";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const HEX_RADIX: u32 = 16;

/// The options that the headers of a request set.
pub(super) struct RequestOptions {
    /// How long the request may take: the caller's timeout, bounded by the route's.
    pub(super) timeout: Millis,
    /// How long the caller waits: its own timeout, or the route's if it sent none.
    pub(super) caller_timeout: Millis,
    request_id: u128,
    pub(super) depth: u32,
    idempotency_key: Option<Arc<str>>,
}

impl RequestOptions {
    pub(super) fn parse(
        request: &Request,
        rule: &ResolvedRoute,
        dialect: &HttpDialect,
    ) -> Result<Self, Refusal> {
        let max_timeout = rule.timeout();
        let timeout = parse_number(request, &dialect.timeout_header)?;
        let depth = parse_number(request, DEPTH_HEADER)?.unwrap_or(0);
        Ok(Self {
            timeout: timeout.map_or(max_timeout, |millis| Millis(millis).min(max_timeout)),
            caller_timeout: timeout.map_or(max_timeout, Millis),
            request_id: request_id(request, &dialect.request_id_header),
            depth: u32::try_from(depth).unwrap_or(u32::MAX),
            idempotency_key: idempotency_key(request, rule)?,
        })
    }

    pub(super) fn head(
        self,
        request: &Request,
        rule: &ResolvedRoute,
        version: Version,
        caller: &Caller,
        conventions: &Conventions,
    ) -> RequestHead {
        RequestHead {
            request_id: self.request_id,
            service: rule.route.service.clone(),
            method: request.method,
            path: request.path.clone(),
            headers: forwarded_headers(request, rule, caller, conventions),
            time_left: self.timeout,
            latency_target: rule.objective().map(|objective| objective.latency),
            may_queue: true,
            expected_run_time: None,
            expected_response_bytes: None,
            importance: caller.importance(rule),
            idempotent: rule.route.idempotent,
            idempotency_key: self.idempotency_key,
            depth: self.depth,
            version,
            account: caller.name().cloned(),
            key_tag: caller.key_tag(rule),
        }
    }
}

/// Returns the headers to forward: the caller's, with those that only a node may set replaced.
fn forwarded_headers(
    request: &Request,
    rule: &ResolvedRoute,
    caller: &Caller,
    conventions: &Conventions,
) -> Vec<Header> {
    let header = |name: &Arc<str>, value: &str| Header {
        name: name.clone(),
        value: value.as_bytes().to_vec(),
    };
    let dialect = &conventions.dialect;
    let reserved = [
        dialect.calling_service_header.as_ref(),
        dialect.expected_instance_header.as_ref(),
        dialect.not_run_header.as_ref(),
        caller.has_accounts.then_some(&dialect.key_header),
        caller.has_accounts.then_some(&dialect.account_header),
    ];
    let is_reserved = |name: &str| {
        let mut names = reserved.into_iter().flatten();
        names.any(|reserved| reserved.eq_ignore_ascii_case(name))
    };
    let kept = request
        .headers
        .iter()
        .filter(|header| !is_reserved(&header.name));
    let mut headers: Vec<Header> = kept.cloned().collect();
    if let (Some(name), Some(service)) = (
        &dialect.calling_service_header,
        &conventions.calling_service,
    ) {
        headers.push(header(name, service.as_str()));
    }
    if let Some(account) = caller.name() {
        headers.push(header(&dialect.account_header, account.as_str()));
    }
    if rule.route.host.is_some() {
        headers.push(header(&Arc::from(HOST_HEADER), &request.host));
    }
    headers
}

fn idempotency_key(request: &Request, rule: &ResolvedRoute) -> Result<Option<Arc<str>>, Refusal> {
    if !rule.route.once {
        return Ok(None);
    }
    let Some(key) = single_value(request, IDEMPOTENCY_KEY_HEADER)? else {
        return Err(bad_request(
            "this route runs a request only once: send an Idempotency-Key header",
        ));
    };
    let is_valid = key.len() <= MAX_IDEMPOTENCY_KEY_BYTES
        && !key.is_empty()
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid {
        Ok(Some(Arc::from(key)))
    } else {
        Err(bad_request(
            "the Idempotency-Key is not usable: send 1 to 255 visible ASCII characters",
        ))
    }
}

fn request_id(request: &Request, name: &str) -> u128 {
    single_value(request, name)
        .ok()
        .flatten()
        .and_then(|text| u128::from_str_radix(&text.replace('-', ""), HEX_RADIX).ok())
        .unwrap_or_else(rand::random)
}

fn parse_number(request: &Request, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(text) = single_value(request, name)? else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad_request(&format!(
            "{name} is not a whole number: send one"
        ))),
    }
}

fn single_value<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = request
        .headers
        .iter()
        .filter(|header| has_name(header, name));
    let Some(header) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(&format!("{name} is there twice: send it once")));
    }
    match std::str::from_utf8(&header.value) {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad_request(&format!("{name} is not text: send ASCII"))),
    }
}

fn has_name(header: &Header, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}

fn bad_request(detail: &str) -> Refusal {
    Refusal::BadRequest {
        detail: Arc::from(detail),
    }
}
