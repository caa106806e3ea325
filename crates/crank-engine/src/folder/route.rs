//! The `[route NAME]` sections: keys, ranges and defaults.

use std::collections::BTreeSet;
use std::sync::Arc;

use crank_protocol::config::{Method, Route};

use super::Problem;
use super::service::LONGEST_TIMEOUT_MILLIS;
use crate::ini::{self, Fault, Reader, Section, value};

const LONGEST_PATH_BYTES: usize = 512;
const PATH: &str =
    "a path prefix such as /recipes, of plain segments, without '%', '?', '//' or a last '/'";
const METHODS: &str = "methods with blanks between them, of GET HEAD POST PUT PATCH DELETE";

pub(super) fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Route> {
    let mut reader = Reader::new(section);
    let path = reader.required("path", "a path prefix such as /recipes", path);
    let methods = reader.required("methods", "such as GET HEAD", methods);
    let service = reader.required("service", "the service it leads to", value::name);
    let timeout = reader.optional("timeout", |text| {
        value::duration(text, 1, LONGEST_TIMEOUT_MILLIS)
    });
    let idempotent = reader.optional("idempotent", value::flag).unwrap_or(false);
    let once = reader.optional("once", value::flag).unwrap_or(false);
    if idempotent && once {
        reader.refuse("once", Problem::OnceAndIdempotent.into());
    }
    faults.extend(reader.finish());
    Some(Route {
        path: path?,
        methods: methods?,
        service: service?,
        timeout,
        idempotent,
        once,
    })
}

fn path(text: &str) -> Result<Arc<str>, ini::Problem> {
    let segments_fit = text
        .strip_prefix('/')
        .is_some_and(|rest| rest.is_empty() || rest.split('/').all(is_segment));
    if segments_fit && text.len() <= LONGEST_PATH_BYTES {
        return Ok(text.into());
    }
    Err(ini::Problem::BadValue {
        given: text.into(),
        wanted: PATH,
    })
}

fn is_segment(segment: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte);
    !matches!(segment, "" | "." | "..") && segment.bytes().all(plain)
}

fn methods(text: &str) -> Result<BTreeSet<Method>, ini::Problem> {
    let methods: Option<BTreeSet<Method>> = text
        .split([' ', ',', '\t'])
        .filter(|word| !word.is_empty())
        .map(method)
        .collect();
    methods
        .filter(|methods| !methods.is_empty())
        .ok_or_else(|| ini::Problem::BadValue {
            given: text.into(),
            wanted: METHODS,
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

pub(super) fn written(method: Method) -> &'static str {
    match method {
        Method::Get => "GET",
        Method::Head => "HEAD",
        Method::Post => "POST",
        Method::Put => "PUT",
        Method::Patch => "PATCH",
        Method::Delete => "DELETE",
    }
}
