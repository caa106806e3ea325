//! The header names and customs by which a node talks with callers and backend servers.

use std::sync::Arc;

use crate::call;

/// Which headers mean what at a node's two HTTP edges, and the customs that go with them.
///
/// Names are lower case. [`HttpDialect::default`] is the project's own; a platform with names of its
/// own gives another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpDialect {
    /// The id of a caller's request.
    pub request_id_header: Arc<str>,
    /// How many milliseconds the caller still waits.
    pub timeout_header: Arc<str>,
    /// The id that a backend server must have to run the request.
    pub expected_instance_header: Option<Arc<str>>,
    /// A backend server's own id in its answers to health checks.
    pub instance_id_header: Option<Arc<str>>,
    /// The service beside which the request began.
    pub calling_service_header: Option<Arc<str>>,
    /// A backend server's word on how busy it is: running, waiting, slots.
    pub load_header: Option<Arc<str>>,
    /// By its presence, a backend server's word that it has not run the request.
    pub not_run_header: Option<Arc<str>>,
    /// Without this header an answer of success is not the backend server's.
    pub signature_header: Option<Arc<str>>,
    /// Whether the request's id is passed on as the caller wrote it, and answers must echo it.
    pub echoes_request_id: bool,
    /// Whether the end of a connection may be the end of an answer without a stated length.
    pub allows_close_delimited: bool,
    /// Whether callers read fractions of a second in `Retry-After`.
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
            not_run_header: None,
            signature_header: None,
            echoes_request_id: false,
            allows_close_delimited: false,
            fractional_retry_after: false,
        }
    }
}
