//! What one request of a connection holds.

use crate::Connection;

/// A request of a connection and the bytes that it holds, which are given back when it is dropped.
pub struct RequestHold {
    connection: Connection,
    held: u64,
}

impl RequestHold {
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            connection,
            held: 0,
        }
    }

    /// Takes bytes for the request; false if there is no room, so that it must be refused.
    ///
    /// ```
    /// # use crank_stream::RequestHold;
    /// fn keep(request: &mut RequestHold, chunk: &[u8]) -> bool {
    ///     request.reserve(chunk.len() as u64)
    /// }
    /// ```
    #[must_use]
    pub fn reserve(&mut self, bytes: u64) -> bool {
        let is_granted = self.connection.reserve(bytes);
        if is_granted {
            self.held += bytes;
        }
        is_granted
    }

    /// Records that the request is whole in hand.
    ///
    /// ```
    /// # use crank_stream::RequestHold;
    /// fn run(request: &RequestHold) {
    ///     request.record_received();
    /// }
    /// ```
    pub fn record_received(&self) {
        self.connection.end_receiving();
    }

    /// Records that the request is refused though not all of it has been read, so that the
    /// connection lingers when it closes.
    ///
    /// ```
    /// # use crank_stream::RequestHold;
    /// fn refuse(request: &RequestHold) {
    ///     request.record_refused();
    /// }
    /// ```
    pub fn record_refused(&self) {
        self.connection.leave_unread();
    }

    /// Gives the bytes back: the request is answered, or can no longer be sent again.
    ///
    /// ```
    /// # use crank_stream::RequestHold;
    /// fn end(request: &mut RequestHold) {
    ///     request.release();
    /// }
    /// ```
    pub fn release(&mut self) {
        self.connection.release(std::mem::take(&mut self.held));
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        self.connection.end_request();
        self.release();
    }
}
