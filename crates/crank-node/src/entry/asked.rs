use std::sync::Arc;

use crank_engine::route::Rule;
use crank_protocol::Millis;
use crank_protocol::call::{
    DEPTH_HEADER, Head, Header, IDEMPOTENCY_HEADER, REQUEST_HEADER, Refusal, Request,
    TIMEOUT_HEADER,
};
use crank_protocol::config::Version;

const LONGEST_KEY_BYTES: usize = 255;
const HEXADECIMAL: u32 = 16;

/// What a request's headers ask for.
pub(super) struct Asked {
    pub(super) timeout: Millis,
    request: u128,
    pub(super) depth: u32,
    once: Option<Arc<str>>,
}

impl Asked {
    pub(super) fn read(request: &Request, rule: &Rule) -> Result<Self, Refusal> {
        let longest = rule.timeout();
        let timeout = number(request, TIMEOUT_HEADER)?;
        let depth = number(request, DEPTH_HEADER)?.unwrap_or(0);
        Ok(Self {
            timeout: timeout.map_or(longest, |asked| Millis(asked).min(longest)),
            request: identifier(request),
            depth: u32::try_from(depth).unwrap_or(u32::MAX),
            once: once(request, rule)?,
        })
    }

    pub(super) fn head(self, request: &Request, rule: &Rule, version: Version) -> Head {
        Head {
            request: self.request,
            service: rule.route.service.clone(),
            method: request.method,
            path: request.path.clone(),
            headers: request.headers.clone(),
            time_left: self.timeout,
            importance: rule.service.importance,
            idempotent: rule.route.idempotent,
            once: self.once,
            depth: self.depth,
            version,
        }
    }
}

fn once(request: &Request, rule: &Rule) -> Result<Option<Arc<str>>, Refusal> {
    if !rule.route.once {
        return Ok(None);
    }
    let Some(key) = text(request, IDEMPOTENCY_HEADER)? else {
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

fn identifier(request: &Request) -> u128 {
    text(request, REQUEST_HEADER)
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
