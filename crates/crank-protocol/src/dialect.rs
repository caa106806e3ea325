//! The header names and customs by which a node talks with callers and backend servers.

use std::sync::Arc;

use crate::call;

/// Which headers mean what at a node's two HTTP edges, and the customs that go with them.
///
/// Names are lower case. [`Dialect::default`] is the project's own; a platform with names of its
/// own gives another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dialect {
    /// The id of a caller's request.
    pub request: Arc<str>,
    /// How many milliseconds the caller still waits.
    pub timeout: Arc<str>,
    /// The id that a backend server must have to run the request.
    pub server: Option<Arc<str>>,
    /// A backend server's own id in its answers to health checks.
    pub instance: Option<Arc<str>>,
    /// The service beside which the request began.
    pub origin: Option<Arc<str>>,
    /// A backend server's word on how busy it is: running, waiting, slots.
    pub load: Option<Arc<str>>,
    /// By its presence, a backend server's word that it has not run the request.
    pub not_run: Option<Arc<str>>,
    /// Without this header an answer of success is not the backend server's.
    pub signature: Option<Arc<str>>,
    /// Whether the request's id is passed on as the caller wrote it, and answers must echo it.
    pub echoes: bool,
    /// Whether the end of a connection may be the end of an answer without a stated length.
    pub ends_by_closing: bool,
    /// Whether callers read fractions of a second in `Retry-After`.
    pub fractions: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request: Arc::from(call::REQUEST_HEADER),
            timeout: Arc::from(call::TIMEOUT_HEADER),
            server: None,
            instance: None,
            origin: None,
            load: None,
            not_run: None,
            signature: None,
            echoes: false,
            ends_by_closing: false,
            fractions: false,
        }
    }
}
