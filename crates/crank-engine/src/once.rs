//! What tells one request from another with the same idempotency key.

use std::sync::Arc;

use crank_protocol::config::Method;
use sha2::{Digest, Sha256};

/// The SHA-256 of a request's method, path and body, in hexadecimal.
///
/// ```
/// use crank_engine::once::fingerprint;
/// use crank_protocol::config::Method;
/// let one = fingerprint(Method::Post, "/tickets", b"12 t");
/// assert_eq!(one, fingerprint(Method::Post, "/tickets", b"12 t"));
/// assert_ne!(one, fingerprint(Method::Post, "/tickets", b"13 t"));
/// assert_ne!(one, fingerprint(Method::Post, "/tickets1", b"2 t"));
/// ```
#[must_use]
pub fn fingerprint(method: Method, path: &str, body: &[u8]) -> Arc<str> {
    let mut hasher = Sha256::new();
    hasher.update([method as u8]);
    hasher.update((path.len() as u64).to_be_bytes());
    hasher.update(path);
    hasher.update(body);
    Arc::from(hex::encode(hasher.finalize()))
}
