//! The names of the headers that backend servers use, each logged once.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use http::header::{HeaderMap, HeaderName};
use parking_lot::Mutex;

/// Further names are neither kept nor logged.
const MAX_NAMES: usize = 32;

/// The header names that responses have had so far; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct SeenHeaders {
    names: Arc<Mutex<HashSet<HeaderName>>>,
}

impl SeenHeaders {
    /// Logs the names that no response had before.
    pub(crate) fn record(&self, address: SocketAddr, headers: &HeaderMap) {
        let mut names = self.names.lock();
        for name in headers.keys() {
            if names.len() < MAX_NAMES && !names.contains(name) {
                names.insert(name.clone());
                log::info!(address:% = address, header:% = name; "new response header of the backend server");
            }
        }
    }
}
