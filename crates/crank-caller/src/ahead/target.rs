//! What a request is for, as far as it decides whether the request may start ahead.

use http::header::{HOST, HeaderValue};
use http::{Method, Request, Uri};

use crate::{Gateway, request};

/// The method, path and host of a request.
#[derive(Debug, Clone)]
pub(super) struct Target {
    method: Method,
    uri: Uri,
    host: Option<HeaderValue>,
}

impl Target {
    pub(super) fn new<B>(request: &Request<B>) -> Self {
        Self {
            method: request.method().clone(),
            uri: request.uri().clone(),
            host: request.headers().get(HOST).cloned(),
        }
    }

    /// Whether the request's method is safe, and its route lets it run beside others of its
    /// connection.
    pub(super) fn may_run_beside_others(&self, gateway: &impl Gateway) -> bool {
        if !self.method.is_safe() {
            return false;
        }
        let Ok(method) = request::parse_method(&self.method) else {
            return false;
        };
        let host = request::parse_host(self.host.as_ref());
        gateway.may_start_ahead(method, &host, self.uri.path())
    }
}
