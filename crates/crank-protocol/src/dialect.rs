//! The header names and HTTP conventions between a node, its callers and its backend server.

use std::sync::Arc;

use crate::call;

/// The header names and HTTP conventions that a node uses with callers and backend servers.
///
/// Header names are in lower case. [`HttpDialect::default`] returns the project's own conventions;
/// a platform with different header names supplies its own value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpDialect {
    /// The header with the id of a caller's request.
    pub request_id_header: Arc<str>,
    /// The header with the caller's remaining timeout in milliseconds.
    pub timeout_header: Arc<str>,
    /// The header with the id of the backend server that the request is meant for; any other
    /// server must not run it.
    pub expected_instance_header: Option<Arc<str>>,
    /// The header with a backend server's own id in its responses to health checks.
    pub instance_id_header: Option<Arc<str>>,
    /// The header with the name of the service that sent the request.
    pub calling_service_header: Option<Arc<str>>,
    /// The header with a backend server's load: running requests, waiting requests, slots, and
    /// optionally how long requests take there now, in percent of what is usual.
    pub load_header: Option<Arc<str>>,
    /// The header with the number of requests a second that a backend server takes from all nodes
    /// together, as a decimal number.
    pub rate_limit_header: Option<Arc<str>>,
    /// The header with which a backend server states that it leaves, if its value is `1`.
    pub leaving_header: Option<Arc<str>>,
    /// The header whose presence says that the backend server has not run the request.
    pub not_run_header: Option<Arc<str>>,
    /// The header that every successful response of a backend server must carry; a response
    /// without it did not come from the backend server.
    pub signature_header: Option<Arc<str>>,
    /// The header with the key of the caller's client account.
    pub key_header: Arc<str>,
    /// The authentication scheme that precedes the key in its header, if there is one.
    pub key_scheme: Option<Arc<str>>,
    /// The header with the name of the caller's client account, which only nodes may set.
    pub account_header: Arc<str>,
    /// Whether the request id is passed on as the caller wrote it and responses must echo it.
    pub echoes_request_id: bool,
    /// Whether closing the connection may end a response that has neither a length nor chunks.
    pub allows_close_delimited: bool,
    /// Whether callers accept fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
}

impl Default for HttpDialect {
    fn default() -> Self {
        Self {
            request_id_header: Arc::from(call::REQUEST_ID_HEADER),
            timeout_header: Arc::from(call::TIMEOUT_HEADER),
            expected_instance_header: None,
            instance_id_header: None,
            calling_service_header: None,
            load_header: None,
            rate_limit_header: None,
            leaving_header: None,
            not_run_header: None,
            signature_header: None,
            key_header: Arc::from(call::KEY_HEADER),
            key_scheme: None,
            account_header: Arc::from(call::ACCOUNT_HEADER),
            echoes_request_id: false,
            allows_close_delimited: false,
            fractional_retry_after: false,
        }
    }
}
