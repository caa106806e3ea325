use std::sync::Arc;

use crank_engine::route::ResolvedRoute;
use crank_protocol::call::{
    DEPTH_HEADER, Header, IDEMPOTENCY_KEY_HEADER, Refusal, Request, RequestHead,
};
use crank_protocol::config::Version;
use crank_protocol::{HttpDialect, Millis};

use super::Conventions;

const HOST_HEADER: &str = "host";
const LONGEST_KEY_BYTES: usize = 255;
const HEXADECIMAL: u32 = 16;

/// What a request's headers ask for.
pub(super) struct Asked {
    /// How long it may take: the caller's limit and the route's.
    pub(super) timeout: Millis,
    /// How long the caller waits.
    pub(super) patience: Millis,
    request: u128,
    pub(super) depth: u32,
    once: Option<Arc<str>>,
}

impl Asked {
    pub(super) fn read(
        request: &Request,
        rule: &ResolvedRoute,
        dialect: &HttpDialect,
    ) -> Result<Self, Refusal> {
        let longest = rule.timeout();
        let timeout = number(request, &dialect.timeout_header)?;
        let depth = number(request, DEPTH_HEADER)?.unwrap_or(0);
        Ok(Self {
            timeout: timeout.map_or(longest, |asked| Millis(asked).min(longest)),
            patience: timeout.map_or(longest, Millis),
            request: identifier(request, &dialect.request_id_header),
            depth: u32::try_from(depth).unwrap_or(u32::MAX),
            once: once(request, rule)?,
        })
    }

    pub(super) fn head(
        self,
        request: &Request,
        rule: &ResolvedRoute,
        version: Version,
        conventions: &Conventions,
    ) -> RequestHead {
        RequestHead {
            request_id: self.request,
            service: rule.route.service.clone(),
            method: request.method,
            path: request.path.clone(),
            headers: headers(request, rule, conventions),
            time_left: self.timeout,
            latency_target: rule.objective().map(|objective| objective.latency),
            may_queue: true,
            expected_run_time: None,
            importance: rule.importance(),
            idempotent: rule.route.idempotent,
            idempotency_key: self.once,
            depth: self.depth,
            version,
        }
    }
}

/// The caller's headers, with those that only a node may set.
fn headers(request: &Request, rule: &ResolvedRoute, conventions: &Conventions) -> Vec<Header> {
    let header = |name: &Arc<str>, value: &str| Header {
        name: name.clone(),
        value: value.as_bytes().to_vec(),
    };
    let dialect = &conventions.dialect;
    let own = [
        &dialect.calling_service_header,
        &dialect.expected_instance_header,
        &dialect.not_run_header,
    ];
    let is_own = |name: &str| {
        let mut names = own.into_iter().flatten();
        names.any(|own| own.eq_ignore_ascii_case(name))
    };
    let kept = request
        .headers
        .iter()
        .filter(|header| !is_own(&header.name));
    let mut headers: Vec<Header> = kept.cloned().collect();
    if let (Some(name), Some(origin)) = (
        &dialect.calling_service_header,
        &conventions.calling_service,
    ) {
        headers.push(header(name, origin.as_str()));
    }
    if rule.route.host.is_some() {
        headers.push(header(&Arc::from(HOST_HEADER), &request.host));
    }
    headers
}

fn once(request: &Request, rule: &ResolvedRoute) -> Result<Option<Arc<str>>, Refusal> {
    if !rule.route.once {
        return Ok(None);
    }
    let Some(key) = text(request, IDEMPOTENCY_KEY_HEADER)? else {
        return Err(bad(
            "this route runs a request only once: send an Idempotency-Key header",
        ));
    };
    let is_good = key.len() <= LONGEST_KEY_BYTES
        && !key.is_empty()
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    if is_good {
        Ok(Some(Arc::from(key)))
    } else {
        Err(bad(
            "the Idempotency-Key is not usable: send 1 to 255 visible ASCII characters",
        ))
    }
}

fn identifier(request: &Request, name: &str) -> u128 {
    text(request, name)
        .ok()
        .flatten()
        .and_then(|text| u128::from_str_radix(&text.replace('-', ""), HEXADECIMAL).ok())
        .unwrap_or_else(rand::random)
}

fn number(request: &Request, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(text) = text(request, name)? else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad(&format!("{name} is not a whole number: send one"))),
    }
}

fn text<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = request.headers.iter().filter(|header| is(header, name));
    let Some(header) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(&format!("{name} is there twice: send it once")));
    }
    match std::str::from_utf8(&header.value) {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad(&format!("{name} is not text: send ASCII"))),
    }
}

fn is(header: &Header, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}

fn bad(detail: &str) -> Refusal {
    Refusal::BadRequest {
        detail: Arc::from(detail),
    }
}
