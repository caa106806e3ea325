//! The `[route NAME]` sections: keys, ranges and defaults.

use std::collections::BTreeSet;
use std::sync::Arc;

use crank_protocol::config::{Method, Route, WeightedService};

use super::Problem;
use super::service::{MAX_TIMEOUT_MILLIS, importance};
use crate::ini::{self, Fault, Section, SectionReader, value};

const MAX_PATH_BYTES: usize = 512;
const PATH_FORMAT: &str =
    "a path prefix such as /recipes or /recipes/, of plain segments, without '%', '?' or '//'";
const HOST_FORMAT: &str = "a host name in lower case, without a port";
const SPLIT_FORMAT: &str = "services with their weights, such as recipes 90, panels 10";
const MAX_HOST_BYTES: usize = 253;
const MAX_WEIGHT: u32 = 1_000_000;
const MAX_ATTEMPTS: u32 = 16;
const METHODS_FORMAT: &str = "methods separated by spaces, out of GET HEAD POST PUT PATCH DELETE";

pub(super) fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Route> {
    let mut reader = SectionReader::new(section);
    let path = reader.required("path", "a path prefix such as /recipes", path);
    let methods = reader.required("methods", "such as GET HEAD", methods);
    let is_split = section.entries.contains_key("split");
    let split = reader.optional("split", split).unwrap_or_default();
    let service = if is_split {
        split.first().map(|first| first.service.clone())
    } else {
        reader.required("service", "the service it leads to", value::name)
    };
    let timeout = reader.optional("timeout", |text| {
        value::duration(text, 1, MAX_TIMEOUT_MILLIS)
    });
    let idempotent = reader
        .optional("idempotent", value::boolean)
        .unwrap_or(false);
    let once = reader.optional("once", value::boolean).unwrap_or(false);
    let public = reader.optional("public", value::boolean).unwrap_or(false);
    let host = reader.optional("host", host);
    let attempts = reader.optional("attempts", |text| value::count(text, 1, MAX_ATTEMPTS));
    let importance = reader.optional("importance", importance);
    let latency = reader.optional("latency", |text| {
        value::duration(text, 1, MAX_TIMEOUT_MILLIS)
    });
    if idempotent && once {
        reader.report("once", Problem::OnceAndIdempotent.into());
    }
    faults.extend(reader.finish());
    Some(Route {
        path: path?,
        methods: methods?,
        service: service?,
        timeout,
        idempotent,
        once,
        host,
        split,
        attempts,
        importance,
        latency,
        public,
    })
}

fn host(text: &str) -> Result<Arc<str>, ini::Problem> {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte);
    let is_valid = !text.is_empty() && text.len() <= MAX_HOST_BYTES && text.bytes().all(is_allowed);
    is_valid
        .then(|| text.into())
        .ok_or_else(|| ini::Problem::InvalidValue {
            given: text.into(),
            expected: HOST_FORMAT,
        })
}

fn split(text: &str) -> Result<Vec<WeightedService>, ini::Problem> {
    let bad = || ini::Problem::InvalidValue {
        given: text.into(),
        expected: SPLIT_FORMAT,
    };
    let parse_part = |part: &str| -> Result<WeightedService, ini::Problem> {
        let (service, weight) = part.trim().split_once(' ').ok_or_else(bad)?;
        Ok(WeightedService {
            service: value::name(service)?,
            weight: value::count(weight.trim(), 0, MAX_WEIGHT)?,
        })
    };
    let weighted_services: Vec<WeightedService> =
        text.split(',').map(parse_part).collect::<Result<_, _>>()?;
    let has_weight = weighted_services.iter().any(|weighted| weighted.weight > 0);
    has_weight.then_some(weighted_services).ok_or_else(bad)
}

pub(super) fn path(text: &str) -> Result<Arc<str>, ini::Problem> {
    let is_valid = text.strip_prefix('/').is_some_and(|rest| {
        let segments = rest.strip_suffix('/').unwrap_or(rest);
        rest.is_empty() || segments.split('/').all(is_segment)
    });
    if is_valid && text.len() <= MAX_PATH_BYTES {
        return Ok(text.into());
    }
    Err(ini::Problem::InvalidValue {
        given: text.into(),
        expected: PATH_FORMAT,
    })
}

fn is_segment(segment: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte);
    !matches!(segment, "" | "." | "..") && segment.bytes().all(is_allowed)
}

fn methods(text: &str) -> Result<BTreeSet<Method>, ini::Problem> {
    let methods: Option<BTreeSet<Method>> = text
        .split([' ', ',', '\t'])
        .filter(|word| !word.is_empty())
        .map(method)
        .collect();
    methods
        .filter(|methods| !methods.is_empty())
        .ok_or_else(|| ini::Problem::InvalidValue {
            given: text.into(),
            expected: METHODS_FORMAT,
        })
}

fn method(word: &str) -> Option<Method> {
    match word {
        "GET" => Some(Method::Get),
        "HEAD" => Some(Method::Head),
        "POST" => Some(Method::Post),
        "PUT" => Some(Method::Put),
        "PATCH" => Some(Method::Patch),
        "DELETE" => Some(Method::Delete),
        _ => None,
    }
}

pub(super) fn method_name(method: Method) -> &'static str {
    match method {
        Method::Get => "GET",
        Method::Head => "HEAD",
        Method::Post => "POST",
        Method::Put => "PUT",
        Method::Patch => "PATCH",
        Method::Delete => "DELETE",
    }
}
