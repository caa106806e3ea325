//! Progress on a connection: whether the bytes that arrive are of any use.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Reports progress on a connection to its [`crate::FairStream`]; clones share the state.
///
/// ```
/// let progress = crank_stream::Progress::new();
/// progress.record();
/// ```
#[derive(Debug, Clone, Default)]
pub struct Progress {
    unused_bytes: Arc<AtomicU64>,
    is_unlimited: Arc<AtomicBool>,
    is_ended: Arc<AtomicBool>,
}

impl Progress {
    /// Creates a report for one connection.
    ///
    /// ```
    /// let progress = crank_stream::Progress::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a message has begun, or a part of it was received.
    ///
    /// ```
    /// crank_stream::Progress::new().record();
    /// ```
    pub fn record(&self) {
        self.unused_bytes.store(0, Ordering::Relaxed);
    }

    /// Lifts the limit for good: whatever arrives from now on counts as progress.
    ///
    /// ```
    /// crank_stream::Progress::new().lift_limit();
    /// ```
    pub fn lift_limit(&self) {
        self.is_unlimited.store(true, Ordering::Relaxed);
    }

    /// Ends the connection: its next read fails, whatever has arrived.
    ///
    /// ```
    /// crank_stream::Progress::new().end();
    /// ```
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
    }

    /// Counts bytes that have arrived; returns the number since the last progress.
    pub(crate) fn add(&self, bytes: usize) -> u64 {
        if self.is_unlimited.load(Ordering::Relaxed) {
            return 0;
        }
        let bytes = bytes as u64;
        self.unused_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}
